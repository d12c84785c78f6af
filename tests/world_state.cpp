// The stand-in for the state service.
#include "world.h"
#include "world_internal.h"

namespace saddleslip::testing {

bool World::state_reachable(std::size_t node) const {
  return !state_down_ && !cut(node_name(node), "state");
}

void World::write(const std::string& key, const Json& value, std::uint64_t lease,
                  std::uint64_t revision) {
  if (value.is_null()) {
    store_.erase(key);
  } else {
    store_[key] = {value, revision, lease};
  }
  changes_.push_back({revision, {key, value, base::Version(revision)}, t_});
}

StateClient::Committed World::apply(const protocol::Transaction& txn) {
  StateClient::Committed c;
  for (const auto& [key, version] : txn.guards) {
    const auto at = store_.find(key);
    if ((at == store_.end() ? 0 : at->second.version) != version.get()) c.failed.push_back(key);
  }
  c.revision = base::Revision(revision_);
  c.outcome = Outcome::kConflict;
  if (!c.failed.empty()) return c;
  for (const auto& w : txn.writes) {
    if (w.lease && !leases_.contains(w.lease->get())) {
      c.outcome = Outcome::kMalformed;
      return c;
    }
  }
  ++revision_;
  for (const auto& w : txn.writes) {
    write(w.key, w.value ? *w.value : Json(), w.lease ? w.lease->get() : 0, revision_);
  }
  c.revision = base::Revision(revision_);
  c.outcome = Outcome::kDone;
  return c;
}

// Limits hold whatever the conditions: seen at fleet size, a record of all booting machines that no value
// holds was refused for ever. Those that the store has later hold for what is written now, too.
void World::check_limits(std::size_t node, const protocol::Transaction& txn) {
  const auto& limits = nodes_[node].settings;
  if (txn.writes.size() > limits.txn_ops ||
      txn.guards.size() > limits.txn_ops * protocol::kGuardsPerWrite)
    broken("a transaction of " + std::to_string(txn.writes.size()) + " changes and " +
           std::to_string(txn.guards.size()) + " conditions");
  for (const auto& w : txn.writes) {
    if (w.value && w.value->dump().size() > limits.value_bytes)
      broken("a value too large for the store: " + w.key);
  }
}

StateClient::Committed World::commit(std::size_t node, const protocol::Transaction& txn) {
  check_limits(node, txn);
  StateClient::Committed c;
  if (!state_reachable(node)) {
    c.outcome = Outcome::kRefused;
    return c;
  }
  if (const auto late = late_commit_.find(node); late != late_commit_.end()) {
    late_commits_.emplace_back(t_ + late->second, txn);
    late_commit_.erase(late);
    return c;
  }
  c = apply(txn);
  if (lose_commit_.erase(node) > 0) {
    c = {};
    nodes_[node].busy_until = t_ + 1.5;
  }
  return c;
}

StateClient::Got World::get(std::size_t node, const std::string& key) {
  StateClient::Got g;
  if (!state_reachable(node)) return g;
  g.answered = true;
  g.item.key = key;
  const auto at = store_.find(key);
  if (at != store_.end()) g.item = {key, at->second.value, base::Version(at->second.version)};
  return g;
}

void World::expire_leases() {
  if (state_down_) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (t_ < it->second.until) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, k] : store_) {
      if (k.lease == it->first) keys.push_back(key);
    }
    if (!keys.empty()) ++revision_;
    for (const auto& key : keys) write(key, Json(), 0, revision_);
    it = leases_.erase(it);
  }
}

}  // namespace saddleslip::testing

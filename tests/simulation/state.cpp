// The stand-in for the state service.
#include <algorithm>
#include <sstream>

#include "simulation/simulated_cluster.h"
#include "simulation/simulation_internal.h"

namespace saddleslip::testing {

bool SimulatedCluster::state_reachable(std::size_t node) const {
  return !state_down_ && !cut(node_name(node), "state");
}

void SimulatedCluster::write(const std::string& key, const Json& value, std::uint64_t lease,
                             std::uint64_t revision) {
  if (value.is_null()) {
    store_.erase(key);
  } else {
    store_[key] = {value, revision, lease};
  }
  changes_.push_back({revision, {key, value, base::Version(revision)}, t_});
}

StateClient::Committed SimulatedCluster::apply(const protocol::Transaction& txn) {
  StateClient::Committed c;
  for (const auto& [key, version] : txn.preconditions) {
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
void SimulatedCluster::check_limits(std::size_t node, const protocol::Transaction& txn) {
  const auto& limits = nodes_[node].settings;
  if (txn.writes.size() > limits.txn_ops ||
      txn.preconditions.size() > limits.txn_ops * protocol::kPreconditionsPerWrite)
    broken("a transaction of " + std::to_string(txn.writes.size()) + " changes and " +
           std::to_string(txn.preconditions.size()) + " conditions");
  for (const auto& w : txn.writes) {
    if (w.value && w.value->dump().size() > limits.value_bytes)
      broken("a value too large for the store: " + w.key);
  }
}

bool SimulatedCluster::is_version_before(std::size_t node) const {
  return next_limits_ && !nodes_[node].upgraded;
}

// The version before says nothing of formats, and never that all read a later one.
bool SimulatedCluster::writes_as_this_version(const protocol::Transaction& txn) {
  return std::any_of(txn.writes.begin(), txn.writes.end(),
                     [](const protocol::Put& w) { return w.key == protocol::kFormatKey; });
}

protocol::Transaction SimulatedCluster::without_format(protocol::Transaction txn) {
  for (protocol::Put& w : txn.writes) {
    if (w.key.starts_with(protocol::kMembers) && w.value) w.value->erase("format");
  }
  return txn;
}

// Records that the version before can't read must not be written while it may come back.
void SimulatedCluster::check_format(const protocol::Transaction& txn) {
  bool all_upgraded = true;
  for (std::size_t n = 0; n < nodes_.size(); ++n)
    all_upgraded = all_upgraded && !is_version_before(n);
  for (const protocol::Put& w : txn.writes) {
    const bool divides = w.key.starts_with(protocol::kJobs) && w.value && w.value->contains("p");
    if (divides && !all_upgraded) broken("pieces before all controllers read them: " + w.key);
  }
}

void SimulatedCluster::trace_commit(std::size_t node, const protocol::Transaction& txn,
                                    const StateClient::Committed& done) {
  if (!trace_.is_open()) return;
  std::ostringstream out;
  out << "commit " << node_name(node) << " outcome " << static_cast<int>(done.outcome)
      << " revision " << done.revision.get();
  for (const auto& [key, version] : txn.preconditions) out << ' ' << key << '@' << version.get();
  for (const auto& w : txn.writes) {
    out << ' ' << w.key << '=' << (w.value ? w.value->dump() : "removed");
    if (w.lease) out << '~' << w.lease->get();
  }
  trace_.write(t_, out.str());
}

StateClient::Committed SimulatedCluster::commit(std::size_t node,
                                                const protocol::Transaction& txn) {
  const StateClient::Committed done = commit_untraced(node, txn);
  trace_commit(node, txn, done);
  return done;
}

StateClient::Committed SimulatedCluster::commit_untraced(std::size_t node,
                                                         const protocol::Transaction& txn) {
  check_limits(node, txn);
  check_format(txn);
  StateClient::Committed c;
  if (is_version_before(node) && writes_as_this_version(txn)) {
    c.outcome = Outcome::kConflict;
    return c;
  }
  if (!state_reachable(node)) {
    c.outcome = Outcome::kRefused;
    return c;
  }
  if (const auto late = late_commit_.find(node); late != late_commit_.end()) {
    late_commits_.emplace_back(t_ + late->second, txn);
    late_commit_.erase(late);
    return c;
  }
  c = apply(is_version_before(node) ? without_format(txn) : txn);
  if (lose_commit_.erase(node) > 0) {
    c = {};
    nodes_[node].busy_until = t_ + 1.5;
  }
  return c;
}

StateClient::Got SimulatedCluster::get(std::size_t node, const std::string& key) {
  StateClient::Got g;
  if (!state_reachable(node)) return g;
  g.answered = true;
  g.item.key = key;
  const auto at = store_.find(key);
  if (at != store_.end()) g.item = {key, at->second.value, base::Version(at->second.version)};
  return g;
}

void SimulatedCluster::expire_leases() {
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

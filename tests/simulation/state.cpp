// The stand-in for the state service.
#include <algorithm>
#include <sstream>

#include "simulation/simulated_cluster.h"
#include "simulation/simulation_internal.h"

namespace saddleslip::testing {

// Limits hold whatever the conditions: seen at fleet size, a record of all booting machines that no value
// holds was refused for ever. Those that the store has later hold for what is written now, too.
void SimulatedCluster::check_limits(std::size_t node, const protocol::Transaction& txn) {
  const auto& limits = nodes_[node].settings;
  if (txn.writes.size() > limits.txn_ops ||
      txn.preconditions.size() > limits.txn_ops * protocol::kPreconditionsPerWrite)
    failures_.add("a transaction of " + std::to_string(txn.writes.size()) + " changes and " +
                  std::to_string(txn.preconditions.size()) + " conditions");
  for (const auto& w : txn.writes) {
    if (w.value && w.value->dump().size() > limits.value_bytes)
      failures_.add("a value too large for the store: " + w.key);
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
    if (divides && !all_upgraded)
      failures_.add("pieces before all controllers read them: " + w.key);
  }
}

void SimulatedCluster::trace_commit(std::size_t node, const protocol::Transaction& txn,
                                    const StateClient::Committed& done) {
  if (!trace_.is_open()) return;
  std::ostringstream out;
  out << "commit " << controller_name(node) << " outcome " << static_cast<int>(done.outcome)
      << " revision " << done.revision.get();
  for (const auto& [key, version] : txn.preconditions) out << ' ' << key << '@' << version.get();
  for (const auto& w : txn.writes) {
    out << ' ' << w.key << '=' << (w.value ? w.value->dump() : "removed");
    if (w.lease) out << '~' << w.lease->get();
  }
  trace_.write(clock_.seconds(), out.str());
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
  if (!state_.is_reachable_from(node)) {
    c.outcome = Outcome::kRefused;
    return c;
  }
  if (state_.delays_commit(node, txn)) return c;
  c = state_.apply(is_version_before(node) ? without_format(txn) : txn);
  if (state_.loses_answer(node)) {
    c = {};
    nodes_[node].busy_until = clock_.seconds() + 1.5;
  }
  return c;
}

}  // namespace saddleslip::testing

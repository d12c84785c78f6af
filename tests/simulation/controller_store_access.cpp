// The controllers' access to the state service: commits, with checks of the written records, the load
// of all records at the start of a process, and the watch.
#include <algorithm>
#include <sstream>

#include "simulation/simulated_controllers.h"

namespace saddleslip::testing {

using protocol::StateClient;
using Outcome = StateClient::Outcome;

namespace {

// How long a process waits for a commit's answer that is lost.
constexpr double kCommitTimeout = 1.5;

// Returns whether the transaction writes the record of the common format. The previous version never
// writes that record, and its member records have no `format` field.
bool writes_format_record(const protocol::Transaction& txn) {
  return std::any_of(txn.writes.begin(), txn.writes.end(),
                     [](const protocol::Put& put) { return put.key == protocol::kFormatKey; });
}

protocol::Transaction without_format(protocol::Transaction txn) {
  for (protocol::Put& put : txn.writes) {
    if (put.key.starts_with(protocol::kMembers) && put.value) put.value->erase("format");
  }
  return txn;
}

}  // namespace

bool SimulatedControllers::is_version_before(std::size_t n) const {
  return config_.next_limits && !processes_[n].is_upgraded;
}

// Checks a transaction against the state service's limits. It is checked also if its preconditions
// would fail, because the store rejects an oversized transaction on every retry. An upgraded process
// must observe the limits that the store gets later (`next_limits`), too.
void SimulatedControllers::check_limits(std::size_t n, const protocol::Transaction& txn) const {
  const base::Settings& limits = processes_[n].settings;
  if (txn.writes.size() > limits.txn_ops ||
      txn.preconditions.size() > limits.txn_ops * protocol::kPreconditionsPerWrite) {
    failures_.add("transaction exceeds the state service's limits: " +
                  std::to_string(txn.writes.size()) + " writes, " +
                  std::to_string(txn.preconditions.size()) + " preconditions");
  }
  for (const protocol::Put& put : txn.writes) {
    if (put.value && put.value->dump().size() > limits.value_bytes)
      failures_.add("value exceeds the state service's size limit: key=" + put.key);
  }
}

// Checks that no job record is split into chunks while a controller still runs the previous version,
// which cannot read split records.
void SimulatedControllers::check_format(const protocol::Transaction& txn) const {
  bool all_upgraded = true;
  for (std::size_t n = 0; n < processes_.size(); ++n)
    all_upgraded = all_upgraded && !is_version_before(n);
  for (const protocol::Put& put : txn.writes) {
    const bool splits =
        put.key.starts_with(protocol::kJobs) && put.value && put.value->contains("p");
    if (splits && !all_upgraded)
      failures_.add("job record is split before all controllers are upgraded: key=" + put.key);
  }
}

StateClient::Committed SimulatedControllers::commit(std::size_t n,
                                                    const protocol::Transaction& txn) {
  check_limits(n, txn);
  check_format(txn);
  StateClient::Committed done = commit_untraced(n, txn);
  trace_commit(n, txn, done);
  return done;
}

StateClient::Committed SimulatedControllers::commit_untraced(std::size_t n,
                                                             const protocol::Transaction& txn) {
  StateClient::Committed done;
  if (is_version_before(n) && writes_format_record(txn)) {
    done.outcome = Outcome::kConflict;
    return done;
  }
  if (!state_.is_reachable_from(n)) {
    done.outcome = Outcome::kRefused;
    return done;
  }
  if (state_.delays_commit(n, txn)) return done;
  done = state_.apply(is_version_before(n) ? without_format(txn) : txn);
  if (!state_.loses_answer(n)) return done;
  processes_[n].busy_until = clock_.seconds() + kCommitTimeout;
  return {};
}

void SimulatedControllers::trace_commit(std::size_t n, const protocol::Transaction& txn,
                                        const StateClient::Committed& done) {
  if (!trace_.is_open()) return;
  std::ostringstream out;
  out << "commit " << controller_name(n) << " outcome " << static_cast<int>(done.outcome)
      << " revision " << done.revision.get();
  for (const auto& [key, version] : txn.preconditions) out << ' ' << key << '@' << version.get();
  for (const protocol::Put& put : txn.writes) {
    out << ' ' << put.key << '=' << (put.value ? put.value->dump() : "removed");
    if (put.lease) out << '~' << put.lease->get();
  }
  trace_.write(clock_.seconds(), out.str());
}

// Loads the records in two steps. All records except chunks and final states come first; the chunk
// records of the jobs' tasks follow after the delay that the scenario sets with `slow_load`.
void SimulatedControllers::load(std::size_t n) {
  if (!state_.is_reachable_from(n)) return;
  ControllerProcess& process = processes_[n];
  if (!process.reads_chunks_at) {
    apply_records(n, false);
    process.load_revision = state_.revision();
    process.reads_chunks_at = clock_.seconds() + process.load_time_s;
  }
  if (clock_.seconds() < *process.reads_chunks_at) return;
  apply_records(n, true);
  process.controller->cache().advance_to(base::Revision(process.load_revision));
  process.reads_chunks_at.reset();
  process.is_loaded = true;
}

void SimulatedControllers::apply_records(std::size_t n, bool only_chunks) {
  auto& cache = processes_[n].controller->cache();
  for (const auto& [key, record] : state_.records()) {
    if (key.starts_with(protocol::kFinals) || key.starts_with(protocol::kChunks) != only_chunks)
      continue;
    cache.apply({key, record.value, base::Version(record.version)}, clock_.now());
  }
}

void SimulatedControllers::apply_changes(std::size_t n, double lag) {
  ControllerProcess& process = processes_[n];
  auto& cache = process.controller->cache();
  std::uint64_t revision = cache.revision().get();
  for (const auto& change : state_.changes()) {
    if (change.revision <= cache.revision().get() || change.changed_at + lag > clock_.seconds())
      continue;
    if (cache.apply(change.item, clock_.now())) process.is_round_due = true;
    if (change.item.key == protocol::kViewKey || change.item.key == protocol::kLeadKey)
      process.is_renewal_due = true;
    revision = std::max(revision, change.revision);
  }
  cache.advance_to(base::Revision(revision));
  process.controller->install_view(clock_.now());
}

bool SimulatedControllers::catch_up(std::size_t n) {
  if (!processes_[n].is_loaded || !state_.is_reachable_from(n)) return false;
  apply_changes(n, 0);
  return true;
}

void SimulatedControllers::refresh(std::size_t n, const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    if (!key.starts_with(protocol::kJobs) && !key.starts_with(protocol::kChunks)) continue;
    const auto got = state_.get(n, key);
    if (got.answered && got.item.version.get() != 0)
      processes_[n].controller->cache().apply(got.item, clock_.now());
  }
}

void SimulatedControllers::read_unresolved_dependencies(std::size_t n) {
  auto& cache = processes_[n].controller->cache();
  for (const base::JobId& id : cache.unresolved_dependencies()) {
    const auto got = state_.get(n, protocol::final_key(id));
    const auto state = got.answered ? protocol::parse_final(got.item.value) : std::nullopt;
    if (state) cache.remember_final(id, *state);
  }
}

}  // namespace saddleslip::testing

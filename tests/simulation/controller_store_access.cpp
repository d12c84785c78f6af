// The controllers' access to the state service: commits, with checks of the written records, the
// load of all records at the start of a process, and the watch.
#include <algorithm>
#include <sstream>

#include "simulation/simulated_controllers.h"

namespace saddleslip::testing {

using protocol::StateClient;
using CommitOutcome = StateClient::CommitOutcome;

namespace {

// How long a process waits for a commit's answer that is lost.
constexpr double kCommitTimeoutSeconds = 1.5;

// Returns whether the transaction writes the record of the common format. The previous version
// never writes that record, and its member records have no `format` field.
bool writes_format_record(const protocol::Transaction& transaction) {
  return std::any_of(
      transaction.writes.begin(), transaction.writes.end(),
      [](const protocol::Write& write) { return write.key == protocol::kFormatKey; });
}

protocol::Transaction without_format_field(protocol::Transaction transaction) {
  for (protocol::Write& write : transaction.writes) {
    if (write.key.starts_with(protocol::kMemberPrefix) && write.value) write.value->erase("format");
  }
  return transaction;
}

}  // namespace

bool SimulatedControllers::runs_previous_version(std::size_t controller_index) const {
  return config_.next_state_limits && !processes_[controller_index].is_upgraded;
}

// Checks a transaction against the state service's limits. It is checked also if its preconditions
// would fail, because the state service rejects an oversized transaction on every retry. An
// upgraded process must observe the limits that the state service gets later (`next_state_limits`),
// too.
void SimulatedControllers::check_limits(std::size_t controller_index,
                                        const protocol::Transaction& transaction) const {
  const base::Settings& settings = processes_[controller_index].settings;
  if (transaction.writes.size() > settings.max_transaction_writes ||
      transaction.preconditions.size() >
          settings.max_transaction_writes * protocol::kPreconditionsPerWrite) {
    failures_.add("transaction exceeds the state service's limits: " +
                  std::to_string(transaction.writes.size()) + " writes, " +
                  std::to_string(transaction.preconditions.size()) + " preconditions");
  }
  for (const protocol::Write& write : transaction.writes) {
    if (write.value && write.value->dump().size() > settings.value_bytes)
      failures_.add("value exceeds the state service's size limit: key=" + write.key);
  }
}

// Checks that no job record is split into chunks while a controller still runs the previous
// version, which cannot read split records.
void SimulatedControllers::check_record_format(const protocol::Transaction& transaction) const {
  bool all_upgraded = true;
  for (std::size_t controller_index = 0; controller_index < processes_.size(); ++controller_index)
    all_upgraded = all_upgraded && !runs_previous_version(controller_index);
  for (const protocol::Write& write : transaction.writes) {
    const bool splits =
        write.key.starts_with(protocol::kJobPrefix) && write.value && write.value->contains("p");
    if (splits && !all_upgraded)
      failures_.add("job record is split before all controllers are upgraded: key=" + write.key);
  }
}

StateClient::CommitResult SimulatedControllers::commit(std::size_t controller_index,
                                                       const protocol::Transaction& transaction) {
  check_limits(controller_index, transaction);
  check_record_format(transaction);
  StateClient::CommitResult result = commit_without_trace(controller_index, transaction);
  trace_commit(controller_index, transaction, result);
  return result;
}

StateClient::CommitResult SimulatedControllers::commit_without_trace(
    std::size_t controller_index, const protocol::Transaction& transaction) {
  StateClient::CommitResult result;
  if (runs_previous_version(controller_index) && writes_format_record(transaction)) {
    result.outcome = CommitOutcome::kConflict;
    return result;
  }
  if (!state_.is_reachable_from(controller_index)) {
    result.outcome = CommitOutcome::kRefused;
    return result;
  }
  if (state_.take_delayed_commit(controller_index, transaction)) return result;
  result = state_.apply(runs_previous_version(controller_index) ? without_format_field(transaction)
                                                                : transaction);
  if (!state_.take_lost_answer(controller_index)) return result;
  processes_[controller_index].blocked_until = clock_.seconds() + kCommitTimeoutSeconds;
  return {};
}

void SimulatedControllers::trace_commit(std::size_t controller_index,
                                        const protocol::Transaction& transaction,
                                        const StateClient::CommitResult& result) {
  if (!trace_.is_open()) return;
  std::ostringstream out;
  out << "commit " << controller_name(controller_index) << " outcome "
      << static_cast<int>(result.outcome) << " revision " << result.revision.get();
  for (const auto& [key, version] : transaction.preconditions)
    out << ' ' << key << '@' << version.get();
  for (const protocol::Write& write : transaction.writes) {
    out << ' ' << write.key << '=' << (write.value ? write.value->dump() : "removed");
    if (write.lease) out << '~' << write.lease->get();
  }
  trace_.write(clock_.seconds(), out.str());
}

// Loads the records in two steps. All records except chunks and final states come first; the chunk
// records of the jobs' tasks follow after the delay that the scenario sets with `slow_load`.
void SimulatedControllers::load_records(std::size_t controller_index) {
  if (!state_.is_reachable_from(controller_index)) return;
  ControllerProcess& process = processes_[controller_index];
  if (!process.load_chunks_at) {
    apply_records(controller_index, false);
    process.load_revision = state_.revision();
    process.load_chunks_at = clock_.seconds() + process.chunk_load_delay_s;
  }
  if (clock_.seconds() < *process.load_chunks_at) return;
  apply_records(controller_index, true);
  process.controller->cache().advance_to(base::Revision(process.load_revision));
  process.load_chunks_at.reset();
  process.is_loaded = true;
}

void SimulatedControllers::apply_records(std::size_t controller_index, bool only_chunks) {
  auto& cache = processes_[controller_index].controller->cache();
  for (const auto& [key, record] : state_.records()) {
    if (key.starts_with(protocol::kTombstonePrefix) ||
        key.starts_with(protocol::kTaskRecordPrefix) != only_chunks)
      continue;
    cache.apply({key, record.value, base::Version(record.version)}, clock_.now());
  }
}

void SimulatedControllers::apply_changes(std::size_t controller_index, double lag_s) {
  ControllerProcess& process = processes_[controller_index];
  auto& cache = process.controller->cache();
  std::uint64_t revision = cache.revision().get();
  for (const auto& change : state_.changes()) {
    if (change.revision <= cache.revision().get() || change.changed_at + lag_s > clock_.seconds())
      continue;
    if (cache.apply(change.item, clock_.now())) process.is_round_due = true;
    if (change.item.key == protocol::kViewKey || change.item.key == protocol::kLeaderKey)
      process.is_renewal_due = true;
    revision = std::max(revision, change.revision);
  }
  cache.advance_to(base::Revision(revision));
  process.controller->install_view(clock_.now());
}

bool SimulatedControllers::catch_up(std::size_t controller_index) {
  if (!processes_[controller_index].is_loaded || !state_.is_reachable_from(controller_index))
    return false;
  apply_changes(controller_index, 0);
  return true;
}

void SimulatedControllers::refresh_records(std::size_t controller_index,
                                           const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    if (!key.starts_with(protocol::kJobPrefix) && !key.starts_with(protocol::kTaskRecordPrefix))
      continue;
    const auto response = state_.get(controller_index, key);
    if (response.answered && response.item.version.get() != 0)
      processes_[controller_index].controller->cache().apply(response.item, clock_.now());
  }
}

void SimulatedControllers::read_unresolved_dependencies(std::size_t controller_index) {
  auto& cache = processes_[controller_index].controller->cache();
  for (const base::JobId& id : cache.unresolved_dependencies()) {
    const auto response = state_.get(controller_index, protocol::tombstone_key(id));
    const auto state =
        response.answered ? protocol::parse_final_state(response.item.value) : std::nullopt;
    if (state) cache.add_final_state(id, *state);
  }
}

}  // namespace saddleslip::testing

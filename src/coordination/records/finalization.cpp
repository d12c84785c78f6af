#include "coordination/records/finalization.h"

#include <cstdint>

#include "coordination/membership/view.h"

namespace saddleslip::coordination {

using protocol::JobStatus;
using protocol::Transaction;

bool may_finalize(const storage::Job& job) {
  // The tasks of a cancelled job count towards the team's quota while they are on a machine, so the
  // job stays until then.
  if (job.assigned > 0) return false;
  return job.cancelled_on_record() || job.done == job.record.spec.tasks;
}

void add_finalization(Transaction& transaction, const storage::Job& job, double time_of_day) {
  const protocol::JobSpec& spec = job.record.spec;
  // The precondition makes this fail if a cancellation was committed after the last completion: its
  // user was told that the job is cancelled, so the final state must say so.
  transaction.preconditions[protocol::job_key(spec.id)] = job.version;
  protocol::FinalState state;
  state.status = job.cancelled_on_record() ? JobStatus::kCancelled : JobStatus::kDone;
  state.recorded_at = time_of_day;
  transaction.writes.push_back({protocol::tombstone_key(spec.id), to_json(state), {}});
  transaction.writes.push_back({protocol::job_key(spec.id), {}, {}});
  if (job.chunks.size() > 1 && (spec.one_zone || spec.spread)) {
    transaction.writes.push_back({protocol::job_start_key(spec.id), {}, {}});
  }
}

// Task records are removed later, by garbage collection, when the write budget allows: under load
// these removals were a third of all writes. Preconditions over the limit can be omitted safely,
// since a completed task stays completed and tasks start only under the version of the job's
// record.
void guard_task_records(Transaction& transaction, const storage::Job& job,
                        std::size_t max_transaction_writes) {
  const std::size_t max_preconditions = max_transaction_writes * protocol::kPreconditionsPerWrite;
  for (std::size_t number = 0; number < job.chunks.size(); ++number) {
    if (transaction.preconditions.size() >= max_preconditions) return;
    const protocol::Version version = job.chunks[number].version;
    if (version.get() == 0) continue;
    transaction.preconditions[job.record.record_key(static_cast<std::uint32_t>(number))] = version;
  }
}

std::optional<Transaction> finalize_one_job(const storage::StateCache& cache,
                                            const ControllerIncarnation& self,
                                            const base::Settings& settings, double time_of_day) {
  if (!cache.view()) return {};
  for (const auto& [id, job] : cache.jobs()) {
    if (!may_finalize(job)) continue;
    const ControllerIncarnation* home_controller = home_of(*cache.view(), id);
    if (!home_controller || *home_controller != self || !cache.is_settled(job)) continue;
    Transaction transaction;
    add_finalization(transaction, job, time_of_day);
    guard_task_records(transaction, job, settings.max_transaction_writes);
    return transaction;
  }
  return {};
}

}  // namespace saddleslip::coordination

#include "coordination/records/finalization.h"

#include <cstdint>

#include "coordination/membership/view.h"

namespace saddleslip::coordination {

using protocol::JobStatus;
using protocol::Transaction;

bool may_finalize(const storage::Job& job) {
  // A cancelled job stays until none of its tasks is on a machine: they count for the team's quota.
  if (job.assigned > 0) return false;
  return job.cancelled_on_record() || job.done == job.record.spec.tasks;
}

void add_finalization(Transaction& txn, const storage::Job& job, double time_of_day) {
  const protocol::JobSpec& spec = job.record.spec;
  // A cancellation that is committed after the last completion wins: its user was told so.
  txn.preconditions[protocol::job_key(spec.id)] = job.version;
  protocol::FinalState state;
  state.status = job.cancelled_on_record() ? JobStatus::kCancelled : JobStatus::kDone;
  state.at = time_of_day;
  txn.writes.push_back({protocol::final_key(spec.id), to_json(state), {}});
  txn.writes.push_back({protocol::job_key(spec.id), {}, {}});
  if (job.chunks.size() > 1 && (spec.one_zone || spec.spread)) {
    txn.writes.push_back({protocol::row_key(spec.id), {}, {}});
  }
}

// The records of the tasks are removed later, by garbage collection, when the write budget allows:
// under load a third of all writes were these. The preconditions that do not fit are not needed for
// safety, since a task that is done stays done, and tasks start only under the job's version.
void guard_task_records(Transaction& txn, const storage::Job& job, std::size_t txn_ops) {
  const std::size_t most = txn_ops * protocol::kPreconditionsPerWrite;
  for (std::size_t c = 0; c < job.chunks.size(); ++c) {
    if (txn.preconditions.size() >= most) return;
    const protocol::Version version = job.chunks[c].version;
    if (version.get() == 0) continue;
    txn.preconditions[job.record.record_key(static_cast<std::uint32_t>(c))] = version;
  }
}

std::optional<Transaction> finalize_one_job(const storage::StateCache& cache,
                                            const ControllerIncarnation& self,
                                            const base::Settings& settings, double time_of_day) {
  if (!cache.view()) return {};
  for (const auto& [id, job] : cache.jobs()) {
    if (!may_finalize(job)) continue;
    const ControllerIncarnation* home = home_of(*cache.view(), id);
    if (!home || *home != self || !cache.is_settled(job)) continue;
    Transaction txn;
    add_finalization(txn, job, time_of_day);
    guard_task_records(txn, job, settings.txn_ops);
    return txn;
  }
  return {};
}

}  // namespace saddleslip::coordination

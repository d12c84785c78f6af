#include "coordination/records/record_splitting.h"

#include "coordination/membership/view.h"

namespace saddleslip::coordination {

using base::TaskNumber;
using protocol::JobRecord;
using protocol::Transaction;

namespace {

// Returns how many of the job's tasks fit into one value of the state service.
TaskNumber tasks_per_value(const JobRecord& record, const base::Settings& settings) {
  return protocol::chunk_size(record.chunk_size, 1, settings.value_bytes);
}

Transaction split(const storage::Job& job, protocol::Version view, const base::Settings& settings) {
  JobRecord split_record = job.record;
  split_record.piece_size = tasks_per_value(job.record, settings);
  const std::string key = protocol::job_key(split_record.spec.id);
  Transaction transaction;
  transaction.preconditions[protocol::kViewKey] = view;
  // Task starts have this version as a precondition, so none can be recorded in the unsplit task
  // records after this.
  transaction.preconditions[key] = job.version;
  transaction.writes.push_back({key, to_json(split_record), {}});
  return transaction;
}

}  // namespace

bool needs_splitting(const storage::Job& job, const base::Settings& settings) {
  const JobRecord& record = job.record;
  if (record.piece_size != 0) return false;
  const TaskNumber fit = tasks_per_value(record, settings);
  return record.chunk_size > fit && record.spec.tasks > fit;
}

std::optional<Transaction> split_one_record(const storage::StateCache& cache,
                                            const ControllerIncarnation& self,
                                            protocol::Version view,
                                            const base::Settings& settings) {
  if (cache.format() < protocol::kFormatWithPieces) return {};
  for (const auto& [id, job] : cache.jobs()) {
    if (job.cancelled_on_record() || !needs_splitting(job, settings)) continue;
    const ControllerIncarnation* home_controller = home_of(*cache.view(), id);
    if (home_controller && *home_controller == self) return split(job, view, settings);
  }
  return {};
}

}  // namespace saddleslip::coordination

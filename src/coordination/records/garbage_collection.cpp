#include "coordination/records/garbage_collection.h"

#include "coordination/membership/view.h"

namespace saddleslip::coordination {

using protocol::Transaction;

namespace {

// Returns the job that a task record or dependency list belongs to.
std::optional<JobId> job_of_record(const std::string& key) {
  const auto chunk = protocol::parse_task_record_key(key);
  return chunk ? chunk->job : protocol::job_of_dependency_key(key);
}

}  // namespace

std::optional<Transaction> collect_garbage(const storage::StateCache& cache,
                                           const ControllerIncarnation& self,
                                           const base::Settings& settings) {
  if (!cache.view()) return {};
  Transaction transaction;
  for (const auto& [key, version] : cache.orphans()) {
    if (transaction.writes.size() >= settings.max_transaction_writes) break;
    // The key is hashed like a job id, which distributes the work over the members.
    const ControllerIncarnation* home_controller = home_of(*cache.view(), JobId(key));
    if (!home_controller || *home_controller != self) continue;
    transaction.preconditions[key] = version;
    // The job's record must not exist in the state service. A job that the state cache has not
    // received yet may still be live.
    if (const auto job = job_of_record(key)) {
      transaction.preconditions[protocol::job_key(*job)] = protocol::Version(0);
    }
    transaction.writes.push_back({key, {}, {}});
  }
  if (transaction.writes.empty()) return {};
  return transaction;
}

}  // namespace saddleslip::coordination

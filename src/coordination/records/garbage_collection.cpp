#include "coordination/records/garbage_collection.h"

#include "coordination/membership/view.h"

namespace saddleslip::coordination {

using protocol::Transaction;

namespace {

// The job that a record of tasks or of dependencies belongs to.
std::optional<JobId> job_of_record(const std::string& key) {
  const auto chunk = protocol::parse_chunk_key(key);
  return chunk ? chunk->job : protocol::job_of_dependency_key(key);
}

}  // namespace

std::optional<Transaction> collect_garbage(const storage::StateCache& cache,
                                           const ControllerIncarnation& self,
                                           const base::Settings& settings) {
  if (!cache.view()) return {};
  Transaction txn;
  for (const auto& [key, version] : cache.orphans()) {
    if (txn.writes.size() >= settings.txn_ops) break;
    // Hashed like a job's id, so that the members share the work.
    const ControllerIncarnation* home = home_of(*cache.view(), JobId(key));
    if (!home || *home != self) continue;
    txn.preconditions[key] = version;
    // Only what belongs to no job: one that the state cache has not received yet is not over.
    if (const auto job = job_of_record(key)) {
      txn.preconditions[protocol::job_key(*job)] = protocol::Version(0);
    }
    txn.writes.push_back({key, {}, {}});
  }
  if (txn.writes.empty()) return {};
  return txn;
}

}  // namespace saddleslip::coordination

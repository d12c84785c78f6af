// Submissions and cancellations: what is refused, and what is committed before a user is answered.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

// The reason for a 422: the job can never run.
std::optional<std::string> never_runs(const protocol::JobSpec& spec, const base::Settings& settings,
                                      const std::vector<protocol::MachineType>& catalogue);

// What the acceptance of a job depends on, besides what its user asks.
struct AcceptanceContext {
  double time_of_day = 0;
  std::size_t partitions = 1;         // among how many controllers the machines are parted
  std::size_t value_bytes = 0;        // the most that a value of the store holds
  bool dependency_cancelled = false;  // a job that it needs is cancelled, and so is this one
};
// The record that an accepted job gets; the jobs that it needs are kept apart if they do not fit.
protocol::JobRecord accepted_record(const protocol::JobSpec& spec,
                                    const AcceptanceContext& context);
// Commits it. `lists` is the version of the record that names its need lists, if it has such.
protocol::Transaction acceptance(const protocol::JobRecord& record, base::Version lists = {});
// The lists of what a job needs, in transactions that the store takes. All of them are committed before the
// job's own record: what is accepted is complete.
std::vector<protocol::Transaction> dependency_list_writes(const protocol::JobRecord& record,
                                                          base::Version lists,
                                                          const base::Settings& settings);
protocol::Transaction cancellation(const protocol::JobRecord& job, base::Version version);

// Adds what moves a job that is over out of the way.
void add_finalization(protocol::Transaction& txn, const storage::Job& job, double time_of_day);
// Adds conditions that the job's tasks' records are as known here, as far as the transaction holds them.
void guard_task_records(protocol::Transaction& txn, const storage::Job& job, std::size_t txn_ops);
// Divides chunks of more tasks than a value of the store holds, as they were written under larger limits.
// Only once all controllers read pieces. None: there is nothing to divide.
std::optional<protocol::Transaction> split_chunks(const storage::Job& job, protocol::Version view,
                                                  const base::Settings& settings);
// Is the job over, and nothing of it on a machine? Then it may leave.
bool may_finalize(const storage::Job& job);
// A job that is over, moved out of the way: its record becomes small and final. None if it isn't.
std::optional<protocol::Transaction> finalize(const storage::Job& job, std::size_t txn_ops,
                                              double time_of_day);

}  // namespace saddleslip::coordination

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

}  // namespace saddleslip::coordination

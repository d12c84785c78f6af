// Admission of submitted jobs, and cancellation of jobs.
//
// The functions check a submission and build the transactions that must be committed before the
// user gets a response. They change no state.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Returns why the job can never run, as the error text of a 422 response, or nothing if it can run:
// some machine type must fit a task, and the team's quota must hold the job.
std::optional<std::string> rejection_reason(const protocol::JobSpec& spec,
                                            const base::Settings& settings,
                                            const std::vector<protocol::MachineType>& catalogue);

// The inputs to a job's record that do not come from its user.
struct AcceptanceContext {
  double time_of_day = 0;
  std::size_t partitions = 1;         // number of controllers that share the machines
  std::size_t value_bytes = 0;        // maximum size of a value in the state service
  bool dependency_cancelled = false;  // a dependency is cancelled, which cancels this job too
};
// Returns the record of a newly accepted job. Its dependencies are stored in separate lists if the
// record would not fit into one value of the state service.
protocol::JobRecord new_job_record(const protocol::JobSpec& spec, const AcceptanceContext& context);
// Returns the transaction that accepts the job. `lists` is the version of the key that names the
// job's dependency lists, and is used only if the job has such lists.
protocol::Transaction acceptance_transaction(const protocol::JobRecord& record,
                                             base::Version lists = {});
// Returns the transactions that write the job's dependency lists, each within the limits of the
// state service. All of them must be committed before the job's record, so that an accepted job
// always has all its dependencies.
std::vector<protocol::Transaction> dependency_list_writes(const protocol::JobRecord& record,
                                                          base::Version lists,
                                                          const base::Settings& settings);
// Returns the transaction that marks the job as cancelled. It fails if the job's record is no
// longer at this version.
protocol::Transaction cancellation_transaction(const protocol::JobRecord& job,
                                               base::Version version);

}  // namespace saddleslip::coordination

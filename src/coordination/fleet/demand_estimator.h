// Estimates the demand for machines: which waiting tasks need additional capacity, and which
// services could move to other machines.
//
// Reads the state cache and the job priorities, and keeps no state of its own. Must not be used
// while another thread changes these.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/settings.h"
#include "coordination/fleet/fleet_status.h"
#include "coordination/fleet/scaling_plan.h"
#include "coordination/scheduling/job_priorities.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Computes the demand of the jobs in the state cache.
class DemandEstimator {
 public:
  DemandEstimator(const base::Settings& settings, const storage::StateCache& cache,
                  const JobPriorities& priorities)
      : settings_(settings), cache_(cache), priorities_(priorities) {}

  // Returns the waiting tasks that need capacity now, by job. Counts tasks only within their team's
  // quota, and tasks of arrays with a deadline only as far as they must run now to meet it.
  // Crash-looping jobs have no demand.
  std::vector<Demand> waiting_demand(const JobPredicate& is_crash_looping, Time now) const;

  // Returns the services that are assigned to each machine.
  std::map<MachineId, std::vector<const protocol::JobSpec*>> movable_services() const;

  // Returns the shortest usual boot time of all machine types, or 0 without a catalogue.
  Seconds shortest_boot_time() const;

 private:
  // An unfinished array job with a deadline.
  struct DueArray {
    double due;  // in seconds since the epoch
    const storage::Job* job;
  };
  using QuotaByTeam = std::map<std::string, Resources>;

  // Returns the unfinished arrays with a deadline, the earliest due time first.
  std::vector<DueArray> due_arrays(const JobPredicate& is_crash_looping, Time now) const;
  // Returns when the job must be complete, in seconds since the epoch: its deadline, or earlier if
  // its tasks have to start earlier.
  double due_time(const storage::Job& job, Time now) const;
  // Returns how many cores these arrays need in addition to the cores that their running tasks use.
  double missing_cores(const std::vector<DueArray>& arrays, Time now) const;
  // Returns for each array how many of its waiting tasks must get capacity now.
  std::map<base::JobId, std::size_t> timely_tasks(const JobPredicate& is_crash_looping,
                                                  Time now) const;
  // Returns how many of the job's waiting tasks may start within the team's quota, and subtracts
  // them from the remaining quota.
  std::size_t within_quota(const protocol::JobSpec& spec, std::size_t waiting,
                           QuotaByTeam& remaining) const;

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  const JobPriorities& priorities_;
};

}  // namespace saddleslip::coordination

// The demand for machines: which waiting tasks need capacity of their own, and
// which services could move to other machines.
//
// Reads the state cache and the priorities of jobs, and keeps no state. Not
// safe for use while another thread changes these.
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

class DemandEstimator {
 public:
  DemandEstimator(const base::Settings& settings, const storage::StateCache& cache,
                  const JobPriorities& priorities)
      : settings_(settings), cache_(cache), priorities_(priorities) {}

  // The waiting tasks that need capacity now, by job: within the quota of their
  // team, and of arrays with a deadline only as many as must run now to meet
  // it. Jobs that are crash-looping need none.
  std::vector<Demand> waiting(const JobPredicate& is_crash_looping, Time now) const;

  // The services that are assigned to each machine.
  std::map<MachineId, std::vector<const protocol::JobSpec*>> movable_services() const;

  // The boot time of the machine type that boots fastest; 0 without a
  // catalogue.
  Seconds shortest_boot_time() const;

 private:
  // An unfinished array with a deadline.
  struct DueArray {
    double due;  // by the time of day
    const storage::Job* job;
  };
  using QuotaByTeam = std::map<std::string, Resources>;

  std::vector<DueArray> due_arrays(const JobPredicate& is_crash_looping, Time now) const;
  double due_time(const storage::Job& job, Time now) const;
  // The cores that all these arrays together must have, beyond those that their
  // tasks run on.
  double missing_cores(const std::vector<DueArray>& arrays, Time now) const;
  std::map<base::JobId, std::size_t> timely_tasks(const JobPredicate& is_crash_looping,
                                                  Time now) const;
  // How many of the job's waiting tasks its team's quota lets start; takes them
  // from the quota.
  std::size_t within_quota(const protocol::JobSpec& spec, std::size_t waiting,
                           QuotaByTeam& remaining) const;

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  const JobPriorities& priorities_;
};

}  // namespace saddleslip::coordination

// Checks over a whole scenario, as operators would make them over a day: status requests for every
// job are answered, no job waits while there is capacity for it, and each class and team gets its
// jobs started.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "simulation/cluster_config.h"
#include "simulation/failure_log.h"
#include "simulation/simulated_clock.h"
#include "simulation/simulated_jobs.h"
#include "simulation/simulated_workers.h"
#include "simulation/trouble_tracker.h"

namespace saddleslip::testing {

// Reports each violation to the failure log. Time during which the cluster has a fault is excused.
class WholeDayChecks {
 public:
  static constexpr double kServedWithinSeconds = 240;

  // The parts of the simulated cluster that the checks read.
  struct CheckedParts {
    const SimulatedClock& clock;
    const ClusterConfig& config;
    const SimulatedJobs& jobs;
    const SimulatedWorkers& workers;
    const TroubleTracker& troubles;
  };
  WholeDayChecks(const CheckedParts& parts, FailureLog& failures)
      : clock_(parts.clock),
        config_(parts.config),
        jobs_(parts.jobs),
        workers_(parts.workers),
        troubles_(parts.troubles),
        failures_(failures) {}

  // Checks that no task keeps waiting although a suitable machine has free capacity and its team is
  // within its quota. Must be called regularly.
  void check_waiting_jobs();
  // Checks that status requests for each accepted job are answered.
  void check_unanswered_jobs();
  // Checks that at least half of the jobs have started in each class, in each team and among each
  // class's largest jobs. Only jobs that have been ready for the grace period, with no fault in
  // that time, count. A scenario that fails this check proves nothing about the other rules.
  void check_served_share(double grace_period_s);

 private:
  // The cores that are in use now, and the active tasks of each job.
  struct Usage {
    std::map<std::string, double> cores_by_team, cores_by_machine;
    std::map<JobId, std::set<TaskNumber>> active_tasks;
  };
  // How long a job could have started a task without doing so, and its starts at the last check.
  struct WaitingState {
    std::optional<double> capacity_since;  // since when the job could start a task
    std::size_t last_start_count = 0;
  };
  // How many jobs of a group count for the check, and how many of them started.
  struct ServedCount {
    std::size_t served = 0, due = 0;
  };

  Usage current_usage() const;
  // Returns whether the job has tasks that could start now but are neither active nor done.
  bool has_waiting_tasks(const SimulatedJob& job, const Usage& usage) const;
  bool is_within_quota(const protocol::JobSpec& spec, const Usage& usage) const;
  bool has_free_capacity(const protocol::JobSpec& spec, const Usage& usage) const;
  // Returns the task count of the largest job of each class.
  std::map<std::string, TaskNumber> largest_task_count_by_class() const;

  const SimulatedClock& clock_;
  const ClusterConfig& config_;
  const SimulatedJobs& jobs_;
  const SimulatedWorkers& workers_;
  const TroubleTracker& troubles_;
  FailureLog& failures_;
  std::map<JobId, WaitingState> waiting_;
};

}  // namespace saddleslip::testing

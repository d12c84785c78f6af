// Checks over a whole scenario, as operators would make them over a day: status requests for every job
// are answered, no job waits while there is capacity for it, and each class and team gets its jobs
// started.
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

class WholeDayChecks {
 public:
  static constexpr double kServedWithin = 240;

  // The parts of the simulated cluster that the checks read.
  struct Subjects {
    const SimulatedClock& clock;
    const ClusterConfig& config;
    const SimulatedJobs& jobs;
    const SimulatedWorkers& workers;
    const TroubleTracker& troubles;
  };
  WholeDayChecks(const Subjects& subjects, FailureLog& failures)
      : clock_(subjects.clock),
        config_(subjects.config),
        jobs_(subjects.jobs),
        workers_(subjects.workers),
        troubles_(subjects.troubles),
        failures_(failures) {}

  // Checks that no task keeps waiting although a suitable machine has free capacity and its team is
  // within its quota. Must be called regularly.
  void check_waiting();
  // Checks that status requests for each accepted job are answered.
  void check_forgotten();
  // Checks that at least half of the jobs have started in each class, in each team and among each
  // class's largest jobs. Only jobs that have been ready for `after` seconds without a fault count. A
  // scenario that fails this check proves nothing about the other rules.
  void check_served(double after);

 private:
  // The cores that are in use now, and the active tasks of each job.
  struct Usage {
    std::map<std::string, double> cores_by_team, cores_by_machine;
    std::map<JobId, std::set<TaskNo>> active_tasks;
  };
  struct Waiting {
    std::optional<double> capacity_since;  // since when the job could start a task
    std::size_t starts_seen = 0;
  };
  struct Served {
    std::size_t served = 0, due = 0;
  };

  Usage usage() const;
  bool has_waiting_tasks(const SimulatedJob& job, const Usage& usage) const;
  bool is_within_quota(const protocol::JobSpec& spec, const Usage& usage) const;
  bool has_free_capacity(const protocol::JobSpec& spec, const Usage& usage) const;
  std::map<std::string, TaskNo> largest_by_class() const;

  const SimulatedClock& clock_;
  const ClusterConfig& config_;
  const SimulatedJobs& jobs_;
  const SimulatedWorkers& workers_;
  const TroubleTracker& troubles_;
  FailureLog& failures_;
  std::map<JobId, Waiting> waiting_;
};

}  // namespace saddleslip::testing

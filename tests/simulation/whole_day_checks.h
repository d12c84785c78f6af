// The operators' checks of a whole day: no job is forgotten or left waiting, and each class and team
// is served.
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
  static constexpr double kServedWithin = 240;  // seconds

  // What the checks are about.
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

  // Is a task left waiting though a machine that fits has free capacity and its team is within its
  // quota? To be called regularly.
  void check_waiting();
  // Are questions about each accepted job answered?
  void check_forgotten();
  // Half of each class, of each team, and of each class's largest jobs must be served, of those that
  // have had so many seconds for it. A day that fails this counts for nothing.
  void check_served(double after);

 private:
  // What is in use now.
  struct Usage {
    std::map<std::string, double> cores_by_team, cores_by_machine;
    std::map<JobId, std::set<TaskNo>> active_tasks;
  };
  struct Waiting {
    std::optional<double> capacity_since;  // since when a machine has free capacity for it
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

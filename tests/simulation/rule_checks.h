// Checks the rules of the protocol that must hold at every moment: when a start is commanded, when
// a task starts, when a user gets an answer, and in every step.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "simulation/cluster_config.h"
#include "simulation/failure_log.h"
#include "simulation/protocol_observer.h"
#include "simulation/scenario_trace.h"
#include "simulation/simulated_clock.h"
#include "simulation/simulated_jobs.h"
#include "simulation/simulated_workers.h"
#include "simulation/trouble_tracker.h"

namespace saddleslip::testing {

// Reports each violation of a rule to the failure log, under a short name of the rule such as
// `ran_twice`.
class RuleChecks : public ProtocolObserver {
 public:
  // The parts of the simulated cluster that the checks read.
  struct CheckedParts {
    const SimulatedClock& clock;
    const ClusterConfig& config;
    const SimulatedWorkers& workers;
    const SimulatedControllers& controllers;
    const TroubleTracker& troubles;
  };
  RuleChecks(const CheckedParts& parts, SimulatedJobs& jobs, ScenarioTrace& trace,
             FailureLog& failures)
      : clock_(parts.clock),
        config_(parts.config),
        workers_(parts.workers),
        controllers_(parts.controllers),
        troubles_(parts.troubles),
        jobs_(jobs),
        trace_(trace),
        failures_(failures) {}

  // Checks that no controller commands the start of a task after its job's cancellation was
  // confirmed. A controller that reaches neither the state service nor another controller may still
  // do so until its authority ends.
  void on_start_commanded(std::size_t controller, const TaskId& task) override;
  // Checks that a task runs on one machine at a time, that the machine satisfies the job's
  // placement constraints, and that the job's dependencies are done.
  void on_task_started(const SimulatedMachine& machine, const TaskId& task) override;
  // Checks that the status in an answer to a user is true, and that it is final once it is `done`
  // or `cancelled`. `wire_status` is the status as the protocol writes it.
  void check_answer(SimulatedJob& job, const std::string& wire_status);
  // Checks that the tasks of cancelled jobs end in time, and that no team exceeds its quota.
  void check_running_tasks();
  // Returns the number of task starts, including restarts.
  std::size_t start_count() const { return start_count_; }

 private:
  // Checks that no other machine has an active attempt of the task.
  void check_runs_once(const SimulatedMachine& machine, const TaskId& task);
  void check_place(const SimulatedMachine& machine, const TaskId& task,
                   const protocol::JobSpec& spec);
  // Counts the active tasks of the same job, except the given task, by zone.
  std::map<std::string, int> other_tasks_by_zone(const TaskId& task) const;
  // Counts the start and, for the job's first one, records how long the job waited.
  void record_start(SimulatedJob& job);
  void check_quotas(const std::map<std::string, double>& cores_by_team);

  const SimulatedClock& clock_;
  const ClusterConfig& config_;
  const SimulatedWorkers& workers_;
  const SimulatedControllers& controllers_;
  const TroubleTracker& troubles_;
  SimulatedJobs& jobs_;
  ScenarioTrace& trace_;
  FailureLog& failures_;
  std::size_t start_count_ = 0;
};

}  // namespace saddleslip::testing

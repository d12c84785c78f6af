// The rules of the protocol that hold at every moment, checked as tasks start, commands are sent and
// users are answered, and once a step.
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

class RuleChecks : public ProtocolObserver {
 public:
  // What the rules are about.
  struct Subjects {
    const SimulatedClock& clock;
    const ClusterConfig& config;
    const SimulatedWorkers& workers;
    const SimulatedControllers& controllers;
    const TroubleTracker& troubles;
  };
  RuleChecks(const Subjects& subjects, SimulatedJobs& jobs, ScenarioTrace& trace,
             FailureLog& failures)
      : clock_(subjects.clock),
        config_(subjects.config),
        workers_(subjects.workers),
        controllers_(subjects.controllers),
        troubles_(subjects.troubles),
        jobs_(jobs),
        trace_(trace),
        failures_(failures) {}

  // No controller may command a start of what was confirmed as cancelled. One that hears neither the
  // state service nor any other controller has until its authority ends.
  void on_start_commanded(std::size_t controller, const TaskId& task) override;
  // A task runs once at a time, in an allowed place, after all that its job needs.
  void on_task_started(const SimulatedMachine& machine, const TaskId& task) override;
  // What users are told of a job is true and final. `status` is the wire's word.
  void check_answer(SimulatedJob& job, const std::string& status);
  // Cancelled tasks end in time, and no team exceeds its quota.
  void check_running_tasks();
  // Of all tasks, repeated ones included.
  std::size_t starts() const { return starts_; }

 private:
  void check_runs_once(const SimulatedMachine& machine, const TaskId& task);
  void check_place(const SimulatedMachine& machine, const TaskId& task,
                   const protocol::JobSpec& spec);
  // The other active tasks of the task's job, by zone.
  std::map<std::string, int> others_by_zone(const TaskId& task) const;
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
  std::size_t starts_ = 0;
};

}  // namespace saddleslip::testing

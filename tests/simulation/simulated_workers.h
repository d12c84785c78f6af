// The machines of a simulated cluster and their agents, which run tasks, send heartbeats, execute
// commands and lose their tasks when their lease expires.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "coordination/controller.h"
#include "protocol/messages.h"
#include "simulation/cluster_config.h"
#include "simulation/controller_endpoints.h"
#include "simulation/failure_log.h"
#include "simulation/protocol_observer.h"
#include "simulation/scenario_trace.h"
#include "simulation/simulated_clock.h"
#include "simulation/simulated_jobs.h"
#include "simulation/simulated_machine.h"
#include "simulation/simulated_network.h"

namespace saddleslip::testing {

// Owns the machines and plays the agent of each of them.
class SimulatedWorkers {
 public:
  // The parts of the simulated cluster that the workers read.
  struct Dependencies {
    const SimulatedClock& clock;
    const ClusterConfig& config;
    const SimulatedNetwork& network;
  };
  SimulatedWorkers(const Dependencies& dependencies, SimulatedJobs& jobs, ScenarioTrace& trace,
                   FailureLog& failures)
      : clock_(dependencies.clock),
        config_(dependencies.config),
        network_(dependencies.network),
        jobs_(jobs),
        trace_(trace),
        failures_(failures) {}

  // Adds a machine that has finished booting at the given time.
  void add(const std::string& id, const std::string& type, const std::string& zone, bool is_spot,
           double up_at);
  // Adds machines to the fleet, whose machines are numbered consecutively: f1001, f1002, ...
  void add_fleet(std::size_t count, const std::string& type, const std::string& zone);
  // Returns every machine of the fleet whose position, in the order of the ids, is a multiple of
  // `interval`.
  std::vector<SimulatedMachine*> every_nth_of_fleet(std::size_t interval);
  void remove(const std::string& id) { machines_.erase(id); }
  // Restarts a machine without its tasks and with its next agent incarnation. It is up again after
  // the given time.
  void reboot(const std::string& id, double seconds);
  // Returns the machine. Throws std::out_of_range if there is none with this id.
  SimulatedMachine& at(const std::string& id) { return machines_.at(id); }
  // Returns the machine, or null if there is none with this id.
  const SimulatedMachine* find(const std::string& id) const;
  std::map<std::string, SimulatedMachine>& all() { return machines_; }
  const std::map<std::string, SimulatedMachine>& all() const { return machines_; }

  // Counts the job's running tasks, without those on hung machines.
  std::size_t running_tasks(const JobId& job) const;

  // Delivers delayed copies of heartbeats, advances the tasks and sends the heartbeats that are
  // due.
  void step(ControllerEndpoints& controllers, ProtocolObserver& observer);
  // Delivers a batch of commands to a machine. Returns the heartbeat with which it replies, or
  // std::nullopt if the machine cannot be reached.
  std::optional<protocol::Heartbeat> deliver(const coordination::CommandBatch& batch);

 private:
  struct LateHeartbeat {
    double due_at;
    protocol::Heartbeat heartbeat;
  };

  void deliver_late_heartbeats(ControllerEndpoints& controllers);
  void step_machine(SimulatedMachine& machine, ControllerEndpoints& controllers,
                    ProtocolObserver& observer);
  // Returns whether the attempt's state changed.
  bool step_attempt(const SimulatedMachine& machine, const TaskId& task, SimulatedAttempt& attempt,
                    ProtocolObserver& observer);
  void send_heartbeat(SimulatedMachine& machine, ControllerEndpoints& controllers,
                      ProtocolObserver& observer);
  // Directs the machine's heartbeats to the owner that a reply names, if that controller exists.
  void follow_redirect(SimulatedMachine& machine, const protocol::Json& reply,
                       const ControllerEndpoints& controllers);
  // Executes the commands in the reply to a heartbeat, unless its fencing token is out of date.
  void process_reply(SimulatedMachine& machine, const protocol::Json& reply,
                     ProtocolObserver& observer);
  // Returns whether the machine's heartbeats can reach the controller that they go to.
  bool is_connected(const SimulatedMachine& machine) const;
  // Directs the machine's heartbeats to the next controller, the first of them after a retry delay.
  void try_next_controller(SimulatedMachine& machine, const ControllerEndpoints& controllers);
  protocol::Heartbeat make_heartbeat(SimulatedMachine& machine);
  // Executes the commands to run, kill or forget attempts.
  void execute_commands(SimulatedMachine& machine, const std::vector<protocol::Command>& commands);
  // Returns a new attempt, already ended if it repeats an active task or exceeds the free cores.
  SimulatedAttempt start_attempt(const SimulatedMachine& machine,
                                 const protocol::Command& command) const;
  // Returns the cores that the machine's active attempts use.
  double cores_in_use(const SimulatedMachine& machine) const;
  // Starts the machine's next agent incarnation, which has no tasks.
  void begin_agent_incarnation(SimulatedMachine& machine);

  const SimulatedClock& clock_;
  const ClusterConfig& config_;
  const SimulatedNetwork& network_;
  SimulatedJobs& jobs_;
  ScenarioTrace& trace_;
  FailureLog& failures_;
  std::map<std::string, SimulatedMachine> machines_;
  std::vector<LateHeartbeat> late_heartbeats_;
  std::size_t fleet_size_ = 0;
};

}  // namespace saddleslip::testing

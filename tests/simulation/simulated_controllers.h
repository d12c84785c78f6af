// The controllers of a simulated cluster. Each simulated process runs the daemon's loops in steps
// of simulated time around a real coordination::Controller, which makes all decisions. Controllers
// are identified by their index, which starts at 0.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/controller.h"
#include "simulation/cluster_config.h"
#include "simulation/command_channel.h"
#include "simulation/controller_endpoints.h"
#include "simulation/controller_process.h"
#include "simulation/failure_log.h"
#include "simulation/protocol_observer.h"
#include "simulation/scenario_trace.h"
#include "simulation/simulated_cloud.h"
#include "simulation/simulated_network.h"
#include "simulation/simulated_state_service.h"

namespace saddleslip::testing {

// Owns the controllers' processes. Its public functions cause the scenario's faults of controllers
// and deliver the requests of workers, machines and users to controllers.
class SimulatedControllers : public ControllerEndpoints {
 public:
  // The parts of the simulated cluster that the controllers use.
  struct Dependencies {
    const SimulatedClock& clock;
    const ClusterConfig& config;
    const SimulatedNetwork& network;
    SimulatedStateService& state;
    SimulatedCloud& cloud;
    CommandChannel& commands;
    ScenarioTrace& trace;
    FailureLog& failures;
  };
  explicit SimulatedControllers(const Dependencies& dependencies);

  // Starts the processes of the given number of controllers.
  void start_all(std::size_t controller_count);
  // Ends a controller's process. It restarts after the given seconds, or never if none are given.
  void crash(std::size_t controller_index, std::optional<double> restart_after_s);
  // Ends a controller's process and restarts it, after the given seconds, with the current version.
  void upgrade(std::size_t controller_index, double restart_after_s);
  // Pauses a controller's process while its clocks keep running; it then resumes with its state.
  void freeze(std::size_t controller_index, double seconds);
  // Delays every change that the controller's watch delivers.
  void set_watch_lag(std::size_t controller_index, double seconds);
  // Sets the time between loading the job records and loading the chunk records of their tasks.
  void set_chunk_load_delay(std::size_t controller_index, double seconds);
  // Runs the loops that are due in every process that is up and neither frozen nor blocked.
  void step(ProtocolObserver& observer);

  std::size_t count() const override { return processes_.size(); }
  bool is_serving(std::size_t controller_index) const override;
  bool is_frozen(std::size_t controller_index) const override;
  coordination::WorkerReply handle_heartbeat(std::size_t controller_index,
                                             const protocol::Heartbeat& heartbeat) override;
  void handle_command_reply(std::size_t controller_index, const base::MachineId& machine,
                            const protocol::Heartbeat& heartbeat) override;

  // Returns whether the controller reaches the state service or another controller whose process is
  // up.
  bool reaches_state_or_peer(std::size_t controller_index) const;
  // Returns the TTL, in seconds, of the controller's member lease.
  double member_ttl(std::size_t controller_index) const;
  // Returns whether the scenario has set a watch lag for any controller.
  bool has_watch_lag() const { return has_watch_lag_; }
  // Returns the API through which users submit, query and cancel jobs at this controller.
  UserApi& user_api(std::size_t controller_index) { return *processes_[controller_index].user_api; }

 private:
  void start_process(std::size_t controller_index);
  void step_process(std::size_t controller_index, ProtocolObserver& observer);
  // Returns whether a message between two different controllers is delivered and processed now.
  bool is_peer_reachable(std::size_t from, std::size_t to) const;
  // Notifies all reachable controllers that the cancellation of a job is committed.
  void broadcast_cancellation(std::size_t from, const base::JobId& id);

  // --- access to the state service
  // Returns whether the process runs the version before the current one.
  bool runs_previous_version(std::size_t controller_index) const;
  // Reports a failure if a transaction exceeds the state service's current or announced limits.
  void check_limits(std::size_t controller_index, const protocol::Transaction& transaction) const;
  // Reports a failure if a job record is split before all controllers are upgraded.
  void check_record_format(const protocol::Transaction& transaction) const;
  // Checks and commits a transaction, subject to the scenario's faults, and writes it to the trace.
  protocol::StateClient::CommitResult commit(std::size_t controller_index,
                                             const protocol::Transaction& transaction);
  protocol::StateClient::CommitResult commit_without_trace(
      std::size_t controller_index, const protocol::Transaction& transaction);
  void trace_commit(std::size_t controller_index, const protocol::Transaction& transaction,
                    const protocol::StateClient::CommitResult& result);
  // Loads all records into the cache of a process that has just started; may take several steps.
  void load_records(std::size_t controller_index);
  // Applies the chunk records to the cache, or all other records except the jobs' final states.
  void apply_records(std::size_t controller_index, bool only_chunks);
  // Applies the changes that are at least `lag_s` seconds old to the cache.
  void apply_changes(std::size_t controller_index, double lag_s);
  // Applies all changes to the cache. Returns false if the records are not loaded yet or the state
  // service is unreachable.
  bool catch_up(std::size_t controller_index);
  // Reads the job and chunk records among these keys again and applies them to the cache.
  void refresh_records(std::size_t controller_index, const std::vector<std::string>& keys);
  // Reads the final states of dependencies that the cache does not hold.
  void read_unresolved_dependencies(std::size_t controller_index);

  // --- the process's loops
  void renew_lease(std::size_t controller_index);
  // Registers a new incarnation with a new lease. Returns false if the commit failed.
  bool register_incarnation(std::size_t controller_index);
  // Commits the ownership claims and the membership change that the controller proposes, if any.
  void propose_claims_and_membership(std::size_t controller_index);
  // Sends the controller's status to every reachable peer and executes the instructions in each
  // reply.
  void sync_peers(std::size_t controller_index);
  void sync_peer(std::size_t from, std::size_t to);
  // Runs one scheduling round: offers, plans, commits and commands.
  void run_round(std::size_t controller_index, ProtocolObserver& observer);
  // Delivers the offers of waiting tasks that the controller makes to members, itself included.
  void send_offers(std::size_t controller_index);
  // Plans and commits once. Returns whether the round must plan again.
  bool plan_and_commit_once(std::size_t controller_index, ProtocolObserver& observer);
  void send_commands(std::size_t controller_index,
                     const std::vector<coordination::CommandBatch>& batches,
                     ProtocolObserver& observer);
  // Commits record maintenance: final states, splits of large records and garbage collection.
  void maintain_records(std::size_t controller_index);
  // Rents and releases machines as the controller's autoscaler plans. Only the leader does so.
  void scale_fleet(std::size_t controller_index);
  // Writes the record of the machine types.
  void write_catalogue(std::size_t controller_index);
  void scale_out(std::size_t controller_index, const coordination::ScaleOut& rental);

  const SimulatedClock& clock_;
  const ClusterConfig& config_;
  const SimulatedNetwork& network_;
  SimulatedStateService& state_;
  SimulatedCloud& cloud_;
  CommandChannel& commands_;
  ScenarioTrace& trace_;
  FailureLog& failures_;
  std::vector<ControllerProcess> processes_;
  bool has_watch_lag_ = false;
};

}  // namespace saddleslip::testing

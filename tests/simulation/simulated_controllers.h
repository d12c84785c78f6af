// The controllers of a simulated cluster. Each simulated process runs the daemon's loops in steps of
// simulated time around a real coordination::Controller, which makes all decisions. Controllers are
// identified by their index, which starts at 0.
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

class SimulatedControllers : public ControllerEndpoints {
 public:
  // The parts of the simulated cluster that the controllers use.
  struct Surroundings {
    const SimulatedClock& clock;
    const ClusterConfig& config;
    const SimulatedNetwork& network;
    SimulatedStateService& state;
    SimulatedCloud& cloud;
    CommandChannel& commands;
    ScenarioTrace& trace;
    FailureLog& failures;
  };
  explicit SimulatedControllers(const Surroundings& surroundings);

  // Starts the processes of `controllers` controllers.
  void start_all(std::size_t controllers);
  // Ends a controller's process. Without `back_after`, in seconds, it is never restarted.
  void crash(std::size_t controller, std::optional<double> back_after);
  // Ends a controller's process and restarts it with the current version `back_after` seconds later.
  void upgrade(std::size_t controller, double back_after);
  // Pauses a controller's process while its clocks keep running; it then resumes with its state.
  void freeze(std::size_t controller, double seconds);
  // Delays every change that the controller's watch delivers.
  void set_watch_lag(std::size_t controller, double seconds);
  // Sets the time between loading the job records and loading the chunk records of their tasks.
  void set_load_time(std::size_t controller, double seconds);
  void step(ProtocolObserver& observer);

  std::size_t count() const override { return processes_.size(); }
  bool is_serving(std::size_t controller) const override;
  bool is_frozen(std::size_t controller) const override;
  coordination::WorkerReply handle_heartbeat(std::size_t controller,
                                             const protocol::Heartbeat& heartbeat) override;
  void handle_command_reply(std::size_t controller, const base::MachineId& machine,
                            const protocol::Heartbeat& heartbeat) override;

  // Returns whether the controller reaches the state service or another controller whose process is
  // up.
  bool hears_anyone(std::size_t controller) const;
  double member_ttl(std::size_t controller) const;
  // Returns whether the scenario has set a watch lag for any controller.
  // Returns whether the scenario has set a watch lag for any controller.
  bool any_watch_lags() const { return any_watch_lags_; }
  UserApi& user_api(std::size_t controller) { return *processes_[controller].user_api; }

 private:
  void start(std::size_t n);
  void step_process(std::size_t n, ProtocolObserver& observer);
  // Returns whether a message between two different controllers is delivered and processed now.
  bool takes_message(std::size_t from, std::size_t to) const;
  void broadcast_cancellation(std::size_t from, const base::JobId& id);

  // --- access to the state service
  // Returns whether the process runs the version before the current one.
  bool is_version_before(std::size_t n) const;
  void check_limits(std::size_t n, const protocol::Transaction& txn) const;
  void check_format(const protocol::Transaction& txn) const;
  protocol::StateClient::Committed commit(std::size_t n, const protocol::Transaction& txn);
  protocol::StateClient::Committed commit_untraced(std::size_t n, const protocol::Transaction& txn);
  void trace_commit(std::size_t n, const protocol::Transaction& txn,
                    const protocol::StateClient::Committed& done);
  void load(std::size_t n);
  // Applies the chunk records to the cache, or all other records except the jobs' final states.
  void apply_records(std::size_t n, bool only_chunks);
  // Applies the changes that are at least `lag` seconds old to the cache.
  void apply_changes(std::size_t n, double lag);
  // Applies all changes to the cache. Returns false if the records are not loaded yet or the state
  // service is unreachable.
  bool catch_up(std::size_t n);
  // Reads the job and chunk records among these keys again and applies them to the cache.
  void refresh(std::size_t n, const std::vector<std::string>& keys);
  void read_unresolved_dependencies(std::size_t n);

  // --- the process's loops
  void renew_lease(std::size_t n);
  // Registers a new incarnation with a new lease. Returns false if the commit failed.
  bool join(std::size_t n);
  void propose_changes(std::size_t n);
  void sync_peers(std::size_t n);
  void sync_peer(std::size_t from, std::size_t to);
  void run_round(std::size_t n, ProtocolObserver& observer);
  void send_offers(std::size_t n);
  // Plans and commits once. Returns whether the round must plan again.
  bool plan_once(std::size_t n, ProtocolObserver& observer);
  void send_commands(std::size_t n, const std::vector<coordination::CommandBatch>& batches,
                     ProtocolObserver& observer);
  void maintain_records(std::size_t n);
  void plan_fleet(std::size_t n);
  void write_catalogue(std::size_t n);
  void scale_out(std::size_t n, const coordination::ScaleOut& rental);

  const SimulatedClock& clock_;
  const ClusterConfig& config_;
  const SimulatedNetwork& network_;
  SimulatedStateService& state_;
  SimulatedCloud& cloud_;
  CommandChannel& commands_;
  ScenarioTrace& trace_;
  FailureLog& failures_;
  std::vector<ControllerProcess> processes_;
  bool any_watch_lags_ = false;
};

}  // namespace saddleslip::testing

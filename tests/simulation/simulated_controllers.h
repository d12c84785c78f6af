// The controllers of a simulated cluster: their processes, and the loops of each played in steps of
// simulated time. The decisions are the real ones.
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
  // What the controllers reach, and what they are played with.
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

  void start_all(std::size_t controllers);
  void crash(std::size_t controller, std::optional<double> back_after);
  // Ends the process; it comes back with this version.
  void upgrade(std::size_t controller, double back_after);
  // The process stands still while its clocks run on; then it goes on where it was.
  void freeze(std::size_t controller, double seconds);
  void set_watch_lag(std::size_t controller, double seconds);
  void set_load_time(std::size_t controller, double seconds);
  void step(ProtocolObserver& observer);

  std::size_t count() const override { return processes_.size(); }
  bool is_serving(std::size_t controller) const override;
  bool is_frozen(std::size_t controller) const override;
  coordination::WorkerReply handle_heartbeat(std::size_t controller,
                                             const protocol::Heartbeat& heartbeat) override;
  void handle_command_reply(std::size_t controller, const base::MachineId& machine,
                            const protocol::Heartbeat& heartbeat) override;

  // Does it reach the state service or any controller that is up?
  bool hears_anyone(std::size_t controller) const;
  double member_ttl(std::size_t controller) const;
  bool any_watch_lags() const { return any_watch_lags_; }
  UserApi& user_api(std::size_t controller) { return *processes_[controller].user_api; }

 private:
  void start(std::size_t n);
  void step_process(std::size_t n, ProtocolObserver& observer);
  // Does a controller take in what another tells it now?
  bool takes_message(std::size_t from, std::size_t to) const;
  void broadcast_cancellation(std::size_t from, const base::JobId& id);

  // The store, as a controller uses it.
  bool is_version_before(std::size_t n) const;
  void check_limits(std::size_t n, const protocol::Transaction& txn) const;
  void check_format(const protocol::Transaction& txn) const;
  protocol::StateClient::Committed commit(std::size_t n, const protocol::Transaction& txn);
  protocol::StateClient::Committed commit_untraced(std::size_t n, const protocol::Transaction& txn);
  void trace_commit(std::size_t n, const protocol::Transaction& txn,
                    const protocol::StateClient::Committed& done);
  void load(std::size_t n);
  void apply_records(std::size_t n, bool chunks);
  void apply_changes(std::size_t n, double lag);
  bool catch_up(std::size_t n);
  void refresh(std::size_t n, const std::vector<std::string>& keys);
  void read_unresolved_dependencies(std::size_t n);

  // The loops.
  void renew_lease(std::size_t n);
  // Registers a new incarnation with a new lease. False: that failed.
  bool join(std::size_t n);
  void propose_changes(std::size_t n);
  void sync_peers(std::size_t n);
  void sync_peer(std::size_t from, std::size_t to);
  void run_round(std::size_t n, ProtocolObserver& observer);
  void send_offers(std::size_t n);
  // Plans and commits once. False: nothing is left to do in this round.
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

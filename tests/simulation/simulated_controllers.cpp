// The controllers' processes: start, crash, upgrade and freeze, and the messages they receive.
#include "simulation/simulated_controllers.h"

namespace saddleslip::testing {

SimulatedControllers::SimulatedControllers(const Dependencies& dependencies)
    : clock_(dependencies.clock),
      config_(dependencies.config),
      network_(dependencies.network),
      state_(dependencies.state),
      cloud_(dependencies.cloud),
      commands_(dependencies.commands),
      trace_(dependencies.trace),
      failures_(dependencies.failures) {}

void SimulatedControllers::start_all(std::size_t controller_count) {
  processes_.resize(controller_count);
  for (std::size_t controller_index = 0; controller_index < processes_.size(); ++controller_index)
    start_process(controller_index);
}

void SimulatedControllers::start_process(std::size_t controller_index) {
  ControllerProcess& process = processes_[controller_index];
  process.settings =
      config_.controller_settings(controller_index, processes_.size(), process.is_upgraded);
  process.mutex = std::make_unique<base::MonitoredMutex>();
  process.controller = std::make_unique<coordination::Controller>(process.settings);
  process.user_api = std::make_unique<UserApi>(
      process.settings, *process.mutex, *process.controller,
      UserApi::Store{[this, controller_index] { return catch_up(controller_index); },
                     [this, controller_index](const std::string& key) {
                       return state_.get(controller_index, key);
                     },
                     [this, controller_index](const protocol::Transaction& transaction) {
                       return commit(controller_index, transaction);
                     },
                     [this] { return clock_.wall_seconds(); },
                     [this, controller_index] { processes_[controller_index].is_round_due = true; },
                     [this, controller_index](const base::JobId& id) {
                       broadcast_cancellation(controller_index, id);
                     }});
  process.is_up = true;
  process.is_loaded = false;
  process.lease.reset();
  process.next_renewal_at = process.next_round_at = 0;
  process.next_peer_sync_at = process.next_scaling_at = 0;
  process.blocked_until = 0;
  process.restart_at.reset();
  process.load_chunks_at.reset();
}

void SimulatedControllers::crash(std::size_t controller_index,
                                 std::optional<double> restart_after_s) {
  ControllerProcess& process = processes_.at(controller_index);
  process.is_up = false;
  process.restart_at.reset();
  if (restart_after_s) process.restart_at = clock_.seconds() + *restart_after_s;
}

void SimulatedControllers::upgrade(std::size_t controller_index, double restart_after_s) {
  processes_.at(controller_index).is_upgraded = true;
  crash(controller_index, restart_after_s);
}

void SimulatedControllers::freeze(std::size_t controller_index, double seconds) {
  processes_.at(controller_index).frozen_until = clock_.seconds() + seconds;
}

void SimulatedControllers::set_watch_lag(std::size_t controller_index, double seconds) {
  processes_.at(controller_index).watch_lag_s = seconds;
  has_watch_lag_ = true;
}

void SimulatedControllers::set_chunk_load_delay(std::size_t controller_index, double seconds) {
  processes_.at(controller_index).chunk_load_delay_s = seconds;
}

bool SimulatedControllers::is_serving(std::size_t controller_index) const {
  return processes_[controller_index].is_serving();
}

bool SimulatedControllers::is_frozen(std::size_t controller_index) const {
  return clock_.seconds() < processes_[controller_index].frozen_until;
}

double SimulatedControllers::member_ttl(std::size_t controller_index) const {
  return processes_[controller_index].settings.tuning.member_ttl.count();
}

bool SimulatedControllers::reaches_state_or_peer(std::size_t controller_index) const {
  if (state_.is_reachable_from(controller_index)) return true;
  for (std::size_t other = 0; other < processes_.size(); ++other) {
    if (other != controller_index && processes_[other].is_up &&
        !network_.is_cut(controller_name(controller_index), controller_name(other))) {
      return true;
    }
  }
  return false;
}

coordination::WorkerReply SimulatedControllers::handle_heartbeat(
    std::size_t controller_index, const protocol::Heartbeat& heartbeat) {
  ControllerProcess& process = processes_[controller_index];
  coordination::WorkerReply reply = process.controller->handle_heartbeat(heartbeat, clock_.now());
  process.is_round_due = true;
  return reply;
}

void SimulatedControllers::handle_command_reply(std::size_t controller_index,
                                                const base::MachineId& machine,
                                                const protocol::Heartbeat& heartbeat) {
  ControllerProcess& process = processes_[controller_index];
  if (process.is_up) process.controller->handle_command_reply(machine, heartbeat, clock_.now());
}

bool SimulatedControllers::is_peer_reachable(std::size_t from, std::size_t to) const {
  return to != from && is_serving(to) && !is_frozen(to) &&
         !network_.is_cut(controller_name(from), controller_name(to));
}

void SimulatedControllers::broadcast_cancellation(std::size_t from, const base::JobId& id) {
  for (std::size_t to = 0; to < processes_.size(); ++to) {
    if (!is_peer_reachable(from, to)) continue;
    processes_[to].controller->notify_cancelled(id);
    processes_[to].is_round_due = true;
  }
}

}  // namespace saddleslip::testing

// The controllers' processes: start, crash, upgrade and freeze, and the messages they receive.
#include "simulation/simulated_controllers.h"

namespace saddleslip::testing {

SimulatedControllers::SimulatedControllers(const Surroundings& surroundings)
    : clock_(surroundings.clock),
      config_(surroundings.config),
      network_(surroundings.network),
      state_(surroundings.state),
      cloud_(surroundings.cloud),
      commands_(surroundings.commands),
      trace_(surroundings.trace),
      failures_(surroundings.failures) {}

void SimulatedControllers::start_all(std::size_t controllers) {
  processes_.resize(controllers);
  for (std::size_t n = 0; n < processes_.size(); ++n) start(n);
}

void SimulatedControllers::start(std::size_t n) {
  ControllerProcess& process = processes_[n];
  process.settings = config_.settings_of(n, processes_.size(), process.is_upgraded);
  process.mutex = std::make_unique<std::mutex>();
  process.controller = std::make_unique<coordination::Controller>(process.settings);
  process.user_api = std::make_unique<UserApi>(
      process.settings, *process.mutex, *process.controller,
      UserApi::Store{[this, n] { return catch_up(n); },
                     [this, n](const std::string& key) { return state_.get(n, key); },
                     [this, n](const protocol::Transaction& txn) { return commit(n, txn); },
                     [this] { return clock_.wall_seconds(); },
                     [this, n] { processes_[n].is_round_due = true; },
                     [this, n](const base::JobId& id) { broadcast_cancellation(n, id); }});
  process.is_up = true;
  process.is_loaded = false;
  process.lease.reset();
  process.next_renewal_at = process.next_round_at = 0;
  process.next_peer_sync_at = process.next_fleet_plan_at = 0;
  process.busy_until = 0;
  process.back_at.reset();
  process.reads_chunks_at.reset();
}

void SimulatedControllers::crash(std::size_t controller, std::optional<double> back_after) {
  ControllerProcess& process = processes_.at(controller);
  process.is_up = false;
  process.back_at.reset();
  if (back_after) process.back_at = clock_.seconds() + *back_after;
}

void SimulatedControllers::upgrade(std::size_t controller, double back_after) {
  processes_.at(controller).is_upgraded = true;
  crash(controller, back_after);
}

void SimulatedControllers::freeze(std::size_t controller, double seconds) {
  processes_.at(controller).frozen_until = clock_.seconds() + seconds;
}

void SimulatedControllers::set_watch_lag(std::size_t controller, double seconds) {
  processes_.at(controller).watch_lag_s = seconds;
  any_watch_lags_ = true;
}

void SimulatedControllers::set_load_time(std::size_t controller, double seconds) {
  processes_.at(controller).load_time_s = seconds;
}

bool SimulatedControllers::is_serving(std::size_t controller) const {
  return processes_[controller].is_serving();
}

bool SimulatedControllers::is_frozen(std::size_t controller) const {
  return clock_.seconds() < processes_[controller].frozen_until;
}

double SimulatedControllers::member_ttl(std::size_t controller) const {
  return processes_[controller].settings.tuning.member_ttl.count();
}

bool SimulatedControllers::hears_anyone(std::size_t controller) const {
  if (state_.is_reachable_from(controller)) return true;
  for (std::size_t other = 0; other < processes_.size(); ++other) {
    if (other != controller && processes_[other].is_up &&
        !network_.is_cut(controller_name(controller), controller_name(other))) {
      return true;
    }
  }
  return false;
}

coordination::WorkerReply SimulatedControllers::handle_heartbeat(
    std::size_t controller, const protocol::Heartbeat& heartbeat) {
  ControllerProcess& process = processes_[controller];
  coordination::WorkerReply reply = process.controller->handle_heartbeat(heartbeat, clock_.now());
  process.is_round_due = true;
  return reply;
}

void SimulatedControllers::handle_command_reply(std::size_t controller,
                                                const base::MachineId& machine,
                                                const protocol::Heartbeat& heartbeat) {
  ControllerProcess& process = processes_[controller];
  if (process.is_up) process.controller->handle_command_reply(machine, heartbeat, clock_.now());
}

bool SimulatedControllers::takes_message(std::size_t from, std::size_t to) const {
  return to != from && is_serving(to) && !is_frozen(to) &&
         !network_.is_cut(controller_name(from), controller_name(to));
}

void SimulatedControllers::broadcast_cancellation(std::size_t from, const base::JobId& id) {
  for (std::size_t to = 0; to < processes_.size(); ++to) {
    if (!takes_message(from, to)) continue;
    processes_[to].controller->notify_cancelled(id);
    processes_[to].is_round_due = true;
  }
}

}  // namespace saddleslip::testing

// One machine of a simulated cluster, with the state of its agent and its tasks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

namespace saddleslip::testing {

using base::TaskId;

struct SimulatedAttempt {
  std::uint64_t attempt = 0;
  std::string state, cause;  // in the words of the wire
  double image_ready_at = 0, ends_at = 0;

  bool is_active() const { return state != "ended"; }
  void end(const std::string& why) {
    state = "ended";
    cause = why;
  }
};

// Times are seconds of the scenario.
struct SimulatedMachine {
  std::string id, type, zone;
  bool is_spot = false;
  bool is_alive = true;
  bool is_hung = false;                // it stands still; commands wait for it
  bool is_faulty = false;              // it fails all that it starts
  bool is_silent = false;              // it reaches no controller, but commands reach it
  bool is_half_open = false;           // its heartbeats arrive, but nothing reaches it
  std::optional<double> copies_delay;  // a copy of each heartbeat arrives so much later, everywhere
  double up_at = 0;
  std::optional<double> spot_ends_at;  // the cloud takes it back then
  std::uint64_t agent_incarnation = 1, sequence = 0, fencing_token = 0;
  double last_answered_at = 0;  // when its last answered heartbeat was sent
  double next_heartbeat_at = 0;
  std::size_t controller = 0;  // to which its heartbeats go
  std::map<TaskId, std::vector<SimulatedAttempt>> tasks;

  double cores() const { return type == "big" ? 8 : 4; }
  bool is_up(double now) const { return is_alive && now >= up_at; }
  // Can work that is placed on it be expected to run?
  bool is_usable(double now) const {
    return is_up(now) && !is_hung && !is_faulty && !is_half_open && !is_silent && !spot_ends_at;
  }
  bool has_active(const TaskId& task) const {
    const auto at = tasks.find(task);
    return at != tasks.end() &&
           std::any_of(at->second.begin(), at->second.end(),
                       [](const SimulatedAttempt& a) { return a.is_active(); });
  }
  void die() {
    is_alive = false;
    tasks.clear();
  }
};

}  // namespace saddleslip::testing

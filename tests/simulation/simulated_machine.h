// A machine of a simulated cluster, with the state of its agent and of its task attempts.
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

// An attempt to run a task, as its agent reports it.
struct SimulatedAttempt {
  std::uint64_t number = 0;
  std::string state, cause;  // as the protocol writes them
  double image_ready_at = 0, ends_at = 0;

  bool is_active() const { return state != "ended"; }
  void end(const std::string& reason) {
    state = "ended";
    cause = reason;
  }
};

// A machine, its agent and the attempts on it. Points in time are seconds since the start of the
// scenario.
struct SimulatedMachine {
  std::string id, type, zone;
  bool is_spot = false;
  bool is_alive = true;
  bool is_hung = false;       // does not respond until it resumes; commands to it wait
  bool is_faulty = false;     // every task that it starts fails
  bool is_silent = false;     // its heartbeats reach no controller, but commands reach it
  bool is_half_open = false;  // its heartbeats arrive, but replies and commands do not reach it
  // If set, a copy of each heartbeat arrives at all controllers after this many seconds.
  std::optional<double> duplicate_delay_s;
  double up_at = 0;                    // when it has booted
  std::optional<double> spot_ends_at;  // when the cloud reclaims the spot machine
  std::uint64_t agent_incarnation = 1, sequence = 0, fencing_token = 0;
  double last_answered_at = 0;  // when its last answered heartbeat was sent
  double next_heartbeat_at = 0;
  std::size_t controller = 0;  // the index of the controller that its heartbeats go to
  std::map<TaskId, std::vector<SimulatedAttempt>> tasks;

  double cores() const { return type == "big" ? 8 : 4; }
  bool is_up(double now) const { return is_alive && now >= up_at; }
  // Returns whether a task that is placed on the machine can be expected to run.
  bool is_usable(double now) const {
    return is_up(now) && !is_hung && !is_faulty && !is_half_open && !is_silent && !spot_ends_at;
  }
  // Returns whether an attempt of the task has not ended on this machine.
  bool has_active(const TaskId& task) const {
    const auto found = tasks.find(task);
    return found != tasks.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [](const SimulatedAttempt& attempt) { return attempt.is_active(); });
  }
  // Ends the machine for good, with all tasks on it.
  void terminate() {
    is_alive = false;
    tasks.clear();
  }
};

}  // namespace saddleslip::testing

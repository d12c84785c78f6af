// The process of one controller in a simulated cluster: the real controller, and the timers of the
// process's loops.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "api/user_api.h"
#include "base/monitored_mutex.h"
#include "base/settings.h"
#include "coordination/controller.h"

namespace saddleslip::testing {

// The state of one process, and when its loops are due. Points in time are seconds since the start
// of the scenario.
struct ControllerProcess {
  base::Settings settings;
  std::unique_ptr<coordination::Controller> controller;
  std::unique_ptr<UserApi> user_api;
  std::unique_ptr<base::MonitoredMutex> mutex;
  bool is_upgraded = false;  // runs the current version, which observes `next_state_limits`
  bool is_up = false;
  bool is_loaded = false;
  bool is_round_due = true;
  bool is_renewal_due = true;
  std::optional<base::LeaseId> lease;
  double next_renewal_at = 0, next_round_at = 0, next_peer_sync_at = 0, next_scaling_at = 0;
  double blocked_until = 0;          // the process is blocked by a commit whose answer was lost
  std::optional<double> restart_at;  // when the process restarts after a crash
  double frozen_until = -1;
  double watch_lag_s = 0;
  double chunk_load_delay_s = 0;         // between loading the jobs and their tasks' chunk records
  std::optional<double> load_chunks_at;  // set while the records are being loaded
  std::uint64_t load_revision = 0;
  std::uint64_t rental_count = 0;

  bool is_serving() const { return is_up && is_loaded; }
};

}  // namespace saddleslip::testing

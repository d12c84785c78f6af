// One controller's process in a simulated cluster: its decisions, and the timers of its loops.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

#include "api/user_api.h"
#include "base/settings.h"
#include "coordination/controller.h"

namespace saddleslip::testing {

// Times are seconds of the scenario.
struct ControllerProcess {
  base::Settings settings;
  std::unique_ptr<coordination::Controller> controller;
  std::unique_ptr<UserApi> user_api;
  std::unique_ptr<std::mutex> mutex;
  bool is_upgraded = false;  // it keeps to the next limits, as the version before did not
  bool is_up = false;
  bool is_loaded = false;
  bool is_round_due = true;
  bool is_renewal_due = true;
  std::optional<base::LeaseId> lease;
  double next_renewal_at = 0, next_round_at = 0, next_peer_sync_at = 0, next_fleet_plan_at = 0;
  double busy_until = 0;          // it waits for the answer to a commit
  std::optional<double> back_at;  // after a crash
  double frozen_until = -1;
  double watch_lag_s = 0;
  double load_time_s = 0;                 // between reading the jobs and their tasks' records
  std::optional<double> reads_chunks_at;  // a load is under way
  std::uint64_t load_revision = 0;
  std::uint64_t rentals = 0;

  bool is_serving() const { return is_up && is_loaded; }
};

}  // namespace saddleslip::testing

// The operators' configuration of a simulated cluster, and the settings that each controller
// derives from it.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"

namespace saddleslip::testing {

// The configuration that the set-up commands of a scenario change before the controllers start.
struct ClusterConfig {
  // A team's guaranteed and maximal number of cores.
  struct TeamQuota {
    std::string team;
    double guaranteed_cores = 0;
    double max_cores = 0;  // 0 means unlimited
  };
  // The state service's limits: the size of a value, and the number of writes in a transaction.
  struct StateLimits {
    std::size_t max_value_bytes = 0;
    std::size_t max_writes = 0;
  };

  double heartbeat_period_s = 1;
  double agent_lease_s = 10;  // how long an agent keeps its tasks without an answered heartbeat
  double cancel_s = 30;  // deadline for tasks to end after their job's cancellation is confirmed
  std::vector<TeamQuota> teams = {{"t", 0, 0}};
  std::string operator_settings;  // the operators' settings file, in YAML
  // Lines in the file of single controllers, by index. They override `operator_settings`, as while
  // a change of the settings is half done.
  std::map<std::size_t, std::string> operator_settings_of;
  std::optional<StateLimits> state_limits;
  // Limits that the state service will get later. If they are set, the controllers start as the
  // previous version, which has no setting for them; the `upgrade` command replaces that version.
  std::optional<StateLimits> next_state_limits;

  // Returns the settings of one controller in a cluster of `controller_count` controllers.
  base::Settings controller_settings(std::size_t controller, std::size_t controller_count,
                                     bool is_upgraded) const;
};

}  // namespace saddleslip::testing

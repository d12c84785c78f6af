// What the operators of a simulated cluster configure, and the settings that a controller reads of it.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"

namespace saddleslip::testing {

struct ClusterConfig {
  struct TeamQuota {
    std::string team;
    double guaranteed_cores = 0;
    double max_cores = 0;  // 0: no limit
  };
  // The state service's limits of a value and of a transaction.
  struct StateLimits {
    std::size_t value_bytes = 0;
    std::size_t writes = 0;
  };

  double heartbeat_s = 1;
  double lease_s = 10;   // the agents' leases
  double cancel_s = 30;  // a cancelled task must have ended so long after its confirmation
  std::vector<TeamQuota> teams = {{"t", 0, 0}};
  std::string tuning;  // the operators' YAML
  std::optional<StateLimits> limits;
  // Limits that hold from some moment on. If there are any, controllers begin with the version
  // before, which does not know of them.
  std::optional<StateLimits> next_limits;

  // The settings of one of so many controllers.
  base::Settings settings_of(std::size_t controller, std::size_t controllers, bool upgraded) const;
};

}  // namespace saddleslip::testing

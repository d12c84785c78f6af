// What the parts of the scenario runner share.
#pragma once

#include <string>

#include "protocol/clients.h"

namespace saddleslip::testing {

using protocol::StateClient;
using Outcome = StateClient::Outcome;

inline constexpr double kServedWithin = 240;  // the operators' check of a whole day

inline double cores_of(const std::string& machine_type) {
  return machine_type == "big" ? 8 : 4;
}

inline bool is_active(const std::string& task_state) {
  return task_state != "ended";
}

}  // namespace saddleslip::testing

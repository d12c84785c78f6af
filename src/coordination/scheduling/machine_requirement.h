// What a job requires of a machine, in a form that can be the key of a map.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "protocol/job_spec.h"

namespace saddleslip::coordination {

// What a job requires of a machine, apart from its image. Equal requirements are met by the same
// machines.
struct MachineRequirement {
  explicit MachineRequirement(const protocol::JobSpec& spec)
      : request(spec.request.amounts), types(spec.types), zone(spec.zone), spot(spec.spot) {}

  std::array<double, 3> request;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool spot;
  auto operator<=>(const MachineRequirement&) const = default;
};

}  // namespace saddleslip::coordination

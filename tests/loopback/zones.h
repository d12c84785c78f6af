// The zones of the machines and controllers of a loopback cluster.
#pragma once

#include <array>
#include <cstddef>

namespace saddleslip::testing {

inline constexpr std::array<const char*, 3> kZones = {"a", "b", "c"};

// Returns the zone of the machine or controller with this number.
inline const char* zone_by_number(std::size_t number) {
  return kZones[number % kZones.size()];
}

}  // namespace saddleslip::testing

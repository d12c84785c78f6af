// Names of machines and jobs in a loopback cluster.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace saddleslip::testing {

// Returns the prefix followed by the number, padded with zeros to six digits.
inline std::string numbered_name(const std::string& prefix, std::uint64_t number) {
  constexpr std::size_t kDigits = 6;
  const std::string digits = std::to_string(number);
  return prefix + std::string(kDigits - std::min(kDigits, digits.size()), '0') + digits;
}

}  // namespace saddleslip::testing

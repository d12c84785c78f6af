// The amounts of resources that tasks request and machines offer.
#pragma once

#include <array>
#include <cstddef>

namespace saddleslip::protocol {

// An amount of each resource: CPU cores, GPUs and memory in GB.
struct Resources {
  std::array<double, 3> amounts{};  // in the order cores, GPUs, memory

  double cores() const { return amounts[0]; }
  double gpus() const { return amounts[1]; }
  double memory() const { return amounts[2]; }

  // Returns whether these resources cover `request`, tolerating rounding errors of repeated
  // additions.
  bool fits(const Resources& request) const {
    constexpr double kRoundingError = 1e-6;
    for (std::size_t i = 0; i < amounts.size(); ++i) {
      if (request.amounts[i] > amounts[i] + kRoundingError) return false;
    }
    return true;
  }

  Resources& operator+=(const Resources& other) {
    for (std::size_t i = 0; i < amounts.size(); ++i) amounts[i] += other.amounts[i];
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    for (std::size_t i = 0; i < amounts.size(); ++i) amounts[i] -= other.amounts[i];
    return *this;
  }
  friend Resources operator*(Resources resources, double factor) {
    for (double& amount : resources.amounts) amount *= factor;
    return resources;
  }
  bool operator==(const Resources&) const = default;
};

}  // namespace saddleslip::protocol

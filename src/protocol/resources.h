// Amounts of the resources that tasks request and machines have.
#pragma once

#include <array>
#include <cstddef>

namespace saddleslip::protocol {

// A vector of cores, GPUs and memory in GB.
struct Resources {
  std::array<double, 3> v{};

  double cores() const { return v[0]; }
  double gpus() const { return v[1]; }
  double memory() const { return v[2]; }

  // True if `request` fits into these resources, up to rounding errors of repeated sums.
  bool fits(const Resources& request) const {
    constexpr double kRoundingError = 1e-6;
    for (std::size_t i = 0; i < v.size(); ++i) {
      if (request.v[i] > v[i] + kRoundingError) return false;
    }
    return true;
  }

  Resources& operator+=(const Resources& other) {
    for (std::size_t i = 0; i < v.size(); ++i) v[i] += other.v[i];
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    for (std::size_t i = 0; i < v.size(); ++i) v[i] -= other.v[i];
    return *this;
  }
  friend Resources operator*(Resources resources, double factor) {
    for (double& amount : resources.v) amount *= factor;
    return resources;
  }
  bool operator==(const Resources&) const = default;
};

}  // namespace saddleslip::protocol

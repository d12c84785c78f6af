// The amounts of resources that tasks request and machines offer.
#pragma once

#include <array>
#include <cstddef>

namespace saddleslip::protocol {

// An amount of each resource: CPU cores, GPUs and memory in GB.
struct Resources {
  std::array<double, 3> v{};  // in the order cores, GPUs, memory

  double cores() const { return v[0]; }
  double gpus() const { return v[1]; }
  double memory() const { return v[2]; }

  // Returns whether these resources cover `request`, tolerating rounding errors of repeated
  // additions.
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

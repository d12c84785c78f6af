// The time of a simulated cluster. It moves in steps only, so that every run of a scenario is the same.
#pragma once

#include <chrono>

#include "base/clock.h"

namespace saddleslip::testing {

class SimulatedClock {
 public:
  static constexpr double kStep = 0.05;  // seconds

  // Seconds since the start of the scenario.
  double seconds() const { return seconds_; }
  // The same moment as a controller reads it from its monotonic clock.
  base::Time now() const {
    return base::Time(std::chrono::duration_cast<base::SteadyClock::duration>(
        base::Seconds(kSecondsAtStart + seconds_)));
  }
  // The same moment as a controller reads it from its wall clock, in seconds.
  double wall_seconds() const { return kSecondsAtStart + seconds_; }
  void advance() { seconds_ += kStep; }

 private:
  static constexpr double kSecondsAtStart = 1000;

  double seconds_ = 0;
};

}  // namespace saddleslip::testing

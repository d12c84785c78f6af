// The clock of a simulated cluster. Time advances only in fixed steps, so that every run of a scenario
// is identical.
#pragma once

#include <chrono>

#include "base/clock.h"

namespace saddleslip::testing {

class SimulatedClock {
 public:
  static constexpr double kStep = 0.05;

  // Returns the seconds since the start of the scenario.
  double seconds() const { return seconds_; }
  // Returns the current simulated time as a reading of a controller's monotonic clock.
  base::Time now() const {
    return base::Time(std::chrono::duration_cast<base::SteadyClock::duration>(
        base::Seconds(kSecondsAtStart + seconds_)));
  }
  // Returns the current simulated time as a reading of a controller's wall clock, in seconds.
  double wall_seconds() const { return kSecondsAtStart + seconds_; }
  void advance() { seconds_ += kStep; }

 private:
  static constexpr double kSecondsAtStart = 1000;

  double seconds_ = 0;
};

}  // namespace saddleslip::testing

// The clock of a simulated cluster. Time advances only in fixed steps, so that every run of a
// scenario is identical.
#pragma once

#include <chrono>

#include "base/clock.h"

namespace saddleslip::testing {

// Simulated time, in seconds and as the readings of a controller's monotonic and wall clocks.
class SimulatedClock {
 public:
  static constexpr double kStepSeconds = 0.05;

  // Returns the seconds since the start of the scenario.
  double seconds() const { return seconds_; }
  // Returns the current simulated time as a reading of a controller's monotonic clock.
  base::Time now() const {
    return base::Time(std::chrono::duration_cast<base::SteadyClock::duration>(
        base::Seconds(kControllerClockStartSeconds + seconds_)));
  }
  // Returns the current simulated time as a reading of a controller's wall clock, in seconds.
  double wall_seconds() const { return kControllerClockStartSeconds + seconds_; }
  // Advances the time by one step.
  void advance() { seconds_ += kStepSeconds; }

 private:
  static constexpr double kControllerClockStartSeconds = 1000;

  double seconds_ = 0;
};

}  // namespace saddleslip::testing

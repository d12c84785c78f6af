#include "base/clock.h"

namespace saddleslip::base {

SteadyClock::time_point SteadyClock::now() {
  return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

double wall_seconds() {
  return std::chrono::duration_cast<Seconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace saddleslip::base

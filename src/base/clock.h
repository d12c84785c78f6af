// Times. Steady times never leave the process; wall times are only compared within the bound that
// the settings give.
#pragma once

#include <chrono>

namespace saddleslip::base {

using Seconds = std::chrono::duration<double>;

struct SteadyClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now();
};

using Time = SteadyClock::time_point;

inline Time after(Time t, Seconds s) {
  return t + std::chrono::duration_cast<SteadyClock::duration>(s);
}
inline Seconds between(Time from, Time to) {
  return std::chrono::duration_cast<Seconds>(to - from);
}

// Seconds since 1970 by the time of day.
double wall_seconds();

// Steady clocks of two machines drift apart by up to this share (PROTOCOL); doubled for safety.
inline constexpr double kDrift = 0.001;

}  // namespace saddleslip::base

// Time: instants of the steady clock, durations in seconds, and the time of day.
//
// Steady instants are compared within one process only, and never sent to another. The time of day
// may differ between machines; it is compared only within the bound that the settings give.
#pragma once

#include <chrono>

namespace saddleslip::base {

using Seconds = std::chrono::duration<double>;

// The system's steady clock, with instants of a type of its own. Safe to read from any thread.
struct SteadyClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now();
};

// An instant of the steady clock. The default value stands for "never" or "not yet".
using Time = SteadyClock::time_point;

// The instant that lies so long after `time`; before it if the duration is negative.
inline Time after(Time time, Seconds duration) {
  return time + std::chrono::duration_cast<SteadyClock::duration>(duration);
}

// How long `to` lies after `from`; negative if it lies before.
inline Seconds between(Time from, Time to) {
  return std::chrono::duration_cast<Seconds>(to - from);
}

// The time of day, in seconds since 1970 (UTC).
double wall_seconds();

// The steady clocks of two machines drift apart by at most this fraction of the time that passes:
// twice what the protocol specifies, for safety.
inline constexpr double kDrift = 0.001;

}  // namespace saddleslip::base

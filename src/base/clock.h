// Clocks: time points of the steady clock, durations in seconds, and the time of day.
//
// Time points of the steady clock are valid in one process only and are never sent to another. The
// time of day may differ between machines, by at most the bound in the settings.
#pragma once

#include <chrono>

namespace saddleslip::base {

using Seconds = std::chrono::duration<double>;

// The system's steady clock with a distinct time point type. now() may be called from any thread.
struct SteadyClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now();
};

// A time point of the steady clock. The default value means "never" or "not yet".
using Time = SteadyClock::time_point;

// Returns the time point `duration` after `time`, or before it if the duration is negative.
inline Time after(Time time, Seconds duration) {
  return time + std::chrono::duration_cast<SteadyClock::duration>(duration);
}

// Returns the time from `from` to `to`, which is negative if `to` is earlier.
inline Seconds between(Time from, Time to) {
  return std::chrono::duration_cast<Seconds>(to - from);
}

// Returns the time of day in seconds since 1970-01-01 UTC.
double wall_seconds();

// The maximum clock drift: the steady clocks of two machines drift apart by at most this fraction
// of the elapsed time. It is twice the bound in the protocol's specification, as a safety margin.
inline constexpr double kDrift = 0.001;

}  // namespace saddleslip::base

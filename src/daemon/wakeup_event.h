// An event that wakes a loop before its period has passed.
#pragma once

#include <condition_variable>
#include <mutex>
#include <stop_token>

#include "base/clock.h"

namespace saddleslip {

// An auto-reset event that any thread may set and one thread waits for. Several notifications
// between two waits wake the waiting thread once.
class WakeupEvent {
 public:
  // Sets the event and wakes the waiting thread.
  void notify();
  // Waits until the event is set, the timeout has passed or a stop is requested, then resets the
  // event. Returns whether the event was set.
  bool wait_for(base::Seconds timeout, const std::stop_token& stop);

 private:
  std::mutex mutex_;
  std::condition_variable_any notified_;
  bool is_set_ = false;  // guarded by mutex_
};

// The wakeup events of the daemon's loops, which other threads set.
struct LoopWakeups {
  WakeupEvent lease_renewal;
  WakeupEvent scheduling;
  WakeupEvent fleet;
};

// Sleeps for the given duration, or until a stop is requested.
void sleep_for(base::Seconds duration, const std::stop_token& stop);

}  // namespace saddleslip

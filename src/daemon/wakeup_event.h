// An event that wakes a loop before its period is over.
#pragma once

#include <condition_variable>
#include <mutex>
#include <stop_token>

#include "base/clock.h"

namespace saddleslip {

// Set by any thread, waited for by one. Notifications between two waits count as one.
class WakeupEvent {
 public:
  void notify();
  // Waits until notified, until the timeout or until a stop is requested, and resets the event.
  // Returns whether it was notified.
  bool wait_for(base::Seconds timeout, const std::stop_token& stop);

 private:
  std::mutex mutex_;
  std::condition_variable_any notified_;
  bool is_set_ = false;  // guarded by mutex_
};

// The events of the loops that other threads wake.
struct LoopWakeups {
  WakeupEvent lease_renewal;
  WakeupEvent scheduling;
  WakeupEvent fleet;
};

// Sleeps for that time, or until a stop is requested.
void sleep_for(base::Seconds duration, const std::stop_token& stop);

}  // namespace saddleslip

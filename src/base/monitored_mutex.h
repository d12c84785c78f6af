// A mutex that records the longest times for which threads waited for it and held it.
#pragma once

#include <mutex>

#include "base/clock.h"

namespace saddleslip::base {

// A place in the code.
struct CallSite {
  const char* file = "";
  int line = 0;

  // Returns the place of the call of the function that has this call as a default argument.
  static constexpr CallSite current(const char* file = __builtin_FILE(),
                                    int line = __builtin_LINE()) {
    return {file, line};
  }
};

// A mutex whose waits and holds are measured. It is locked with MonitoredLock only.
//
// May be used by several threads at once.
class MonitoredMutex {
 public:
  // The longest duration of one kind and the code that caused it.
  struct Longest {
    Seconds duration{0};
    CallSite caller;
  };
  // What was measured in an interval.
  struct Report {
    Longest wait;  // from the call to the moment at which the mutex was locked
    Longest hold;  // from that moment until the mutex was unlocked
  };

  // Returns what was measured since the last call.
  Report take_report();

 private:
  friend class MonitoredLock;

  std::mutex mutex_;
  Report report_;  // guarded by mutex_
};

// Locks a MonitoredMutex for its own lifetime.
class MonitoredLock {
 public:
  MonitoredLock(MonitoredMutex& mutex, const CallSite& caller);
  ~MonitoredLock();
  MonitoredLock(const MonitoredLock&) = delete;
  MonitoredLock& operator=(const MonitoredLock&) = delete;

 private:
  MonitoredMutex& mutex_;
  const CallSite caller_;
  Time locked_at_;
};

}  // namespace saddleslip::base

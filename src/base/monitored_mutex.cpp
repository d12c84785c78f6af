#include "base/monitored_mutex.h"

#include <utility>

namespace saddleslip::base {

namespace {

void update(MonitoredMutex::Longest& longest, Seconds duration, const CallSite& caller) {
  if (duration > longest.duration) longest = {duration, caller};
}

}  // namespace

MonitoredMutex::Report MonitoredMutex::take_report() {
  const std::lock_guard lock(mutex_);
  return std::exchange(report_, {});
}

MonitoredLock::MonitoredLock(MonitoredMutex& mutex, const CallSite& caller)
    : mutex_(mutex), caller_(caller) {
  const Time called_at = SteadyClock::now();
  mutex_.mutex_.lock();
  locked_at_ = SteadyClock::now();
  update(mutex_.report_.wait, between(called_at, locked_at_), caller_);
}

MonitoredLock::~MonitoredLock() {
  update(mutex_.report_.hold, between(locked_at_, SteadyClock::now()), caller_);
  mutex_.mutex_.unlock();
}

}  // namespace saddleslip::base

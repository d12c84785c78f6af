#include "daemon/wakeup_event.h"

namespace saddleslip {

void WakeupEvent::notify() {
  {
    const std::lock_guard lock(mutex_);
    if (is_set_) return;
    is_set_ = true;
  }
  notified_.notify_one();
}

bool WakeupEvent::wait_for(base::Seconds timeout, const std::stop_token& stop) {
  std::unique_lock lock(mutex_);
  const bool was_notified = notified_.wait_for(lock, stop, timeout, [this] { return is_set_; });
  is_set_ = false;
  return was_notified;
}

void sleep_for(base::Seconds duration, const std::stop_token& stop) {
  std::mutex mutex;
  std::condition_variable_any stopped;
  std::unique_lock lock(mutex);
  stopped.wait_for(lock, stop, duration, [] { return false; });
}

}  // namespace saddleslip

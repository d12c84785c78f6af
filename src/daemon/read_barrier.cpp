#include "daemon/read_barrier.h"

#include <thread>

namespace saddleslip {

using base::SteadyClock;
using base::Time;

bool ReadBarrier::wait() {
  std::unique_lock lock(mutex_);
  // A catch-up that has begun already may miss what this read asks for.
  const std::uint64_t needed = catch_ups_begun_ + 1;
  const Time deadline = base::after(SteadyClock::now(), options_.timeout);
  while (catch_ups_ended_ < needed) {
    if (!is_running_) {
      run_catch_up(lock);
      continue;
    }
    ++waiting_reads_;
    const std::cv_status status = catch_up_ended_.wait_until(lock, deadline);
    --waiting_reads_;
    if (status == std::cv_status::timeout && catch_ups_ended_ < needed) return false;
  }
  return has_succeeded_;
}

std::size_t ReadBarrier::waiting_reads() const {
  const std::lock_guard lock(mutex_);
  return waiting_reads_;
}

void ReadBarrier::run_catch_up(std::unique_lock<std::mutex>& lock) {
  is_running_ = true;
  const base::Seconds wait =
      options_.min_interval - base::between(last_began_at_, SteadyClock::now());
  if (wait.count() > 0) {
    // Reads that begin during this wait share the catch-up.
    lock.unlock();
    std::this_thread::sleep_for(wait);
    lock.lock();
  }
  const std::uint64_t number = ++catch_ups_begun_;
  last_began_at_ = SteadyClock::now();
  lock.unlock();
  const bool succeeded = catch_up_();
  lock.lock();
  has_succeeded_ = succeeded;
  catch_ups_ended_ = number;
  is_running_ = false;
  catch_up_ended_.notify_all();
}

}  // namespace saddleslip

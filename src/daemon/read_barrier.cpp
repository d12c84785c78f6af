#include "daemon/read_barrier.h"

#include <thread>

namespace saddleslip {

using base::SteadyClock;
using base::Time;

bool ReadBarrier::wait() {
  std::unique_lock lock(mutex_);
  // A catch-up that started before this read may miss changes that the read must see.
  const std::uint64_t required_catch_up = catch_ups_started_ + 1;
  const Time deadline = base::after(SteadyClock::now(), options_.timeout);
  while (catch_ups_ended_ < required_catch_up) {
    if (!is_running_) {
      run_catch_up(lock);
      continue;
    }
    ++waiting_reads_;
    const std::cv_status status = catch_up_ended_.wait_until(lock, deadline);
    --waiting_reads_;
    if (status == std::cv_status::timeout && catch_ups_ended_ < required_catch_up) return false;
  }
  return last_succeeded_;
}

std::size_t ReadBarrier::waiting_reads() const {
  const std::lock_guard lock(mutex_);
  return waiting_reads_;
}

void ReadBarrier::run_catch_up(std::unique_lock<std::mutex>& lock) {
  is_running_ = true;
  const base::Seconds wait =
      options_.min_interval - base::between(last_started_at_, SteadyClock::now());
  if (wait.count() > 0) {
    // Reads that begin during this wait are served by the same catch-up.
    lock.unlock();
    std::this_thread::sleep_for(wait);
    lock.lock();
  }
  const std::uint64_t number = ++catch_ups_started_;
  last_started_at_ = SteadyClock::now();
  lock.unlock();
  const bool succeeded = catch_up_();
  lock.lock();
  last_succeeded_ = succeeded;
  catch_ups_ended_ = number;
  is_running_ = false;
  catch_up_ended_.notify_all();
}

}  // namespace saddleslip

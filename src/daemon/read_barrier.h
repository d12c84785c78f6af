// Linearizable reads from the local copy of the state service.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>

#include "base/clock.h"

namespace saddleslip {

// Brings the local copy up to date with the state service as of some moment after a read began. One
// catch-up serves all reads that began before it, which bounds the number of requests to the state
// service however many reads there are.
//
// May be used by several threads at once. Calls `catch_up` on the thread of one of the readers,
// with its mutex unlocked, and never concurrently.
class ReadBarrier {
 public:
  struct Options {
    base::Seconds min_interval;  // minimum time between the starts of two catch-ups
    base::Seconds timeout;       // for waiting on another reader's catch-up
  };
  // `catch_up` must return whether the copy is at least as new as the state service was at the
  // call.
  ReadBarrier(Options options, std::function<bool()> catch_up)
      : options_(options), catch_up_(std::move(catch_up)) {}

  // Blocks until a catch-up that began after this call has ended. Returns whether it succeeded, or
  // false if the timeout has passed.
  bool wait();
  // Returns the number of reads that are waiting for another reader's catch-up.
  std::size_t waiting_reads() const;

 private:
  // Runs one catch-up. `lock` must hold mutex_; it is unlocked while `catch_up` runs.
  void run_catch_up(std::unique_lock<std::mutex>& lock);

  const Options options_;
  const std::function<bool()> catch_up_;

  mutable std::mutex mutex_;  // guards the members below
  std::condition_variable catch_up_ended_;
  std::uint64_t catch_ups_started_ = 0;
  std::uint64_t catch_ups_ended_ = 0;
  std::size_t waiting_reads_ = 0;
  bool is_running_ = false;      // a reader is waiting to run or is running a catch-up
  bool last_succeeded_ = false;  // the result of the last catch-up that ended
  base::Time last_started_at_{};
};

}  // namespace saddleslip

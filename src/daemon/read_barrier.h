// Linearizable reads from the local copy of the store.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>

#include "base/clock.h"

namespace saddleslip {

// Brings the local copy up to the store's state as of a moment after the read began. One catch-up
// serves all reads that began before it did, so that the store sees few requests whatever users ask.
//
// Safe for use from any number of threads. Calls `catch_up` on the thread of one of the readers,
// without its mutex, and never twice at once.
class ReadBarrier {
 public:
  struct Options {
    base::Seconds min_interval;  // between the starts of two catch-ups
    base::Seconds timeout;       // of waiting for another reader's catch-up
  };
  // `catch_up` returns whether the copy is as new as the store was when it was called.
  ReadBarrier(Options options, std::function<bool()> catch_up)
      : options_(options), catch_up_(std::move(catch_up)) {}

  // Blocks until a catch-up that began after this call has ended. Returns whether it succeeded;
  // false after the timeout.
  bool wait();
  // Reads that wait for another reader's catch-up at this moment.
  std::size_t waiting_reads() const;

 private:
  // Runs one catch-up. Requires the lock, which is released meanwhile.
  void run_catch_up(std::unique_lock<std::mutex>& lock);

  const Options options_;
  const std::function<bool()> catch_up_;

  mutable std::mutex mutex_;  // guards what follows
  std::condition_variable catch_up_ended_;
  std::uint64_t catch_ups_begun_ = 0;
  std::uint64_t catch_ups_ended_ = 0;
  std::size_t waiting_reads_ = 0;
  bool is_running_ = false;
  bool has_succeeded_ = false;  // the last one that ended
  base::Time last_began_at_{};
};

}  // namespace saddleslip

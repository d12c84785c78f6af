// A token bucket that limits writes to the state service.
#pragma once

#include <cstddef>

#include "base/clock.h"
#include "coordination/controller.h"

namespace saddleslip {

// Limits this controller to its share of the state service's write rate.
//
// Writes are charged after their commit rather than before, so that no plan becomes stale while it
// waits for tokens. The balance may become negative for writes that users wait for; until it is
// positive again, all other records are deferred to a later batch. The bucket holds at most one
// second's worth of writes and starts full.
//
// Has no clock: the caller passes the time. Not thread-safe.
class WriteRateLimiter {
 public:
  // Adds the tokens for the time since the last call at the given rate. Returns how long the caller
  // must wait before the next write, which may be zero. After a wait, the caller must call this
  // again.
  base::Seconds refill(base::Time now, double writes_per_second);
  // Takes one token for each write that was sent.
  void charge(std::size_t writes);
  // Returns how much the next round may write, as of the last refill and the charges since.
  coordination::WriteBudget budget() const;

 private:
  double tokens_ = 0;  // one per write; negative while in debt
  double writes_per_second_ = 0;
  base::Time last_refill_at_{};
};

}  // namespace saddleslip

// Token bucket for writes to the state service.
#pragma once

#include <cstddef>

#include "base/clock.h"
#include "coordination/controller.h"

namespace saddleslip {

// Holds this controller to its share of the state service's write rate.
//
// Writes are charged after their commit, so that nothing is planned and then delayed until it is
// stale. The bucket may go into debt for what users wait for; meanwhile all other records wait and
// share the next batch. It holds at most one second's worth of writes and starts full.
//
// Has no clock: the caller passes the time. Not safe for use from several threads at once.
class WriteRateLimiter {
 public:
  // Refills the bucket at that rate since the last call. Returns how long to wait before the next
  // write; zero if none is needed. After a wait, call it again.
  base::Seconds refill(base::Time now, double writes_per_second);
  // Charges writes that were sent.
  void charge(std::size_t writes);
  // How much the next round may write, as of the last refill and the charges since then.
  coordination::WriteBudget budget() const;

 private:
  double tokens_ = 0;  // writes; negative: in debt
  double writes_per_second_ = 0;
  base::Time refilled_at_{};
};

}  // namespace saddleslip

// The waiting tasks that this controller may start on its own machines: those that were offered to it,
// by itself or by another controller, and whose offer has not expired.
//
// Holds state only; takes the time as an argument. Not safe for use from several threads at once.
#pragma once

#include <deque>
#include <vector>

#include "base/clock.h"
#include "base/settings.h"
#include "protocol/records.h"

namespace saddleslip::coordination {

// Consecutive tasks of one job.
struct TaskRange {
  base::TaskNo first = 0;
  base::TaskNo count = 0;
};

// The tasks of one offer, which may overlap with those of other offers.
struct PooledOffer {
  base::JobId job;
  std::vector<TaskRange> ranges;
  base::Time expires_at{};
};

class OfferPool {
 public:
  explicit OfferPool(const base::Settings& settings) : settings_(settings) {}

  void add(const protocol::Offers& offers, base::Time now);
  void expire(base::Time now);
  // In the order in which they came.
  const std::deque<PooledOffer>& offers() const { return offers_; }

 private:
  const base::Settings& settings_;
  std::deque<PooledOffer> offers_;
};

}  // namespace saddleslip::coordination

// The offer pool: the waiting tasks that this controller may start on its own machines. They were
// offered to it, by itself or by another controller, and the offer has not expired.
#pragma once

#include <deque>
#include <vector>

#include "base/clock.h"
#include "base/settings.h"
#include "protocol/records.h"

namespace saddleslip::coordination {

// A range of consecutive task numbers of one job.
struct TaskRange {
  base::TaskNumber first = 0;
  base::TaskNumber count = 0;
};

// One offer of a job's tasks. Several offers in the pool may contain the same task.
struct PooledOffer {
  base::JobId job;
  std::vector<TaskRange> ranges;
  base::Time expires_at{};
};

// Keeps offers until they expire. The settings must outlive the pool. The current time is passed as
// an argument. Not safe for use from several threads at once.
class OfferPool {
 public:
  explicit OfferPool(const base::Settings& settings) : settings_(settings) {}

  // Adds offers, each of which expires after 2.5 scheduling rounds. If the pool is full, the oldest
  // offers are removed.
  void add(const protocol::Offers& offers, base::Time now);
  // Removes the offers that have expired.
  void expire(base::Time now);
  // Returns the offers in the order in which they were added.
  const std::deque<PooledOffer>& offers() const { return offers_; }

 private:
  const base::Settings& settings_;
  std::deque<PooledOffer> offers_;
};

}  // namespace saddleslip::coordination

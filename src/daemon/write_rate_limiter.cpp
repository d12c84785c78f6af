#include "daemon/write_rate_limiter.h"

#include <algorithm>

namespace saddleslip {

using base::Seconds;
using coordination::WriteBudget;

namespace {

// Token amounts, given as the time in which they are refilled.
constexpr Seconds kBucketCapacity{1.0};
constexpr Seconds kMaxDebt{0.4};           // beyond this debt, even urgent writes must wait
constexpr Seconds kSurplusThreshold{0.6};  // above this, deferrable records are written too

}  // namespace

Seconds WriteRateLimiter::refill(base::Time now, double writes_per_second) {
  const double refilled_tokens =
      tokens_ + base::between(last_refill_at_, now).count() * writes_per_second;
  tokens_ = std::min(writes_per_second * kBucketCapacity.count(), refilled_tokens);
  writes_per_second_ = writes_per_second;
  last_refill_at_ = now;
  const double excess_debt = -tokens_ - writes_per_second * kMaxDebt.count();
  return excess_debt > 0 ? Seconds(excess_debt / writes_per_second) : Seconds(0);
}

void WriteRateLimiter::charge(std::size_t writes) {
  tokens_ -= static_cast<double>(writes);
}

WriteBudget WriteRateLimiter::budget() const {
  if (tokens_ <= 0) return WriteBudget::kExhausted;
  return tokens_ > writes_per_second_ * kSurplusThreshold.count() ? WriteBudget::kSurplus
                                                                  : WriteBudget::kNormal;
}

}  // namespace saddleslip

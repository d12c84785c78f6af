#include "daemon/write_rate_limiter.h"

#include <algorithm>

namespace saddleslip {

using base::Seconds;
using coordination::WriteBudget;

namespace {

constexpr Seconds kMaxSavings{1.0};  // of writes that the bucket holds
constexpr Seconds kMaxDebt{0.4};     // of writes that urgent work may run ahead
constexpr Seconds kSurplus{0.6};     // of writes saved: records that could wait are written too

}  // namespace

Seconds WriteRateLimiter::refill(base::Time now, double writes_per_second) {
  const double refilled = tokens_ + base::between(refilled_at_, now).count() * writes_per_second;
  tokens_ = std::min(writes_per_second * kMaxSavings.count(), refilled);
  writes_per_second_ = writes_per_second;
  refilled_at_ = now;
  const double excess_debt = -tokens_ - writes_per_second * kMaxDebt.count();
  return excess_debt > 0 ? Seconds(excess_debt / writes_per_second) : Seconds(0);
}

void WriteRateLimiter::charge(std::size_t writes) {
  tokens_ -= static_cast<double>(writes);
}

WriteBudget WriteRateLimiter::budget() const {
  if (tokens_ <= 0) return WriteBudget::kExhausted;
  return tokens_ > writes_per_second_ * kSurplus.count() ? WriteBudget::kSurplus
                                                         : WriteBudget::kNormal;
}

}  // namespace saddleslip

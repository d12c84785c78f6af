#include "coordination/membership/pause_detector.h"

#include <algorithm>

#include "base/log.h"

namespace saddleslip::coordination {

namespace {

constexpr base::Seconds kMinPause{2.5};

}  // namespace

void PauseDetector::record_activity(base::Time now) {
  const base::Seconds gap = base::between(last_activity_at_, now);
  if (last_activity_at_ != base::Time{} && gap > kMinPause) {
    spdlog::warn("process was paused: seconds={:.1f}", gap.count());
    resumed_at_ = now;
  }
  last_activity_at_ = std::max(last_activity_at_, now);
}

}  // namespace saddleslip::coordination

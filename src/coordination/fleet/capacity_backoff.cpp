#include "coordination/fleet/capacity_backoff.h"

#include <algorithm>

namespace saddleslip::coordination {

namespace {

constexpr base::Seconds kFirstBackoff{8.0};
constexpr int kMaxDoublings = 3;

}  // namespace

// Backs off because the cloud's call limit is shared: a refused request leaves fewer calls for
// kinds that are available and for releases.
void CapacityBackoff::record_refusal(const MachineKind& kind, base::Time now) {
  const int doublings = std::min(consecutive_refusals_[kind]++, kMaxDoublings);
  retry_at_[kind] = base::after(now, kFirstBackoff * static_cast<double>(1 << doublings));
}

}  // namespace saddleslip::coordination

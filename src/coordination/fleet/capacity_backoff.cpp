#include "coordination/fleet/capacity_backoff.h"

#include <algorithm>

namespace saddleslip::coordination {

namespace {

constexpr base::Seconds kFirstBackoff{8.0};
constexpr int kMostDoublings = 3;

}  // namespace

// Each call that the cloud refuses is one less for the kinds that it has, and
// for releases.
void CapacityBackoff::record_refusal(const MachineKind& kind, base::Time now) {
  const int doublings = std::min(refusals_[kind]++, kMostDoublings);
  retry_at_[kind] = base::after(now, kFirstBackoff * static_cast<double>(1 << doublings));
}

}  // namespace saddleslip::coordination

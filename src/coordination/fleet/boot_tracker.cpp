#include "coordination/fleet/boot_tracker.h"

#include <algorithm>

namespace saddleslip::coordination {

using base::Seconds;
using base::Time;

namespace {

constexpr Seconds kRecent{180.0};
constexpr std::size_t kMaxBootsKept = 64;  // of a kind
// Times the type's usual boot time, and more: the cloud's list and the first
// heartbeat come late too.
constexpr double kOverdueFactor = 2;
constexpr Seconds kOverdueMargin{10.0};
constexpr double kGivenUpFactor = 4;
constexpr Seconds kGivenUpMargin{20.0};
// Times the slowest recent boot of the kind.
constexpr double kLikelyOfSlowest = 1.25;
constexpr double kGivenUpOfSlowest = 1.5;

}  // namespace

void BootTracker::record_boot(const MachineKind& kind, Seconds took, Time now) {
  std::deque<Boot>& boots = boots_[kind];
  boots.push_back({now, took});
  if (boots.size() > kMaxBootsKept) boots.pop_front();
}

BootTracker::RecentBoots BootTracker::recent(const MachineKind& kind, Time now) const {
  RecentBoots out;
  const auto at = boots_.find(kind);
  if (at == boots_.end()) return out;
  for (const Boot& boot : at->second) {
    if (base::between(boot.reported_at, now) > kRecent) continue;
    ++out.count;
    out.slowest = std::max(out.slowest, boot.took);
  }
  return out;
}

std::size_t BootTracker::recent_of_type(const std::string& type, Time now) const {
  std::size_t count = 0;
  for (const auto& [kind, boots] : boots_) {
    if (kind.type == type) count += recent(kind, now).count;
  }
  return count;
}

bool BootTracker::is_overdue(Seconds age, Seconds usual_boot_time) {
  return age >= usual_boot_time * kOverdueFactor + kOverdueMargin;
}

bool BootTracker::is_likely(const MachineKind& kind, Seconds age, Seconds usual_boot_time,
                            const BootingCount& all, Time now) const {
  if (!is_overdue(age, usual_boot_time)) return true;
  if (age < recent(kind, now).slowest * kLikelyOfSlowest) return true;
  // More are overdue than have reported: the whole type is slow, rather than
  // this machine lost.
  return all.overdue > 1 && all.overdue > recent_of_type(kind.type, now) &&
         !is_given_up(kind, age, usual_boot_time, now);
}

bool BootTracker::is_given_up(const MachineKind& kind, Seconds age, Seconds usual_boot_time,
                              Time now) const {
  return age >= std::max(usual_boot_time * kGivenUpFactor + kGivenUpMargin,
                         recent(kind, now).slowest * kGivenUpOfSlowest);
}

}  // namespace saddleslip::coordination

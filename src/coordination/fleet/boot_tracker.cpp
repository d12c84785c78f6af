#include "coordination/fleet/boot_tracker.h"

#include <algorithm>

namespace saddleslip::coordination {

using base::Seconds;
using base::Time;

namespace {

// Boots that completed longer ago than this are ignored.
constexpr Seconds kRecentBootMaxAge{180.0};
constexpr std::size_t kMaxBootsPerKind = 64;  // recorded boots of one kind of machine
// A boot is overdue after this factor times the usual boot time of its type, plus the margin: the
// cloud's list and the first heartbeat are delayed too.
constexpr double kOverdueBootFactor = 2;
constexpr Seconds kOverdueBootMargin{10.0};
// A boot has failed after this factor times the usual boot time of its type, plus the margin.
constexpr double kFailedBootFactor = 4;
constexpr Seconds kFailedBootMargin{20.0};
// An overdue machine is still likely to come up while it is younger than this factor times the
// slowest recent boot of its kind.
constexpr double kLikelyFactorOfSlowestBoot = 1.25;
// A boot has not failed before this factor times the slowest recent boot of its kind.
constexpr double kFailedFactorOfSlowestBoot = 1.5;

}  // namespace

void BootTracker::record_boot(const MachineKind& kind, Seconds boot_duration, Time now) {
  std::deque<Boot>& boots = boots_[kind];
  boots.push_back({now, boot_duration});
  if (boots.size() > kMaxBootsPerKind) boots.pop_front();
}

BootTracker::RecentBoots BootTracker::recent(const MachineKind& kind, Time now) const {
  RecentBoots recent_boots;
  const auto found = boots_.find(kind);
  if (found == boots_.end()) return recent_boots;
  for (const Boot& boot : found->second) {
    if (base::between(boot.reported_at, now) > kRecentBootMaxAge) continue;
    ++recent_boots.count;
    recent_boots.slowest = std::max(recent_boots.slowest, boot.boot_duration);
  }
  return recent_boots;
}

std::size_t BootTracker::recent_of_type(const std::string& type, Time now) const {
  std::size_t count = 0;
  for (const auto& [kind, boots] : boots_) {
    if (kind.type == type) count += recent(kind, now).count;
  }
  return count;
}

bool BootTracker::is_overdue(Seconds age, Seconds usual_boot_time) {
  return age >= usual_boot_time * kOverdueBootFactor + kOverdueBootMargin;
}

bool BootTracker::is_likely_to_boot(const MachineKind& kind, Seconds age, Seconds usual_boot_time,
                                    const BootingCount& all, Time now) const {
  if (!is_overdue(age, usual_boot_time)) return true;
  if (age < recent(kind, now).slowest * kLikelyFactorOfSlowestBoot) return true;
  // If more machines are overdue than have reported lately, boots of the whole type are slow, and
  // this machine is probably not lost.
  return all.overdue > 1 && all.overdue > recent_of_type(kind.type, now) &&
         !has_failed_to_boot(kind, age, usual_boot_time, now);
}

bool BootTracker::has_failed_to_boot(const MachineKind& kind, Seconds age, Seconds usual_boot_time,
                                     Time now) const {
  return age >= std::max(usual_boot_time * kFailedBootFactor + kFailedBootMargin,
                         recent(kind, now).slowest * kFailedFactorOfSlowestBoot);
}

}  // namespace saddleslip::coordination

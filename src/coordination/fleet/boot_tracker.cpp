#include "coordination/fleet/boot_tracker.h"

#include <algorithm>

namespace saddleslip::coordination {

using base::Seconds;
using base::Time;

namespace {

constexpr Seconds kRecent{180.0};
constexpr std::size_t kMostBoots = 64;  // remembered of a kind
// Times the type's usual boot time, and more: the cloud's list and the first report come late too.
constexpr double kOverdueFactor = 2;
constexpr Seconds kOverdueExtra{10.0};
constexpr double kGivenUpFactor = 4;
constexpr Seconds kGivenUpExtra{20.0};
constexpr double kSlowestMargin = 1.25;  // of the slowest that came up lately
constexpr double kGivenUpMargin = 1.5;

}  // namespace

void BootTracker::record_up(const MachineKind& kind, Seconds took, Time now) {
  auto& boots = boots_[kind];
  boots.push_back({now, took});
  if (boots.size() > kMostBoots) boots.pop_front();
}

BootTracker::Recent BootTracker::recent(const MachineKind& kind, Time now) const {
  Recent out;
  const auto at = boots_.find(kind);
  if (at == boots_.end()) return out;
  for (const Boot& b : at->second) {
    if (base::between(b.at, now) > kRecent) continue;
    ++out.count;
    out.slowest = std::max(out.slowest, b.took);
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

bool BootTracker::is_overdue(Seconds age, Seconds usual) {
  return age >= usual * kOverdueFactor + kOverdueExtra;
}

bool BootTracker::is_likely(const MachineKind& kind, Seconds age, Seconds usual,
                            const BootingCount& all, Time now) const {
  if (!is_overdue(age, usual)) return true;
  const Recent shown = recent(kind, now);
  if (age < shown.slowest * kSlowestMargin) return true;
  // More are late than have come up: the type is late, rather than this machine lost.
  return all.overdue > 1 && all.overdue > recent_of_type(kind.type, now) &&
         !is_given_up(kind, age, usual, now);
}

bool BootTracker::is_given_up(const MachineKind& kind, Seconds age, Seconds usual, Time now) const {
  return age >= std::max(usual * kGivenUpFactor + kGivenUpExtra,
                         recent(kind, now).slowest * kGivenUpMargin);
}

}  // namespace saddleslip::coordination

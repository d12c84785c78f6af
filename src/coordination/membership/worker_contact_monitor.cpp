#include "coordination/membership/worker_contact_monitor.h"

#include <algorithm>

namespace saddleslip::coordination {

namespace {

// Contact is reported as lost once most heartbeats have been overdue for this long.
constexpr base::Seconds kMinLostDuration{1.0};
constexpr std::size_t kMinOverdue = 2;  // a single silent machine may be dead
// Contact is lost if at least this share of the owned machines is overdue.
constexpr std::size_t kMinOverduePercentIfLost = 80;
// Contact is good, and machines of others may be moved here, if at most this share is overdue.
constexpr std::size_t kMaxOverduePercentIfGood = 20;

bool is_contact_lost(const OverdueCounts& counts) {
  return counts.overdue >= kMinOverdue &&
         counts.overdue * 100 >= counts.owned * kMinOverduePercentIfLost;
}

bool is_contact_good(const OverdueCounts& counts) {
  return counts.overdue < counts.owned &&
         counts.overdue * 100 <= counts.owned * kMaxOverduePercentIfGood;
}

}  // namespace

void WorkerContactMonitor::update_authority(bool has_authority, base::Time now) {
  if (!has_authority) {
    authority_since_.reset();
    lost_since_.reset();
  } else if (!authority_since_) {
    authority_since_ = now;
  }
}

// A process that was paused for seconds finds all its machines overdue when it continues, until it
// has read the heartbeats that arrived during the pause. So contact is lost only if this state
// persists.
void WorkerContactMonitor::update_counts(const OverdueCounts& counts, base::Time now) {
  if (!is_contact_lost(counts)) {
    lost_since_.reset();
  } else if (!lost_since_) {
    lost_since_ = now;
  }
}

base::Time WorkerContactMonitor::listening_since() const {
  const base::Time resumed_at = pauses_.resumed_at();
  return authority_since_ ? std::max(*authority_since_, resumed_at) : resumed_at;
}

protocol::WorkerContact WorkerContactMonitor::contact(const OverdueCounts& counts,
                                                      bool has_authority, base::Time now) const {
  if (!has_authority || !authority_since_) return protocol::WorkerContact::kUnknown;
  if (is_contact_lost(counts)) {
    const bool has_lasted = lost_since_ && base::between(*lost_since_, now) > kMinLostDuration;
    return has_lasted ? protocol::WorkerContact::kLost : protocol::WorkerContact::kUnknown;
  }
  return is_contact_good(counts) ? protocol::WorkerContact::kGood
                                 : protocol::WorkerContact::kUnknown;
}

}  // namespace saddleslip::coordination

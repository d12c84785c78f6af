#include "coordination/membership/worker_contact_monitor.h"

#include <algorithm>

namespace saddleslip::coordination {

namespace {

constexpr base::Seconds kLostFor{1.0};       // before contact is reported as lost
constexpr std::size_t kMinOverdue = 2;       // a single silent machine may be dead
constexpr std::size_t kMinLostPercent = 80;  // of the machines that are overdue, if contact is lost
constexpr std::size_t kMaxGoodPercent = 20;  // ..., if others' machines may be moved here

bool is_lost(const MachineCensus& census) {
  return census.overdue >= kMinOverdue && census.overdue * 100 >= census.owned * kMinLostPercent;
}

bool is_good(const MachineCensus& census) {
  return census.overdue < census.owned && census.overdue * 100 <= census.owned * kMaxGoodPercent;
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

// A process that was paused for seconds finds all its machines overdue when it goes on, before it has
// read the heartbeats that came meanwhile: only what lasts counts.
void WorkerContactMonitor::update_census(const MachineCensus& census, base::Time now) {
  if (!is_lost(census)) {
    lost_since_.reset();
  } else if (!lost_since_) {
    lost_since_ = now;
  }
}

base::Time WorkerContactMonitor::listening_since() const {
  const base::Time resumed_at = pauses_.resumed_at();
  return authority_since_ ? std::max(*authority_since_, resumed_at) : resumed_at;
}

protocol::WorkerContact WorkerContactMonitor::contact(const MachineCensus& census,
                                                      bool has_authority, base::Time now) const {
  if (!has_authority || !authority_since_) return protocol::WorkerContact::kUnknown;
  if (is_lost(census)) {
    const bool lasts = lost_since_ && base::between(*lost_since_, now) > kLostFor;
    return lasts ? protocol::WorkerContact::kLost : protocol::WorkerContact::kUnknown;
  }
  return is_good(census) ? protocol::WorkerContact::kGood : protocol::WorkerContact::kUnknown;
}

}  // namespace saddleslip::coordination

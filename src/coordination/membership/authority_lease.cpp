#include "coordination/membership/authority_lease.h"

#include <algorithm>
#include <utility>

#include "coordination/membership/view.h"

namespace saddleslip::coordination {

void AuthorityLease::begin_incarnation(protocol::ControllerIncarnation incarnation,
                                       base::Time now) {
  self_ = std::move(incarnation);
  has_incarnation_ = true;
  incarnation_began_at_ = now;
  authority_valid_until_ = base::Time{};
  lease_valid_until_ = base::Time{};
}

void AuthorityLease::end_incarnation() {
  has_incarnation_ = false;
  authority_valid_until_ = base::Time{};
  lease_valid_until_ = base::Time{};
}

void AuthorityLease::record_lease_acquired(base::Time sent_at) {
  lease_valid_until_ = std::max(lease_valid_until_, valid_until(sent_at));
}

void AuthorityLease::record_lease_renewed(base::Time sent_at, std::uint64_t cache_generation) {
  if (cache_generation != cache_generation_) return;
  authority_valid_until_ = valid_until(sent_at);
  verified_view_ = cache_.version(protocol::kViewKey);
}

void AuthorityLease::cache_replaced() {
  authority_valid_until_ = base::Time{};
  ++cache_generation_;
}

bool AuthorityLease::has_authority(base::Time now, base::Version installed_view) const {
  return has_incarnation_ && now < authority_valid_until_ && cache_.view() &&
         installed_view.get() != 0 && verified_view_ == installed_view &&
         installed_view == cache_.version(protocol::kViewKey) && has_member(*cache_.view(), self_);
}

// Returns until when a lease is certainly valid that was acquired or renewed by a call sent at
// `sent_at`. The TTL counts from the sending of the call and is shortened, since this clock may run
// slower than the state service's. The state service extends all leases after an outage of its own,
// but this is not relied upon.
base::Time AuthorityLease::valid_until(base::Time sent_at) const {
  return base::after(sent_at, settings_.tuning.member_ttl * (1.0 - base::kDrift));
}

}  // namespace saddleslip::coordination

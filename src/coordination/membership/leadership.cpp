#include "coordination/membership/leadership.h"

#include "base/log.h"

namespace saddleslip::coordination {

bool Leadership::is_leader(base::Time now) const {
  return authority_.has_incarnation() && authority_.has_lease(now) && cache_.leader() &&
         *cache_.leader() == authority_.self();
}

LeadershipChange Leadership::update(base::Time now) {
  const bool leads = is_leader(now);
  if (leads == was_leader_) return LeadershipChange::kNone;
  was_leader_ = leads;
  if (!leads) {
    spdlog::info("leadership lost");
    return LeadershipChange::kLost;
  }
  leader_since_ = now;
  spdlog::info("leadership gained");
  return LeadershipChange::kGained;
}

}  // namespace saddleslip::coordination

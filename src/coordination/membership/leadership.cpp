#include "coordination/membership/leadership.h"

#include "base/log.h"

namespace saddleslip::coordination {

bool Leadership::is_leader(base::Time now) const {
  return authority_.has_incarnation() && authority_.has_lease(now) && cache_.leader() &&
         *cache_.leader() == authority_.self();
}

LeadershipChange Leadership::update(base::Time now) {
  const bool is_leader_now = is_leader(now);
  if (is_leader_now == was_leader_) return LeadershipChange::kNone;
  was_leader_ = is_leader_now;
  if (!is_leader_now) {
    spdlog::info("leadership lost");
    return LeadershipChange::kLost;
  }
  leader_since_ = now;
  spdlog::info("leadership gained");
  return LeadershipChange::kGained;
}

}  // namespace saddleslip::coordination

// Whether this process leads the controllers, and since when.
//
// The leader is the incarnation that the state service names under the leader key; it writes the
// views and runs the fleet. Holds state only; takes the time as an argument. Not safe for use from
// several threads at once.
#pragma once

#include "coordination/membership/authority_lease.h"

namespace saddleslip::coordination {

enum class LeadershipChange { kNone, kGained, kLost };

class Leadership {
 public:
  // Both must outlive this object.
  Leadership(const storage::StateCache& cache, const AuthorityLease& authority)
      : cache_(cache), authority_(authority) {}

  bool is_leader(base::Time now) const;
  // Compares with the call before: to be called after the cache took in changes.
  LeadershipChange update(base::Time now);
  // When update() last found that leadership was gained.
  const base::Time& leader_since() const { return leader_since_; }

 private:
  const storage::StateCache& cache_;
  const AuthorityLease& authority_;
  bool was_leader_ = false;
  base::Time leader_since_{};
};

}  // namespace saddleslip::coordination

// Whether this process is the leader of the controllers, and since when.
//
// The leader is the incarnation that is stored under the leader key in the state service. It writes
// the views and scales the fleet. The class holds state only; calls take the time as an argument.
// Not safe for use from several threads at once.
#pragma once

#include "coordination/membership/authority_lease.h"

namespace saddleslip::coordination {

enum class LeadershipChange { kNone, kGained, kLost };

// Detects when this process gains or loses leadership.
class Leadership {
 public:
  // The cache and the authority must outlive this object.
  Leadership(const storage::StateCache& cache, const AuthorityLease& authority)
      : cache_(cache), authority_(authority) {}

  // Returns whether this incarnation is the stored leader and still has its lease.
  bool is_leader(base::Time now) const;
  // Returns how leadership changed since the previous call. Must be called after changes to the
  // cache.
  LeadershipChange update(base::Time now);
  // Returns when update() last detected that leadership was gained.
  const base::Time& leader_since() const { return leader_since_; }

 private:
  const storage::StateCache& cache_;
  const AuthorityLease& authority_;
  bool was_leader_ = false;
  base::Time leader_since_{};
};

}  // namespace saddleslip::coordination

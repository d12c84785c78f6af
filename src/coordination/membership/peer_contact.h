// Which other members answer the calls of this process.
//
// Holds state only; calls take the time as an argument. Not safe for use from several threads at
// once.
#pragma once

#include <map>

#include "protocol/records.h"

namespace saddleslip::coordination {

// A member that has answered no call for this long counts as unreachable.
inline constexpr base::Seconds kPeerContactTimeout{4.0};

// Records when each member was last reached and when it joined.
class PeerContact {
 public:
  // Records that the member answered a call.
  void record_reached(const base::MemberId& member, base::Time now);
  // Adds new members and drops those that left. Must be called when the member records change.
  void update_members(const std::map<base::MemberId, protocol::Member>& members, base::Time now);

  // Returns whether the member was reached within kPeerContactTimeout.
  bool is_reachable(const base::MemberId& member, base::Time now) const;
  // Returns whether the member was not reached for longer than kPeerContactTimeout and joined
  // before that. A new member is not lost until it has had that time to be reached.
  bool is_lost(const base::MemberId& member, base::Time now) const;

 private:
  std::map<base::MemberId, base::Time> reached_at_;
  std::map<base::MemberId, base::Time> joined_at_;
};

}  // namespace saddleslip::coordination

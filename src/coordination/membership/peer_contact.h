// Which other members this process can reach by calls of its own.
//
// Holds state only; takes the time as an argument. Not safe for use from several threads at once.
#pragma once

#include <map>

#include "protocol/records.h"

namespace saddleslip::coordination {

// A member that no call has reached for this long counts as unreachable.
inline constexpr base::Seconds kPeerContactTimeout{4.0};

class PeerContact {
 public:
  // A call to the member was answered.
  void record_reached(const base::MemberId& member, base::Time now);
  // To be called when the members' records change: notes who is new and forgets who left.
  void update_members(const std::map<base::MemberId, protocol::Member>& members, base::Time now);

  bool is_reachable(const base::MemberId& member, base::Time now) const;
  // Not reached for too long, though it has been a member for as long: one that has just come is
  // given the time to be reached.
  bool is_lost(const base::MemberId& member, base::Time now) const;

 private:
  std::map<base::MemberId, base::Time> reached_at_;
  std::map<base::MemberId, base::Time> joined_at_;
};

}  // namespace saddleslip::coordination

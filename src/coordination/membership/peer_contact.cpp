#include "coordination/membership/peer_contact.h"

#include <algorithm>

namespace saddleslip::coordination {

void PeerContact::record_reached(const base::MemberId& member, base::Time now) {
  reached_at_[member] = now;
}

void PeerContact::update_members(const std::map<base::MemberId, protocol::Member>& members,
                                 base::Time now) {
  for (const auto& [id, member] : members) joined_at_.try_emplace(id, now);
  std::erase_if(joined_at_, [&](const auto& joined) { return !members.contains(joined.first); });
}

bool PeerContact::is_reachable(const base::MemberId& member, base::Time now) const {
  const auto reached = reached_at_.find(member);
  return reached != reached_at_.end() && base::between(reached->second, now) < kPeerContactTimeout;
}

bool PeerContact::is_lost(const base::MemberId& member, base::Time now) const {
  base::Time last{};
  if (const auto reached = reached_at_.find(member); reached != reached_at_.end()) {
    last = reached->second;
  }
  if (const auto joined = joined_at_.find(member); joined != joined_at_.end()) {
    last = std::max(last, joined->second);
  }
  return base::between(last, now) > kPeerContactTimeout;
}

}  // namespace saddleslip::coordination

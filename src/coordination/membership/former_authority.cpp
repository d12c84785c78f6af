#include "coordination/membership/former_authority.h"

#include <algorithm>

namespace saddleslip::coordination {

void FormerAuthority::record_view(const protocol::View& view,
                                  const std::map<base::MemberId, protocol::Member>& members,
                                  bool follows_previous, base::Time now) {
  const base::Seconds ttl = follows_previous ? longest_ttl() : base::longest_member_ttl(settings_);
  // A member that left with an earlier view may act longer than the members that leave now.
  ends_at_ = std::max(ends_at_, base::after(now, ttl));
  stated_ttls_.clear();
  member_count_ = view.members.size();
  for (const protocol::ControllerIncarnation& member : view.members) {
    const auto record = members.find(member.member);
    if (record == members.end() || record->second.incarnation != member) continue;
    if (record->second.lease_ttl) stated_ttls_[member] = *record->second.lease_ttl;
  }
}

std::optional<base::Seconds> FormerAuthority::stated_ttl(
    const protocol::ControllerIncarnation& member) const {
  const auto ttl = stated_ttls_.find(member);
  if (ttl == stated_ttls_.end()) return {};
  return ttl->second;
}

base::Seconds FormerAuthority::longest_ttl() const {
  if (stated_ttls_.size() < member_count_) return base::longest_member_ttl(settings_);
  base::Seconds longest{0};
  for (const auto& [member, ttl] : stated_ttls_) longest = std::max(longest, ttl);
  return longest;
}

}  // namespace saddleslip::coordination

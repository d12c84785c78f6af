#include "coordination/membership/ownership_claims.h"

namespace saddleslip::coordination {

namespace {

constexpr base::Seconds kRedirectionsKept{15.0};
// With an owner that is in reach: a machine that its owner does not hear is claimed after this.
constexpr base::Seconds kClaimAfter{3.0};
// With an owner that is out of reach: it would have left the view by then if it had ended.
constexpr base::Seconds kClaimAfterTtl{1.0};
constexpr base::Seconds kMinRedirectionSpan{2.0};
constexpr int kMinRedirections = 2;
// An ownership override is not followed by a claim for this long.
constexpr base::Seconds kOverrideKept{60.0};

// Does the owner fail to hear the machine, by the owner's own status?
bool is_unheard(const Peer& owner, const base::MachineId& machine) {
  const auto status = owner.machines.find(machine);
  if (status == owner.machines.end()) return true;
  return status->second.late && !status->second.unsure && !status->second.soon;
}

}  // namespace

void OwnershipClaims::record_misdirected(const base::MachineId& machine,
                                         const protocol::ControllerIncarnation& owner,
                                         base::Time now) {
  Redirections& redirections = redirections_[machine];
  const bool is_recent = base::between(redirections.last_at, now) <= kRedirectionsKept;
  if (redirections.owner != owner || !is_recent) redirections = {owner, now, now, 0};
  redirections.last_at = now;
  ++redirections.count;
}

std::vector<base::MachineId> OwnershipClaims::misdirected(base::Time now) const {
  std::vector<base::MachineId> machines;
  for (const auto& [machine, redirections] : redirections_) {
    if (base::between(redirections.last_at, now) < kRedirectionsKept) machines.push_back(machine);
  }
  return machines;
}

std::vector<base::MachineId> OwnershipClaims::claims(bool has_authority, base::Time now) {
  if (!has_authority) {
    // The owners have most likely no authority either: in an outage of the state service machines
    // are turned away everywhere.
    redirections_.clear();
    return {};
  }
  std::erase_if(redirections_, [&](const auto& entry) {
    return base::between(entry.second.last_at, now) > kRedirectionsKept;
  });
  std::vector<base::MachineId> machines;
  for (const auto& [machine, redirections] : redirections_) {
    if (is_claimed(machine, redirections, now)) machines.push_back(machine);
  }
  return machines;
}

bool OwnershipClaims::is_claimed(const base::MachineId& machine, const Redirections& redirections,
                                 base::Time now) const {
  if (ownership_.owns(machine) || was_moved_lately(machine, now)) return false;
  const protocol::ControllerIncarnation* owner = ownership_.owner(machine);
  // Redirected to another owner, or to an earlier incarnation: that says nothing of this one.
  if (!owner || redirections.owner != *owner) return false;
  if (redirections.count < kMinRedirections) return false;
  const base::Seconds since_first = base::between(redirections.first_at, now);
  if (const Peer* status = fresh_status(*owner, now)) {
    // The machine came back although its owner lives: its way to the owner is barred.
    return since_first > kClaimAfter && is_unheard(*status, machine);
  }
  const base::Time span_end = base::after(redirections.first_at, kMinRedirectionSpan);
  return redirections.last_at > span_end &&
         since_first > settings_.tuning.member_ttl + kClaimAfterTtl;
}

// A machine that receives no answers tries all controllers in turn. Moved each time, it would go from
// owner to owner, and none would have the time to notice that its connection is half-open.
bool OwnershipClaims::was_moved_lately(const base::MachineId& machine, base::Time now) const {
  const auto overridden_since = ownership_.overridden_since(machine);
  return overridden_since && base::between(*overridden_since, now) < kOverrideKept;
}

const Peer* OwnershipClaims::fresh_status(const protocol::ControllerIncarnation& owner,
                                          base::Time now) const {
  const auto peer = peers_.find(owner.member);
  if (peer == peers_.end() || peer->second.from != owner) return nullptr;
  const bool is_fresh = base::between(peer->second.last_heartbeat_at, now) < kPeerStatusFresh;
  return is_fresh ? &peer->second : nullptr;
}

}  // namespace saddleslip::coordination

#include "coordination/membership/ownership_claims.h"

namespace saddleslip::coordination {

namespace {

constexpr base::Seconds kRedirectionRetention{15.0};
// Time from the first redirection to the claim if the owner's status is recent and shows that the
// owner receives no heartbeats from the machine.
constexpr base::Seconds kClaimDelay{3.0};
// Time beyond the owner's TTL from the first redirection to the claim if the owner's status is not
// recent. An owner that had ended would have left the view by then.
constexpr base::Seconds kClaimDelayAfterTtl{1.0};
constexpr base::Seconds kMinRedirectionSpan{2.0};
constexpr int kMinRedirections = 2;
// A machine is not claimed for this long after an ownership override has moved it.
constexpr base::Seconds kMinOverrideDuration{60.0};

// Returns whether the owner's status shows that the owner receives no heartbeats from the machine.
bool misses_heartbeats(const Peer& owner, const base::MachineId& machine) {
  const auto status = owner.machines.find(machine);
  if (status == owner.machines.end()) return true;
  return status->second.heartbeat_overdue && !status->second.has_unacknowledged_response &&
         !status->second.awaits_confirmation;
}

}  // namespace

void OwnershipClaims::record_redirection(const base::MachineId& machine,
                                         const protocol::ControllerIncarnation& owner,
                                         base::Time now) {
  Redirections& redirections = redirections_[machine];
  const bool is_recent = base::between(redirections.last_at, now) <= kRedirectionRetention;
  if (redirections.owner != owner || !is_recent) redirections = {owner, now, now, 0};
  redirections.last_at = now;
  ++redirections.count;
}

std::vector<base::MachineId> OwnershipClaims::misdirected(base::Time now) const {
  std::vector<base::MachineId> machines;
  for (const auto& [machine, redirections] : redirections_) {
    if (base::between(redirections.last_at, now) < kRedirectionRetention)
      machines.push_back(machine);
  }
  return machines;
}

std::vector<base::MachineId> OwnershipClaims::claims(bool has_authority, base::Time now) {
  if (!has_authority) {
    // The owners most likely have no authority either: during an outage of the state service every
    // controller turns machines away.
    redirections_.clear();
    return {};
  }
  std::erase_if(redirections_, [&](const auto& entry) {
    return base::between(entry.second.last_at, now) > kRedirectionRetention;
  });
  std::vector<base::MachineId> machines;
  for (const auto& [machine, redirections] : redirections_) {
    if (should_claim(machine, redirections, now)) machines.push_back(machine);
  }
  return machines;
}

bool OwnershipClaims::should_claim(const base::MachineId& machine, const Redirections& redirections,
                                   base::Time now) const {
  if (ownership_.owns(machine) || was_recently_moved(machine, now)) return false;
  const protocol::ControllerIncarnation* owner = ownership_.owner(machine);
  // Redirections to another owner or to an earlier incarnation are no evidence against this owner.
  if (!owner || redirections.owner != *owner) return false;
  if (redirections.count < kMinRedirections) return false;
  const base::Seconds since_first = base::between(redirections.first_at, now);
  if (const Peer* status = recent_status(*owner, now)) {
    // The owner runs, and yet the machine came back: the connection between them is broken.
    return since_first > kClaimDelay && misses_heartbeats(*status, machine);
  }
  const base::Time span_end = base::after(redirections.first_at, kMinRedirectionSpan);
  return redirections.last_at > span_end && since_first > ttl_of(*owner) + kClaimDelayAfterTtl;
}

// An owner whose TTL is unknown most likely has the same as this controller.
base::Seconds OwnershipClaims::ttl_of(const protocol::ControllerIncarnation& owner) const {
  return former_authority_.stated_ttl(owner).value_or(settings_.tuning.member_ttl);
}

// Returns whether an override has moved the machine recently. A machine that receives no responses
// tries all controllers in turn. If it were moved each time, no owner would keep it long enough to
// detect that its connection is half-open.
bool OwnershipClaims::was_recently_moved(const base::MachineId& machine, base::Time now) const {
  const auto overridden_since = ownership_.overridden_since(machine);
  return overridden_since && base::between(*overridden_since, now) < kMinOverrideDuration;
}

const Peer* OwnershipClaims::recent_status(const protocol::ControllerIncarnation& owner,
                                           base::Time now) const {
  const auto peer = peers_.find(owner.member);
  if (peer == peers_.end() || peer->second.from != owner) return nullptr;
  const bool is_recent = base::between(peer->second.last_status_at, now) < kPeerStatusMaxAge;
  return is_recent ? &peer->second : nullptr;
}

}  // namespace saddleslip::coordination

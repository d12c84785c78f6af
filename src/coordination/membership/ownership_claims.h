// Claims to machines of other controllers that send heartbeats here because they cannot reach their
// owner.
//
// A machine that gets no response from its owner tries the other controllers, each of which
// redirects it to the owner. If it keeps coming back, this controller claims it, and the leader
// assigns it to this controller by an ownership override.
//
// Holds state only; calls take the time as an argument. Not safe for use from several threads at
// once.
#pragma once

#include <map>
#include <vector>

#include "coordination/machines/peer_registry.h"
#include "coordination/membership/former_authority.h"
#include "coordination/membership/ownership.h"

namespace saddleslip::coordination {

// A peer's status that is older than this does not show what the peer receives now.
inline constexpr base::Seconds kPeerStatusMaxAge{2.5};

// Tracks redirected heartbeats and decides which machines this controller claims.
class OwnershipClaims {
 public:
  // All arguments must outlive this object.
  OwnershipClaims(const base::Settings& settings, const Ownership& ownership,
                  const FormerAuthority& former_authority, const PeerRegistry& peers)
      : settings_(settings),
        ownership_(ownership),
        former_authority_(former_authority),
        peers_(peers) {}

  // Records that the machine sent a heartbeat here and was redirected to its owner.
  void record_redirection(const base::MachineId& machine,
                          const protocol::ControllerIncarnation& owner, base::Time now);
  // Returns the machines that were redirected recently.
  std::vector<base::MachineId> misdirected(base::Time now) const;

  // Returns the machines that this controller claims; none without authority. Also drops expired
  // redirections, and all of them without authority.
  std::vector<base::MachineId> claims(bool has_authority, base::Time now);

 private:
  // The heartbeats of one machine that were redirected to one owner.
  struct Redirections {
    protocol::ControllerIncarnation owner;
    base::Time first_at{}, last_at{};
    int count = 0;
  };

  bool should_claim(const base::MachineId& machine, const Redirections& redirections,
                    base::Time now) const;
  bool was_recently_moved(const base::MachineId& machine, base::Time now) const;
  // Returns the time to live of the owner's lease.
  base::Seconds ttl_of(const protocol::ControllerIncarnation& owner) const;
  // Returns the owner's latest status if it is recent, otherwise null.
  const Peer* recent_status(const protocol::ControllerIncarnation& owner, base::Time now) const;

  const base::Settings& settings_;
  const Ownership& ownership_;
  const FormerAuthority& former_authority_;
  const PeerRegistry& peers_;
  std::map<base::MachineId, Redirections> redirections_;
};

}  // namespace saddleslip::coordination

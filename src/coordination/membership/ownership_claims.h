// Machines of other controllers that come to this one because they can't reach their owner.
//
// A machine that gets no answer from its owner tries the other controllers, each of which redirects it
// to the owner. One that comes back again and again is claimed: the leader then gives it to this
// controller by an ownership override.
//
// Holds state only; takes the time as an argument. Not safe for use from several threads at once.
#pragma once

#include <map>
#include <vector>

#include "coordination/machines/peer_registry.h"
#include "coordination/membership/ownership.h"

namespace saddleslip::coordination {

// A peer's status that is older says nothing of what the peer receives now.
inline constexpr base::Seconds kPeerStatusFresh{2.5};

class OwnershipClaims {
 public:
  // All of these must outlive this object.
  OwnershipClaims(const base::Settings& settings, const Ownership& ownership,
                  const PeerRegistry& peers)
      : settings_(settings), ownership_(ownership), peers_(peers) {}

  // The machine reported here and was redirected to its owner.
  void record_misdirected(const base::MachineId& machine,
                          const protocol::ControllerIncarnation& owner, base::Time now);
  // The machines that were redirected lately.
  std::vector<base::MachineId> misdirected(base::Time now) const;

  // The machines that this controller claims. Forgets old redirections; without authority, all.
  std::vector<base::MachineId> claims(bool has_authority, base::Time now);

 private:
  // The heartbeats of one machine that were redirected to one owner.
  struct Redirections {
    protocol::ControllerIncarnation owner;
    base::Time first_at{}, last_at{};
    int count = 0;
  };

  bool is_claimed(const base::MachineId& machine, const Redirections& redirections,
                  base::Time now) const;
  bool was_moved_lately(const base::MachineId& machine, base::Time now) const;
  // The owner's status, if it is fresh.
  const Peer* fresh_status(const protocol::ControllerIncarnation& owner, base::Time now) const;

  const base::Settings& settings_;
  const Ownership& ownership_;
  const PeerRegistry& peers_;
  std::map<base::MachineId, Redirections> redirections_;
};

}  // namespace saddleslip::coordination

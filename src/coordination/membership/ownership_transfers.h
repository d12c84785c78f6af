// For the leader: which machines the next view gives to other members, because they can't reach their
// owners.
//
// Holds state only; takes the time as an argument. Not safe for use from several threads at once.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "coordination/machines/peer_registry.h"
#include "coordination/membership/ownership.h"

namespace saddleslip::coordination {

// What a member says of itself, as far as transfers depend on it.
struct MemberReport {
  std::vector<base::MachineId> claims;  // machines of others that it claims
  protocol::WorkerContact contact = protocol::WorkerContact::kUnknown;
  std::vector<base::MachineId> silent;  // machines of its own that it does not hear
};

class OwnershipTransfers {
 public:
  using NewOwners = std::map<base::MachineId, protocol::ControllerIncarnation>;

  // What transfers are decided by; all of it must outlive this object.
  struct Inputs {
    const base::Settings& settings;
    const storage::StateCache& cache;
    const AuthorityLease& authority;
    const Ownership& ownership;
    const PeerRegistry& peers;
  };
  explicit OwnershipTransfers(const Inputs& inputs) : in_(inputs) {}

  // The transfers that are due, `own` being the report of this member. Each new view fences all
  // commands that are under way, so claims are collected for a moment before any is followed: a
  // member that loses its workers loses all of them. Claims on record and members that have lost
  // contact are not waited for.
  NewOwners due(const MemberReport& own,
                const std::function<bool(const base::MachineId&)>& is_released, base::Time now);

 private:
  // The claims of all members, on record or reported.
  NewOwners claims(const MemberReport& own,
                   const std::function<bool(const base::MachineId&)>& is_released,
                   base::Time now) const;
  // Adds the silent machines of members that have lost contact with their workers. False: none.
  bool add_failovers(const MemberReport& own,
                     const std::function<bool(const base::MachineId&)>& is_released, base::Time now,
                     NewOwners& transfers) const;
  protocol::WorkerContact contact_of(const protocol::ControllerIncarnation& member,
                                     const MemberReport& own, base::Time now) const;
  std::vector<base::MachineId> silent_machines_of(const protocol::ControllerIncarnation& member,
                                                  const MemberReport& own) const;
  bool is_fresh(const Peer& peer, base::Time now) const;

  Inputs in_;
  std::optional<base::Time> pending_since_;  // since when there are transfers that no view follows
};

}  // namespace saddleslip::coordination

// Decides, on the leader, which machines the next view assigns to other members because they cannot
// reach their owners.
//
// Holds state only; calls take the time as an argument. Not safe for use from several threads at
// once.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "coordination/machines/peer_registry.h"
#include "coordination/membership/ownership.h"

namespace saddleslip::coordination {

// The leader's own claims and contact with its workers. For other members, the same data comes from
// their status messages.
struct MemberReport {
  std::vector<base::MachineId> claims;  // machines of other members that it claims
  protocol::WorkerContact worker_contact = protocol::WorkerContact::kUnknown;
  // The machines it owns whose heartbeats are overdue, or that have recorded assignments but have
  // never sent a heartbeat to it.
  std::vector<base::MachineId> silent;
};

// Collects claims and lost contacts, and decides when to transfer machines to new owners.
class OwnershipTransfers {
 public:
  using NewOwners = std::map<base::MachineId, protocol::ControllerIncarnation>;

  // The data that the decisions use; all of it must outlive this object.
  struct Inputs {
    const base::Settings& settings;
    const storage::StateCache& cache;
    const AuthorityLease& authority;
    const Ownership& ownership;
    const PeerRegistry& peers;
  };
  explicit OwnershipTransfers(const Inputs& inputs) : inputs_(inputs) {}

  // Returns the transfers that are due; `own` is the report of this member. Each new view fences
  // all commands in flight, and a member that loses contact loses it to all its workers. So claims
  // are collected for a moment and then applied in one view. Transfers are due at once if there are
  // stored claims or if a member has reported that it lost contact.
  NewOwners due_transfers(const MemberReport& own,
                          const std::function<bool(const base::MachineId&)>& is_released,
                          base::Time now);

 private:
  // Returns the claims of all members, stored or reported.
  NewOwners claims(const MemberReport& own,
                   const std::function<bool(const base::MachineId&)>& is_released,
                   base::Time now) const;
  // Adds the silent machines of members that have lost contact with their workers, and assigns them
  // to members with good contact. Returns whether any were added.
  bool add_failovers(const MemberReport& own,
                     const std::function<bool(const base::MachineId&)>& is_released, base::Time now,
                     NewOwners& transfers) const;
  protocol::WorkerContact contact_of(const protocol::ControllerIncarnation& member,
                                     const MemberReport& own, base::Time now) const;
  std::vector<base::MachineId> silent_machines_of(const protocol::ControllerIncarnation& member,
                                                  const MemberReport& own) const;
  bool is_recent(const Peer& peer, base::Time now) const;

  Inputs inputs_;
  std::optional<base::Time> pending_since_;  // since when transfers wait to become due
};

}  // namespace saddleslip::coordination

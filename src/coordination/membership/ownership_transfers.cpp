#include "coordination/membership/ownership_transfers.h"

#include "base/log.h"
#include "coordination/membership/ownership_claims.h"

namespace saddleslip::coordination {

using protocol::ControllerIncarnation;
using protocol::WorkerContact;

OwnershipTransfers::NewOwners OwnershipTransfers::due_transfers(
    const MemberReport& own, const std::function<bool(const base::MachineId&)>& is_released,
    base::Time now) {
  NewOwners transfers = claims(own, is_released, now);
  const bool has_failovers = add_failovers(own, is_released, now, transfers);
  if (transfers.empty()) {
    pending_since_.reset();
    return {};
  }
  if (!pending_since_) pending_since_ = now;
  const base::Seconds collection_time =
      inputs_.settings.heartbeat_interval * 0.5 + base::Seconds(1.0);
  const bool is_complete = !inputs_.cache.ownership_claims().empty() || has_failovers;
  if (!is_complete && base::between(*pending_since_, now) < collection_time) return {};
  pending_since_.reset();
  spdlog::info("machines can't reach their owners, moved to other members: count={}",
               transfers.size());
  return transfers;
}

OwnershipTransfers::NewOwners OwnershipTransfers::claims(
    const MemberReport& own, const std::function<bool(const base::MachineId&)>& is_released,
    base::Time now) const {
  NewOwners all = inputs_.cache.ownership_claims();
  const auto& view = inputs_.cache.view();
  if (!view) return all;
  const auto add = [&](const ControllerIncarnation& member,
                       const std::vector<base::MachineId>& machines) {
    for (const base::MachineId& machine : machines) {
      const ControllerIncarnation* owner = inputs_.ownership.owner(machine);
      if (owner && *owner != member && !is_released(machine)) all.try_emplace(machine, member);
    }
  };
  add(inputs_.authority.self(), own.claims);
  for (const auto& [id, peer] : inputs_.peers) {
    if (has_member(*view, peer.from) && is_recent(peer, now)) add(peer.from, peer.ownership_claims);
  }
  return all;
}

bool OwnershipTransfers::add_failovers(
    const MemberReport& own, const std::function<bool(const base::MachineId&)>& is_released,
    base::Time now, NewOwners& transfers) const {
  if (!inputs_.cache.view()) return false;
  View successors;  // the members that may take over machines
  std::vector<ControllerIncarnation> lost;
  for (const ControllerIncarnation& member : inputs_.cache.view()->members) {
    const WorkerContact contact = contact_of(member, own, now);
    if (contact == WorkerContact::kGood) successors.members.push_back(member);
    if (contact == WorkerContact::kLost) lost.push_back(member);
  }
  if (successors.members.empty()) return false;
  bool any_added = false;
  for (const ControllerIncarnation& member : lost) {
    for (const base::MachineId& machine : silent_machines_of(member, own)) {
      if (is_released(machine)) continue;
      const bool is_added = transfers.try_emplace(machine, *owner_of(successors, machine)).second;
      any_added = any_added || is_added;
    }
  }
  return any_added;
}

WorkerContact OwnershipTransfers::contact_of(const ControllerIncarnation& member,
                                             const MemberReport& own, base::Time now) const {
  if (member == inputs_.authority.self()) return own.worker_contact;
  const auto peer = inputs_.peers.find(member.member);
  const bool is_known =
      peer != inputs_.peers.end() && peer->second.from == member && is_recent(peer->second, now);
  return is_known ? peer->second.worker_contact : WorkerContact::kUnknown;
}

// Returns the member's machines whose heartbeats are overdue or never arrived. The member must be
// this one or a known peer.
std::vector<base::MachineId> OwnershipTransfers::silent_machines_of(
    const ControllerIncarnation& member, const MemberReport& own) const {
  if (member == inputs_.authority.self()) return own.silent;
  const Peer& peer = inputs_.peers.at(member.member);
  std::vector<base::MachineId> silent;
  for (const auto& [machine, status] : peer.machines) {
    if (status.heartbeat_overdue) silent.push_back(machine);
  }
  // Machines that have recorded assignments but have never sent a heartbeat to the member.
  for (const auto& [machine, assignments] : inputs_.cache.assignments_by_machine()) {
    const ControllerIncarnation* owner = inputs_.ownership.owner(machine);
    if (owner && *owner == member && !peer.machines.contains(machine)) silent.push_back(machine);
  }
  return silent;
}

bool OwnershipTransfers::is_recent(const Peer& peer, base::Time now) const {
  return base::between(peer.last_status_at, now) < kPeerStatusMaxAge;
}

}  // namespace saddleslip::coordination

#include "coordination/machines/peer_registry.h"

#include <algorithm>

namespace saddleslip::coordination {

namespace {

using base::Seconds;

constexpr Seconds kStateReportMaxAge{2.5};
constexpr Seconds kCrashLoopReportMaxAge{5.0};

}  // namespace

// Returns whether the status can be applied: it is a full status, or a delta to the revision that
// this copy has from the same incarnation. A delta cannot be applied if the status before it was
// lost.
bool PeerRegistry::can_apply(const protocol::MemberStatus& status) const {
  if (status.base_revision == 0) return true;
  const auto known = peers_.find(status.from.member);
  return known != peers_.end() && known->second.from == status.from &&
         known->second.revision == status.base_revision;
}

bool PeerRegistry::update(const protocol::MemberStatus& status, base::Time now) {
  if (!can_apply(status)) return false;
  Peer& peer = peers_[status.from.member];
  if (status.base_revision == 0) peer.machines.clear();
  peer.from = status.from;
  peer.has_lease = status.has_lease;
  peer.revision = status.revision;
  peer.release_requested = status.release_requested;
  peer.misdirected = status.misdirected;
  peer.ownership_claims = status.ownership_claims;
  peer.worker_contact = status.worker_contact;
  peer.crash_looping_jobs = {status.crash_looping_jobs.begin(), status.crash_looping_jobs.end()};
  peer.last_status_at = now;
  for (const base::MachineId& id : status.departed_machines) peer.machines.erase(id);
  for (const protocol::MachineStatus& machine : status.machines) {
    peer.machines[machine.id] = machine;
  }
  return true;
}

bool PeerRegistry::any_has_lease(base::Time now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.has_lease && base::between(peer.last_status_at, now) < kStateReportMaxAge;
  });
}

bool PeerRegistry::any_sees_crash_loop(const base::JobId& job, base::Time now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return base::between(peer.last_status_at, now) < kCrashLoopReportMaxAge &&
           peer.crash_looping_jobs.contains(job);
  });
}

}  // namespace saddleslip::coordination

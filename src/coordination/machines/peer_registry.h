// The latest status of each other controller and of its machines.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "protocol/records.h"

namespace saddleslip::coordination {

// The state of one other controller, assembled from its status messages.
struct Peer {
  protocol::ControllerIncarnation from;
  bool has_lease = false;      // it holds a lease in the state service
  std::uint64_t revision = 0;  // the revision of the peer's status that this copy corresponds to
  std::map<base::MachineId, protocol::MachineStatus> machines;
  // The machines that the peer asks the leader to release, those that sent it heartbeats although
  // other members own them, and those of other members that it claims.
  std::vector<base::MachineId> release_requested, misdirected, ownership_claims;
  std::set<base::JobId> crash_looping_jobs;
  protocol::WorkerContact worker_contact = protocol::WorkerContact::kUnknown;
  base::Time last_status_at{};
};

// Assembles the peers' full statuses from the deltas that they send. Iterates as a map from member
// id to peer. Holds state only; not safe for use from several threads at once.
class PeerRegistry {
 public:
  using Peers = std::map<base::MemberId, Peer>;

  // Applies a status message. Returns false and changes nothing if it is a delta to a revision that
  // this copy does not have; the peer must then send its full status.
  bool update(const protocol::MemberStatus& status, base::Time now);
  // Removes the peer, so that its next delta is refused and it has to send its full status.
  void forget(const base::MemberId& member) { peers_.erase(member); }

  // Returns whether a recent status of any peer says that it holds a lease in the state service.
  bool any_has_lease(base::Time now) const;
  // Returns whether a recent status of any peer says that the job fails on every machine.
  bool any_sees_crash_loop(const base::JobId& job, base::Time now) const;

  Peers::const_iterator begin() const { return peers_.begin(); }
  Peers::const_iterator end() const { return peers_.end(); }
  Peers::const_iterator find(const base::MemberId& member) const { return peers_.find(member); }
  // Returns the peer, which must be known.
  const Peer& at(const base::MemberId& member) const { return peers_.at(member); }

 private:
  bool can_apply(const protocol::MemberStatus& status) const;

  Peers peers_;
};

}  // namespace saddleslip::coordination

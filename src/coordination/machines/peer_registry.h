// The other controllers, as each last described itself and its machines.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "protocol/records.h"

namespace saddleslip::coordination {

// One other controller, by the statuses that it has sent so far.
struct Peer {
  protocol::ControllerIncarnation from;
  bool has_state = false;  // it holds a lease in the state service
  std::uint64_t upto = 0;  // the revision of its status that this copy has reached
  std::map<base::MachineId, protocol::MachineStatus> machines;
  std::vector<base::MachineId> release_requested, misdirected, ownership_claims;
  std::set<base::JobId> crash_looping_jobs;
  protocol::WorkerContact contact = protocol::WorkerContact::kUnknown;
  base::Time last_heartbeat_at{};
};

// Assembles the peers' full statuses from the deltas that they send. Iterates as a map from the peer's
// member id to the peer. Holds state only; not safe for use from several threads at once.
class PeerRegistry {
 public:
  using Peers = std::map<base::MemberId, Peer>;

  // Takes in a status. Returns false, and changes nothing, if the status is a delta to a state that
  // this copy does not have: the peer must then send its full status.
  bool update(const protocol::MemberStatus& status, base::Time now);
  // Forgets the peer: the next delta from it is refused.
  void forget(const base::MemberId& member) { peers_.erase(member); }

  // Does a peer that was heard from lately hold a lease in the state service?
  bool any_has_state(base::Time now) const;
  // Has a peer that was heard from lately seen the job fail on every machine?
  bool any_sees_crash_loop(const base::JobId& job, base::Time now) const;

  Peers::const_iterator begin() const { return peers_.begin(); }
  Peers::const_iterator end() const { return peers_.end(); }
  Peers::const_iterator find(const base::MemberId& member) const { return peers_.find(member); }
  // Requires that the peer is known.
  const Peer& at(const base::MemberId& member) const { return peers_.at(member); }

 private:
  bool builds_on_known_state(const protocol::MemberStatus& status) const;

  Peers peers_;
};

}  // namespace saddleslip::coordination

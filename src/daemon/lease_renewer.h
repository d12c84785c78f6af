// Keeps this member's lease in the store, and proposes changes of the membership.
#pragma once

#include <optional>
#include <stop_token>

#include "daemon/peer_sync.h"
#include "daemon/shared_controller.h"
#include "daemon/state_replicator.h"
#include "protocol/clients.h"

namespace saddleslip {

// Creates the lease, which begins an incarnation of this controller; renews it four times within
// its time to live; begins a new incarnation when it was lost. Each renewal is followed by a proof
// that the local copy is current, and by what the controller proposes about the membership.
class LeaseRenewer {
 public:
  LeaseRenewer(const DaemonContext& context, protocol::StateClient& state,
               StateReplicator& replicator, const PeerSyncs& peers);

  // Runs on a thread of its own until a stop is requested.
  void run(const std::stop_token& stop);

 private:
  // Creates a lease and puts this member's record under it. Returns whether both were done.
  bool begin_incarnation();
  // Renews the lease; returns false if it no longer exists, which ends the incarnation.
  bool renew();
  // Takes leadership or proposes a view, if one is due. Returns whether it was committed.
  bool commit_membership_change();
  void commit_ownership_claims();

  const DaemonContext context_;
  protocol::StateClient& state_;
  StateReplicator& replicator_;
  const PeerSyncs& peers_;
  const base::Seconds ttl_;
  const base::Seconds period_;
  const base::Seconds timeout_;  // of each call that concerns the lease
  std::optional<base::LeaseId> lease_;
};

}  // namespace saddleslip

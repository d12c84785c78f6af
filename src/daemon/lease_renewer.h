// Renews this member's lease in the state service and commits membership changes.
#pragma once

#include <optional>
#include <stop_token>

#include "daemon/peer_sync.h"
#include "daemon/shared_controller.h"
#include "daemon/state_replicator.h"
#include "protocol/clients.h"

namespace saddleslip {

// Creates a lease, which starts an incarnation of this controller, and renews it four times per
// time to live. Starts a new incarnation if the lease is lost. After each renewal, brings the local
// copy of the state service up to date and commits the membership changes that the controller
// proposes.
class LeaseRenewer {
 public:
  LeaseRenewer(const DaemonContext& context, protocol::StateClient& state_client,
               StateReplicator& replicator, const PeerSyncs& peers);

  // Runs on a thread of its own until a stop is requested.
  void run(const std::stop_token& stop);

 private:
  // Creates a lease and commits this member's record under it. Returns whether both succeeded.
  bool begin_incarnation();
  // Renews the lease. Returns false if it no longer exists, after ending the incarnation.
  bool renew_lease();
  // Commits a change of leadership or a new view if the controller proposes one. Returns whether a
  // change was committed.
  bool commit_membership_change();
  // Commits claims to the ownership of machines that cannot reach their present owners, if the
  // controller proposes any.
  void commit_ownership_claims();

  const DaemonContext context_;
  protocol::StateClient& state_client_;
  StateReplicator& replicator_;
  const PeerSyncs& peers_;
  const base::Seconds lease_ttl_;
  const base::Seconds renewal_interval_;
  const base::Seconds lease_call_timeout_;  // for each call to create, renew or delete the lease
  std::optional<base::LeaseId> lease_;      // not set while no incarnation is active
};

}  // namespace saddleslip

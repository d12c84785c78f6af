// Sends this controller's status, offers and cancellations to one peer.
#pragma once

#include <deque>
#include <memory>
#include <mutex>
#include <stop_token>
#include <vector>

#include "daemon/shared_controller.h"
#include "protocol/peer_messages.h"
#include "transport/http_client.h"

namespace saddleslip {

// Returns the time between two status messages to a peer. It is bounded however rare the scheduling
// rounds are, since the peer judges by the age of the last message whether this controller runs.
base::Seconds status_period(base::Seconds round_period);

// Posts the status periodically, and offers and cancellations immediately. Delivery is best effort:
// tasks of a cancelled job end in time even if no message arrives, because the peer's authority and
// the workers' leases expire. run() needs a thread of its own; the other functions may be called
// from any thread.
class PeerSync {
 public:
  PeerSync(const DaemonContext& context, const base::Peer& peer);

  const base::MemberId& member() const { return member_; }

  // Queues offers for the next message. Drops them if too many offers are waiting.
  void send_offers(protocol::Offers offers);
  // Queues a cancellation for the next message. Drops the oldest one if too many are waiting.
  void send_cancellation(const base::JobId& job);
  // Requests that the status is sent now instead of after the period.
  void request_status() { wakeup_.notify(); }

  // Sends messages until a stop is requested.
  void run(const std::stop_token& stop);

 private:
  // Builds a message with the current status and all waiting offers and cancellations.
  protocol::PeerMessage make_message();
  // Sends a message and processes the reply. Returns whether the peer replied.
  bool send(const protocol::PeerMessage& message);
  // Removes from the queue the cancellations that the peer has received.
  void remove_delivered_cancellations(const std::vector<base::JobId>& cancelled);
  // Applies the instructions in the peer's reply to the status of the given revision.
  void handle_reply(const protocol::PeerReply& reply, std::uint64_t status_revision);

  const DaemonContext context_;
  const base::MemberId member_;
  transport::HttpClient http_;
  WakeupEvent wakeup_;
  std::mutex mutex_;
  std::vector<protocol::Offers> offers_;   // guarded by mutex_
  std::deque<base::JobId> cancellations_;  // not yet delivered; bounded; guarded by mutex_
};

// One sender for each peer of this controller.
using PeerSyncs = std::vector<std::unique_ptr<PeerSync>>;

}  // namespace saddleslip

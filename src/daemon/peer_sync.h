// Sends one peer this controller's status, offers and cancellations.
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

// Posts the status regularly, and offers and cancellations at once. Best effort: that a cancelled
// task ends in time rests on the end of authority and of the workers' leases. run() has a thread of
// its own; the other functions may be called from any thread.
class PeerSync {
 public:
  PeerSync(const DaemonContext& context, const base::Peer& peer);

  const base::MemberId& member() const { return member_; }

  // Dropped if the peer has taken none for long.
  void send_offers(protocol::Offers offers);
  void send_cancellation(const base::JobId& job);
  // Sends the status now.
  void notify() { wakeup_.notify(); }

  // Sends messages until a stop is requested.
  void run(const std::stop_token& stop);

 private:
  protocol::PeerMessage next_message();
  // Returns whether the peer answered.
  bool send(const protocol::PeerMessage& message);
  void remove_delivered(const std::vector<base::JobId>& cancelled);
  void handle_reply(const protocol::PeerReply& reply, std::uint64_t status_revision);

  const DaemonContext context_;
  const base::MemberId member_;
  transport::HttpClient http_;
  WakeupEvent wakeup_;
  std::mutex mutex_;
  std::vector<protocol::Offers> offers_;   // guarded by mutex_
  std::deque<base::JobId> cancellations_;  // not delivered yet; bounded; guarded by mutex_
};

using PeerSyncs = std::vector<std::unique_ptr<PeerSync>>;

}  // namespace saddleslip

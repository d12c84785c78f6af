// The message that a controller posts to a peer, and the peer's reply.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/records.h"

namespace saddleslip::protocol {

// The sender's status, with the offers and cancellations that are due.
struct PeerMessage {
  MemberStatus status;
  std::vector<Offers> offers;
  std::vector<JobId> cancelled;  // jobs whose cancellation is committed
};

// What the receiver asks of the sender. The lists are empty unless the receiver is the leader.
struct PeerReply {
  std::vector<MachineId> released;  // these machines and all on them no longer exist
  std::vector<MachineId> cordon;    // take no new tasks; release when idle
  std::vector<MachineId> drain;     // move services away, then release
  bool needs_full_status = true;    // the status was a delta to one that the receiver does not have
};

// Times within the message are written relative to `now`.
std::string encode_peer_message(const PeerMessage& message, Time now);
// Nothing if the body is no JSON object or holds no valid status. Invalid offers and ids are skipped.
std::optional<PeerMessage> parse_peer_message(const std::string& body, Time now);

std::string encode_peer_reply(const PeerReply& reply);
// A body that is no JSON object counts as an empty reply that asks for the full status.
PeerReply parse_peer_reply(const std::string& body);

}  // namespace saddleslip::protocol

// The messages that controllers post to each other, and the replies to them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/records.h"

namespace saddleslip::protocol {

// A message to a peer: the status of the sender, with the offers and the committed cancellations
// that are due to be sent.
struct PeerMessage {
  MemberStatus status;
  std::vector<Offers> offers;
  std::vector<JobId> cancelled;  // jobs whose cancellation is committed to the state service
};

// The reply to a PeerMessage: instructions from the receiver to the sender. Only the leader lists
// machines in it.
struct PeerReply {
  std::vector<MachineId> released;  // released by the cloud: these and their tasks do not exist
  std::vector<MachineId> cordon;    // start no new tasks on these; release them when idle
  std::vector<MachineId> drain;     // move the services on these elsewhere, then release them
  // The status was a delta to a revision that the receiver lacks: the sender must send a full
  // status.
  bool needs_full_status = true;
};

// Encodes the message. Times are written as ages relative to `now`, as clocks are not comparable
// between processes.
std::string encode_peer_message(const PeerMessage& message, Time now);
// Parses a message; nullopt if the body is not a JSON object with a valid status. Invalid offers
// and ids are skipped. Ages in the message are converted to times relative to `now`.
std::optional<PeerMessage> parse_peer_message(const std::string& body, Time now);

// Encodes the reply as a JSON object.
std::string encode_peer_reply(const PeerReply& reply);
// Parses a reply. A body that is not a JSON object is read as a reply without machines that asks
// for the full status.
PeerReply parse_peer_reply(const std::string& body);

}  // namespace saddleslip::protocol

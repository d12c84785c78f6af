#include "protocol/peer_messages.h"

#include "protocol/id_lists.h"

namespace saddleslip::protocol {

namespace {

// JSON field names of messages between controllers and of the replies to them.
constexpr const char* kStatus = "status";
constexpr const char* kOffers = "offers";
constexpr const char* kCancelled = "cancelled";
constexpr const char* kReleased = "gone";
constexpr const char* kCordon = "close";
constexpr const char* kDrain = "drain";
constexpr const char* kNeedsFullStatus = "again";

}  // namespace

std::string encode_peer_message(const PeerMessage& message, Time now) {
  Json body = {{kStatus, to_json(message.status, now)}};
  if (!message.offers.empty()) {
    Json& offers = body[kOffers] = Json::array();
    for (const Offers& entry : message.offers) offers.push_back(to_json(entry));
  }
  if (!message.cancelled.empty()) body[kCancelled] = ids_to_json(message.cancelled);
  return body.dump();
}

std::optional<PeerMessage> parse_peer_message(const std::string& body, Time now) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains(kStatus)) return {};
  auto status = parse_status(json.at(kStatus), now);
  if (!status) return {};
  PeerMessage message;
  message.status = std::move(*status);
  if (json.contains(kOffers) && json.at(kOffers).is_array()) {
    for (const Json& entry : json.at(kOffers)) {
      if (auto parsed = parse_offers(entry)) message.offers.push_back(std::move(*parsed));
    }
  }
  message.cancelled = parse_ids<JobId>(json, kCancelled);
  return message;
}

std::string encode_peer_reply(const PeerReply& reply) {
  return Json{{kReleased, ids_to_json(reply.released)},
              {kCordon, ids_to_json(reply.cordon)},
              {kDrain, ids_to_json(reply.drain)},
              {kNeedsFullStatus, reply.needs_full_status}}
      .dump();
}

PeerReply parse_peer_reply(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  PeerReply reply;
  reply.released = parse_ids<MachineId>(json, kReleased);
  reply.cordon = parse_ids<MachineId>(json, kCordon);
  reply.drain = parse_ids<MachineId>(json, kDrain);
  reply.needs_full_status = !json.is_object() || json.value(kNeedsFullStatus, true);
  return reply;
}

}  // namespace saddleslip::protocol

// Tests for encoding and parsing the messages between controllers.
#include "protocol/peer_messages.h"

#include <gtest/gtest.h>

namespace saddleslip::protocol {

namespace {

// Returns a message that has a status and nothing else.
PeerMessage make_message() {
  PeerMessage message;
  message.status.from = {MemberId("m-1"), base::Incarnation(7)};
  return message;
}

TEST(PeerMessage, WithoutOffersAndCancellationsHoldsOnlyStatus) {
  const Json json = Json::parse(encode_peer_message(make_message(), Time{}));
  EXPECT_EQ(json.size(), 1u);
  EXPECT_TRUE(json.contains("status"));
}

TEST(PeerMessage, RoundTrips) {
  PeerMessage sent = make_message();
  sent.offers.push_back({sent.status.from, base::Epoch(3), {{JobId("run-000001"), {{0, 2}}}}});
  sent.cancelled = {JobId("run-000002")};
  const auto received = parse_peer_message(encode_peer_message(sent, Time{}), Time{});
  ASSERT_TRUE(received);
  EXPECT_EQ(received->status.from, sent.status.from);
  ASSERT_EQ(received->offers.size(), 1u);
  EXPECT_EQ(to_json(received->offers.front()), to_json(sent.offers.front()));
  EXPECT_EQ(received->cancelled, sent.cancelled);
}

TEST(PeerMessage, WithoutValidStatusIsRejected) {
  EXPECT_FALSE(parse_peer_message("not JSON", Time{}));
  EXPECT_FALSE(parse_peer_message("{}", Time{}));
  EXPECT_FALSE(parse_peer_message(R"({"status":1})", Time{}));
}

TEST(PeerReply, EncodesFieldNamesOfTheProtocol) {
  const PeerReply reply{{MachineId("a")}, {MachineId("b")}, {MachineId("c")}, false};
  EXPECT_EQ(encode_peer_reply(reply),
            R"({"again":false,"close":["b"],"drain":["c"],"gone":["a"]})");
}

TEST(PeerReply, MalformedReplyAsksForFullStatus) {
  const PeerReply reply = parse_peer_reply("not JSON");
  EXPECT_TRUE(reply.needs_full_status);
  EXPECT_TRUE(reply.released.empty());
  EXPECT_FALSE(parse_peer_reply(R"({"again":false})").needs_full_status);
}

}  // namespace

}  // namespace saddleslip::protocol

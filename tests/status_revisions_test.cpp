// Tests the revisions of changes to machines, and which revisions peers have acknowledged.
#include "coordination/machines/status_revisions.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

namespace {

using base::MachineId;
using base::MemberId;

const MachineId kMachine("m");

std::vector<base::Peer> peers() {
  std::vector<base::Peer> out(2);
  out[0].member = MemberId("n1");
  out[1].member = MemberId("n2");
  return out;
}

}  // namespace

TEST(StatusRevisions, UnknownPeerIsSentTheFullStatus) {
  StatusRevisions revisions;
  EXPECT_EQ(revisions.acknowledged(MemberId("n1")), 0U);
  revisions.acknowledge(MemberId("n1"), 4);
  EXPECT_EQ(revisions.acknowledged(MemberId("n1")), 4U);
}

TEST(StatusRevisions, FullStatusListsNoMachinesThatLeft) {
  StatusRevisions revisions;
  const std::uint64_t before = revisions.advance();
  revisions.record_departure(kMachine);
  EXPECT_EQ(revisions.departed_since(before), std::vector{kMachine});
  EXPECT_TRUE(revisions.departed_since(0).empty());
  EXPECT_TRUE(revisions.departed_since(revisions.current()).empty());
}

TEST(StatusRevisions, MachineThatRejoinsIsNotListedAsLeft) {
  StatusRevisions revisions;
  const std::uint64_t before = revisions.advance();
  revisions.record_departure(kMachine);
  revisions.record_arrival(kMachine);
  EXPECT_TRUE(revisions.departed_since(before).empty());
}

TEST(StatusRevisions, MachineThatLeftIsKeptUntilEveryPeerAcknowledgesIt) {
  StatusRevisions revisions;
  const std::uint64_t before = revisions.advance();
  revisions.acknowledge(MemberId("n1"), before);
  revisions.record_departure(kMachine);
  revisions.acknowledge(MemberId("n2"), revisions.current());
  revisions.prune_departed(peers());
  EXPECT_EQ(revisions.departed_since(before), std::vector{kMachine});
  revisions.acknowledge(MemberId("n1"), revisions.current());
  revisions.prune_departed(peers());
  EXPECT_TRUE(revisions.departed_since(before).empty());
}

// A peer that requests a full status does not delay the removal of machines that left.
TEST(StatusRevisions, PeerThatNeedsAFullStatusDoesNotDelayRemoval) {
  StatusRevisions revisions;
  const std::uint64_t before = revisions.advance();
  revisions.record_departure(kMachine);
  revisions.acknowledge(MemberId("n1"), 0);
  revisions.prune_departed(peers());
  EXPECT_TRUE(revisions.departed_since(before).empty());
}

}  // namespace saddleslip::coordination

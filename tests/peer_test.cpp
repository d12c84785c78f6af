// What peers tell each other of their machines: only what changed since what the other has.
#include <gtest/gtest.h>

#include "coordination/controller.h"
#include "makers.h"

namespace saddleslip::coordination {

using testing::at_seconds;

class PeerStatusTest : public ::testing::Test {
 protected:
  PeerStatusTest() : settings_(testing::make_settings({"n1"})), controller_(settings_) {}

  // Does the controller ask for the whole status when n1 sends the changes since `since`?
  bool asks_for_all(std::uint64_t incarnation, std::uint64_t since, std::uint64_t upto) {
    MemberStatus status;
    status.from = {peer_, base::Incarnation(incarnation)};
    status.since = since;
    status.upto = upto;
    return controller_.handle_peer_status(status, at_seconds(0)).again;
  }
  std::uint64_t status_since() { return controller_.status(peer_, at_seconds(0)).since; }

  const base::Settings settings_;
  Controller controller_;
  const MemberId peer_{"n1"};
};

TEST_F(PeerStatusTest, DeltaBeforeAnyStatusAsksForAll) {
  EXPECT_TRUE(asks_for_all(7, 3, 5));
  EXPECT_FALSE(asks_for_all(7, 0, 5));
}

TEST_F(PeerStatusTest, DeltaOnTopOfTheLastOneIsTaken) {
  EXPECT_FALSE(asks_for_all(7, 0, 5));
  EXPECT_FALSE(asks_for_all(7, 5, 6));
}

// A status that was lost leaves a gap.
TEST_F(PeerStatusTest, DeltaOnAnotherBaseAsksForAll) {
  EXPECT_FALSE(asks_for_all(7, 0, 5));
  EXPECT_FALSE(asks_for_all(7, 5, 6));
  EXPECT_TRUE(asks_for_all(7, 5, 8));
}

TEST_F(PeerStatusTest, DeltaOfANewIncarnationAsksForAll) {
  EXPECT_FALSE(asks_for_all(7, 0, 5));
  EXPECT_FALSE(asks_for_all(7, 5, 6));
  EXPECT_TRUE(asks_for_all(9, 6, 8));
  EXPECT_FALSE(asks_for_all(9, 0, 2));
}

// A peer whose offers were lost is forgotten until it sends its whole status.
TEST_F(PeerStatusTest, OffersToThePeerWereLostAsksForAll) {
  EXPECT_FALSE(asks_for_all(9, 0, 2));
  controller_.offers_lost(peer_, {});
  EXPECT_TRUE(asks_for_all(9, 2, 3));
}

TEST_F(PeerStatusTest, NothingAcknowledgedSendsAll) {
  EXPECT_EQ(status_since(), 0u);
}

TEST_F(PeerStatusTest, RevisionAcknowledgedSendsWhatChangedSince) {
  controller_.status_acknowledged(peer_, 4);
  EXPECT_EQ(status_since(), 4u);
}

TEST_F(PeerStatusTest, PeerAsksForAllSendsAll) {
  controller_.status_acknowledged(peer_, 4);
  controller_.status_acknowledged(peer_, 0);
  EXPECT_EQ(status_since(), 0u);
}

}  // namespace saddleslip::coordination

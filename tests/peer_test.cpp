// Tests the exchange of status messages between peers, which are deltas to the acknowledged
// revision.
#include <gtest/gtest.h>

#include "coordination/controller.h"
#include "makers.h"

namespace saddleslip::coordination {

using testing::at_seconds;

class PeerStatusTest : public ::testing::Test {
 protected:
  PeerStatusTest() : settings_(testing::make_settings({"n1"})), controller_(settings_) {}

  // Returns whether the controller requests a full status when n1 sends the changes since
  // `base_revision`.
  bool requests_full_status(std::uint64_t incarnation, std::uint64_t base_revision,
                            std::uint64_t revision) {
    MemberStatus status;
    status.from = {peer_, base::Incarnation(incarnation)};
    status.base_revision = base_revision;
    status.revision = revision;
    return controller_.handle_peer_status(status, at_seconds(0)).needs_full_status;
  }
  std::uint64_t status_base_revision() {
    return controller_.status(peer_, at_seconds(0)).base_revision;
  }

  const base::Settings settings_;
  Controller controller_;
  const MemberId peer_{"n1"};
};

TEST_F(PeerStatusTest, DeltaBeforeAnyStatusRequestsAFullStatus) {
  EXPECT_TRUE(requests_full_status(7, 3, 5));
  EXPECT_FALSE(requests_full_status(7, 0, 5));
}

TEST_F(PeerStatusTest, DeltaToTheLastRevisionIsApplied) {
  EXPECT_FALSE(requests_full_status(7, 0, 5));
  EXPECT_FALSE(requests_full_status(7, 5, 6));
}

// A lost status message leaves a gap between two deltas.
TEST_F(PeerStatusTest, DeltaToAnotherRevisionRequestsAFullStatus) {
  EXPECT_FALSE(requests_full_status(7, 0, 5));
  EXPECT_FALSE(requests_full_status(7, 5, 6));
  EXPECT_TRUE(requests_full_status(7, 5, 8));
}

TEST_F(PeerStatusTest, DeltaOfANewIncarnationRequestsAFullStatus) {
  EXPECT_FALSE(requests_full_status(7, 0, 5));
  EXPECT_FALSE(requests_full_status(7, 5, 6));
  EXPECT_TRUE(requests_full_status(9, 6, 8));
  EXPECT_FALSE(requests_full_status(9, 0, 2));
}

// A peer to which offers could not be delivered is removed until it sends a full status.
TEST_F(PeerStatusTest, DeltaAfterLostOffersRequestsAFullStatus) {
  EXPECT_FALSE(requests_full_status(9, 0, 2));
  controller_.handle_undelivered_offers(peer_, {});
  EXPECT_TRUE(requests_full_status(9, 2, 3));
}

TEST_F(PeerStatusTest, PeerWithoutAcknowledgementIsSentAFullStatus) {
  EXPECT_EQ(status_base_revision(), 0u);
}

TEST_F(PeerStatusTest, PeerIsSentTheChangesSinceItsAcknowledgedRevision) {
  controller_.acknowledge_status(peer_, 4);
  EXPECT_EQ(status_base_revision(), 4u);
}

TEST_F(PeerStatusTest, PeerThatRequestsAFullStatusIsSentOne) {
  controller_.acknowledge_status(peer_, 4);
  controller_.acknowledge_status(peer_, 0);
  EXPECT_EQ(status_base_revision(), 0u);
}

}  // namespace saddleslip::coordination

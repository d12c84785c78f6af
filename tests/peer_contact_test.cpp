// Tests which other members count as reachable or lost.
#include "coordination/membership/peer_contact.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

namespace {

const base::MemberId kPeer("n1");
const double kTimeout = kPeerContactTimeout.count();

base::Time at(double seconds) {
  return base::after(base::Time(std::chrono::seconds(1000)), base::Seconds(seconds));
}

std::map<base::MemberId, protocol::Member> members() {
  return {{kPeer, {{kPeer, base::Incarnation(8)}, true, protocol::kFormat}}};
}

}  // namespace

TEST(PeerContact, MemberNeverReachedIsNotReachable) {
  const PeerContact contact;
  EXPECT_FALSE(contact.is_reachable(kPeer, at(0)));
  EXPECT_TRUE(contact.is_lost(kPeer, at(0)));
}

TEST(PeerContact, ReachedMemberIsReachableUntilTheTimeout) {
  PeerContact contact;
  contact.record_reached(kPeer, at(0));
  EXPECT_TRUE(contact.is_reachable(kPeer, at(kTimeout - 0.1)));
  EXPECT_FALSE(contact.is_lost(kPeer, at(kTimeout - 0.1)));
  EXPECT_FALSE(contact.is_reachable(kPeer, at(kTimeout + 0.1)));
  EXPECT_TRUE(contact.is_lost(kPeer, at(kTimeout + 0.1)));
}

TEST(PeerContact, NewMemberIsNotLostBeforeTheTimeout) {
  PeerContact contact;
  contact.update_members(members(), at(0));
  contact.update_members(members(), at(3));  // the join time does not change
  EXPECT_FALSE(contact.is_reachable(kPeer, at(1)));
  EXPECT_FALSE(contact.is_lost(kPeer, at(kTimeout - 0.1)));
  EXPECT_TRUE(contact.is_lost(kPeer, at(kTimeout + 0.1)));
}

TEST(PeerContact, MemberThatRejoinsCountsAsNew) {
  PeerContact contact;
  contact.update_members(members(), at(0));
  contact.update_members({}, at(10));
  contact.update_members(members(), at(11));
  EXPECT_FALSE(contact.is_lost(kPeer, at(12)));
}

}  // namespace saddleslip::coordination

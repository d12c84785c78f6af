// What siblings tell each other of their machines: only what changed, on top of what the other has.
#include <gtest/gtest.h>

#include "coordination/controller.h"

namespace saddleslip::coordination {

namespace {

base::Settings settings() {
  return base::parse_settings(R"({"member":"n0","serve_on":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
      "siblings":[{"member":"n1","address":"10.0.0.2:2"}],
      "endpoints":{"cloud":"10.0.0.1:3","state":"10.0.0.1:4"}})");
}

MemberStatus status(std::uint64_t incarnation, std::uint64_t since, std::uint64_t upto) {
  MemberStatus s;
  s.from = {MemberId("n1"), base::Incarnation(incarnation)};
  s.since = since;
  s.upto = upto;
  return s;
}

}  // namespace

// A telling that was lost, or that an earlier life was told, leaves a gap: what builds upon it is not
// taken for the whole, and all is asked for.
TEST(SiblingStatus, WhatBuildsUponWhatNeverCameIsAskedForAnew) {
  const auto s = settings();
  Controller c(s);
  const Time now(std::chrono::seconds(1000));
  EXPECT_TRUE(c.handle_peer_status(status(7, 3, 5), now).again);   // nothing was told before
  EXPECT_FALSE(c.handle_peer_status(status(7, 0, 5), now).again);  // all
  EXPECT_FALSE(c.handle_peer_status(status(7, 5, 6), now).again);
  EXPECT_TRUE(c.handle_peer_status(status(7, 5, 8), now).again);  // 6 was taken, not 5
  EXPECT_TRUE(c.handle_peer_status(status(9, 6, 8), now).again);  // another life counts anew
  EXPECT_FALSE(c.handle_peer_status(status(9, 0, 2), now).again);
  // One whose offers were lost is forgotten until it tells all again.
  c.offers_lost(MemberId("n1"), {});
  EXPECT_TRUE(c.handle_peer_status(status(9, 2, 3), now).again);
}

// What a sibling has not taken is told again; one that asks for all gets all.
TEST(SiblingStatus, TellsWhatTheOtherHasNotTaken) {
  const auto s = settings();
  Controller c(s);
  const Time now(std::chrono::seconds(1000));
  const MemberId other("n1");
  EXPECT_EQ(c.status(other, now).since, 0u);
  c.status_acknowledged(other, 4);
  EXPECT_EQ(c.status(other, now).since, 4u);
  c.status_acknowledged(other, 0);
  EXPECT_EQ(c.status(other, now).since, 0u);
}

}  // namespace saddleslip::coordination

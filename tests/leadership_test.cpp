// Tests whether this process is the leader, and how changes of leadership are reported.
#include "coordination/membership/leadership.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

class LeadershipTest : public ::testing::Test {
 protected:
  LeadershipTest() {
    authority_.begin_incarnation(self_, start_);
    authority_.record_lease_acquired(start_);
  }
  void store_leader(const protocol::ControllerIncarnation& leader) {
    const base::Version version(++last_version_);
    cache_.apply({protocol::kLeaderKey, to_json(leader), version}, start_);
  }
  base::Time at(double seconds) const { return base::after(start_, base::Seconds(seconds)); }

  const base::Settings settings_;
  const base::Time start_{std::chrono::seconds(1000)};
  const protocol::ControllerIncarnation self_{base::MemberId("n0"), base::Incarnation(7)};
  const protocol::ControllerIncarnation other_{base::MemberId("n1"), base::Incarnation(8)};
  std::uint64_t last_version_ = 0;
  storage::StateCache cache_{settings_};
  AuthorityLease authority_{settings_, cache_};
  Leadership leadership_{cache_, authority_};
};

TEST_F(LeadershipTest, LeaderNeedsTheRecordAndTheLease) {
  EXPECT_FALSE(leadership_.is_leader(at(1)));
  store_leader(self_);
  EXPECT_TRUE(leadership_.is_leader(at(1)));
  EXPECT_FALSE(leadership_.is_leader(at(settings_.tuning.member_ttl.count() + 1)));
  authority_.end_incarnation();
  EXPECT_FALSE(leadership_.is_leader(at(1)));
}

TEST_F(LeadershipTest, LeaderRecordOfAnEarlierIncarnationIsIgnored) {
  store_leader({self_.member, base::Incarnation(6)});
  EXPECT_FALSE(leadership_.is_leader(at(1)));
}

TEST_F(LeadershipTest, UpdateReturnsEachChangeOnce) {
  EXPECT_EQ(LeadershipChange::kNone, leadership_.update(at(0)));
  store_leader(self_);
  EXPECT_EQ(LeadershipChange::kGained, leadership_.update(at(1)));
  EXPECT_EQ(LeadershipChange::kNone, leadership_.update(at(2)));
  EXPECT_EQ(at(1), leadership_.leader_since());
  store_leader(other_);
  EXPECT_EQ(LeadershipChange::kLost, leadership_.update(at(3)));
}

}  // namespace saddleslip::coordination

// Tests until when the members of earlier views count as entitled to act.
#include "coordination/membership/former_authority.h"

#include <gtest/gtest.h>

#include "makers.h"

namespace saddleslip::coordination {

using base::MemberId;
using base::Seconds;
using protocol::ControllerIncarnation;
using testing::at_seconds;

class FormerAuthorityTest : public ::testing::Test {
 protected:
  FormerAuthorityTest() { settings_.tuning.member_ttl = Seconds(1); }

  // Stores the record of a member's incarnation; without a TTL, as earlier versions do.
  void join(const ControllerIncarnation& member, std::optional<Seconds> ttl) {
    protocol::Member record;
    record.incarnation = member;
    record.lease_ttl = ttl;
    members_[member.member] = record;
  }
  void install(const std::vector<ControllerIncarnation>& members, double seconds,
               bool follows_previous = true) {
    protocol::View view;
    view.members = members;
    former_.record_view(view, members_, follows_previous, at_seconds(seconds));
  }
  // Returns how long after the start the members of earlier views may act.
  double ends_after_s() const { return base::between(at_seconds(0), former_.ends_at()).count(); }
  double longest_s() const { return base::longest_member_ttl(settings_).count(); }

  base::Settings settings_ = testing::make_settings({"n1", "n2"});
  std::map<MemberId, protocol::Member> members_;
  FormerAuthority former_{settings_};
  const ControllerIncarnation self_{MemberId("n0"), base::Incarnation(1)};
  const ControllerIncarnation second_{MemberId("n1"), base::Incarnation(2)};
  const ControllerIncarnation third_{MemberId("n2"), base::Incarnation(3)};
};

// Guards against tasks that run twice: the own TTL, 1 s, does not bound the authority of others.
TEST_F(FormerAuthorityTest, LastsForTheLongestTtlThatThePreviousMembersStated) {
  join(self_, Seconds(1));
  join(second_, Seconds(7));
  join(third_, Seconds(2));
  install({self_, second_, third_}, 0);
  install({self_, third_}, 100);
  EXPECT_EQ(107, ends_after_s());
}

TEST_F(FormerAuthorityTest, OfAMemberThatStatesNoTtlLastsForTheLongestAllowed) {
  join(self_, Seconds(1));
  join(second_, {});
  install({self_, second_}, 0);
  install({self_}, 100);
  EXPECT_DOUBLE_EQ(100 + longest_s(), ends_after_s());
}

// The record of a member that has left may be deleted before the view is installed.
TEST_F(FormerAuthorityTest, OfAMemberWithoutARecordLastsForTheLongestAllowed) {
  join(self_, Seconds(1));
  install({self_, second_}, 0);
  install({self_}, 100);
  EXPECT_DOUBLE_EQ(100 + longest_s(), ends_after_s());
}

// The later incarnation may have another TTL than the one that is in the view.
TEST_F(FormerAuthorityTest, OfAnEarlierIncarnationIsNotTakenFromTheRecordOfALaterOne) {
  join(self_, Seconds(1));
  join({second_.member, base::Incarnation(9)}, Seconds(1));
  install({self_, second_}, 0);
  install({self_}, 100);
  EXPECT_DOUBLE_EQ(100 + longest_s(), ends_after_s());
}

TEST_F(FormerAuthorityTest, UnderUnknownViewsLastsForTheLongestAllowed) {
  join(self_, Seconds(1));
  install({self_}, 0, false);
  EXPECT_DOUBLE_EQ(longest_s(), ends_after_s());
  install({self_}, 100, true);
  EXPECT_EQ(101, ends_after_s());
  install({self_}, 200, false);
  EXPECT_DOUBLE_EQ(200 + longest_s(), ends_after_s());
}

TEST_F(FormerAuthorityTest, OfAMemberThatLeftEarlierIsNotShortenedByTheNextView) {
  join(self_, Seconds(1));
  join(second_, Seconds(8));
  join(third_, Seconds(1));
  install({self_, second_, third_}, 0);
  install({self_, third_}, 100);
  install({self_}, 101);
  EXPECT_EQ(108, ends_after_s());
}

}  // namespace saddleslip::coordination

// Tests which machines of other controllers this controller claims.
#include "coordination/membership/ownership_claims.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

class OwnershipClaimsTest : public ::testing::Test {
 protected:
  OwnershipClaimsTest() {
    authority_.begin_incarnation(self_, start_);
    store_view(1, other_.member);
    ownership_.install_view(start_);
  }
  // Stores a view in which an override assigns the machine to this member.
  void store_view(std::uint64_t epoch, const MemberId& owner) {
    View view{Epoch(epoch), {self_, other_}, {{machine_, owner}}};
    cache_.apply({protocol::kViewKey, to_json(view), base::Version(epoch)}, start_);
    cache_.advance_to(base::Revision(epoch));
  }
  // Applies a status of the owner that lists the machine, with its heartbeat overdue or in time.
  void report_status(bool heartbeat_overdue, double seconds) {
    protocol::MachineStatus machine;
    machine.id = machine_;
    machine.heartbeat_overdue = heartbeat_overdue;
    protocol::MemberStatus status;
    status.from = other_;
    status.revision = 1;
    status.machines = {machine};
    ASSERT_TRUE(peers_.update(status, at(seconds)));
  }
  void redirect(double seconds) { claims_.record_redirection(machine_, other_, at(seconds)); }
  bool is_claimed(double seconds) { return !claims_.claims(true, at(seconds)).empty(); }
  // Times count from 100 s after the override, when it no longer prevents a claim.
  base::Time at(double seconds) const { return base::after(start_, base::Seconds(100 + seconds)); }

  const base::Settings settings_;
  const base::Time start_{std::chrono::seconds(1000)};
  const ControllerIncarnation self_{MemberId("n0"), base::Incarnation(7)};
  const ControllerIncarnation other_{MemberId("n1"), base::Incarnation(8)};
  const MachineId machine_{"i-1"};
  storage::StateCache cache_{settings_};
  AuthorityLease authority_{settings_, cache_};
  Ownership ownership_{cache_, authority_};
  PeerRegistry peers_;
  FormerAuthority former_authority_{settings_};
  OwnershipClaims claims_{settings_, ownership_, former_authority_, peers_};
};

TEST_F(OwnershipClaimsTest, MachineWhoseHeartbeatIsLateAtItsOwnerIsClaimed) {
  redirect(0);
  report_status(true, 3);
  EXPECT_FALSE(is_claimed(3.5));  // one redirection is not enough
  redirect(2);
  EXPECT_FALSE(is_claimed(2.5));
  EXPECT_TRUE(is_claimed(3.5));
}

TEST_F(OwnershipClaimsTest, MachineWhoseHeartbeatsReachTheOwnerIsNotClaimed) {
  redirect(0);
  redirect(2);
  report_status(false, 3);
  EXPECT_FALSE(is_claimed(3.5));
}

TEST_F(OwnershipClaimsTest, UnreachableOwnerIsGivenItsTtlToLeaveTheView) {
  const double ttl = settings_.tuning.member_ttl.count();
  redirect(0);
  redirect(3);
  EXPECT_FALSE(is_claimed(ttl + 0.9));
  EXPECT_TRUE(is_claimed(ttl + 1.1));
}

// Guards against claims to machines of an owner that still has its authority: the own TTL is 5 s.
TEST_F(OwnershipClaimsTest, UnreachableOwnerIsGivenTheTtlThatItStates) {
  protocol::Member record;
  record.incarnation = other_;
  record.lease_ttl = base::Seconds(9);
  former_authority_.record_view(*cache_.view(), {{other_.member, record}}, true, start_);
  redirect(0);
  redirect(9);
  EXPECT_FALSE(is_claimed(9.9));
  EXPECT_TRUE(is_claimed(10.1));
}

TEST_F(OwnershipClaimsTest, RedirectionToAnEarlierIncarnationIsIgnored) {
  const ControllerIncarnation earlier{other_.member, base::Incarnation(5)};
  claims_.record_redirection(machine_, earlier, at(0));
  claims_.record_redirection(machine_, earlier, at(2));
  report_status(true, 3);
  EXPECT_FALSE(is_claimed(3.5));
}

TEST_F(OwnershipClaimsTest, RecentlyMovedMachineIsNotClaimed) {
  store_view(2, self_.member);
  ownership_.install_view(at(-70));
  store_view(3, other_.member);
  ownership_.install_view(at(-50));
  redirect(0);
  redirect(2);
  report_status(true, 3);
  EXPECT_FALSE(is_claimed(3.5));
  redirect(11);
  report_status(true, 11);
  EXPECT_TRUE(is_claimed(11));
}

TEST_F(OwnershipClaimsTest, OwnMachineIsNotClaimed) {
  redirect(0);
  redirect(2);
  report_status(true, 3);
  store_view(2, self_.member);
  EXPECT_FALSE(is_claimed(3.5));
}

TEST_F(OwnershipClaimsTest, RedirectionsAreDroppedWithoutAuthority) {
  redirect(0);
  redirect(2);
  report_status(true, 3);
  EXPECT_EQ(std::vector{machine_}, claims_.misdirected(at(3)));
  EXPECT_TRUE(claims_.claims(false, at(3.5)).empty());
  EXPECT_TRUE(claims_.misdirected(at(3.5)).empty());
  EXPECT_FALSE(is_claimed(3.5));
}

TEST_F(OwnershipClaimsTest, MisdirectedMachineIsReportedForFifteenSeconds) {
  redirect(0);
  EXPECT_EQ(std::vector{machine_}, claims_.misdirected(at(14.9)));
  EXPECT_TRUE(claims_.misdirected(at(15)).empty());
}

}  // namespace saddleslip::coordination

// Tests which changes of the membership data a member proposes to the state service.
#include "coordination/membership/membership_proposals.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

class MembershipProposalsTest : public ::testing::Test {
 protected:
  MembershipProposalsTest() {
    settings_.tuning.member_ttl = base::Seconds(100);
    authority_.begin_incarnation(self_, start_);
    authority_.record_lease_acquired(start_);
  }
  void store(const std::string& key, const protocol::Json& value) {
    cache_.apply({key, value, base::Version(++last_version_)}, start_);
  }
  void store_member(const ControllerIncarnation& member, bool reaches_others,
                    std::uint64_t format = protocol::kFormat) {
    store(protocol::member_key(member.member),
          to_json(protocol::Member{member, reaches_others, format}));
    contact_.update_members(cache_.members(), start_);
  }
  void store_view(std::vector<ControllerIncarnation> members) {
    store(protocol::kViewKey, to_json(View{Epoch(1), std::move(members), {}}));
  }
  void store_leader(const ControllerIncarnation& leader) {
    store(protocol::kLeaderKey, to_json(leader));
    leadership_.update(start_);
  }
  // Makes this process the leader of two members that reach each other, and stores all their
  // records.
  void lead_two_members() {
    contact_.record_reached(other_.member, start_);
    store_member(self_, true);
    store_member(other_, true);
    store_view({self_, other_});
    store_leader(self_);
    store(protocol::kFormatKey, protocol::kFormat);
  }
  // Returns the key of the proposal's only write; empty if nothing is proposed.
  std::string proposed_key(double seconds) const {
    const auto transaction = proposals_.propose(at(seconds), lease_);
    if (!transaction) return "";
    EXPECT_EQ(1u, transaction->writes.size());
    return transaction->writes.front().key;
  }
  std::optional<protocol::Transaction> view_proposal(
      const std::map<MachineId, ControllerIncarnation>& claims = {}) const {
    return proposals_.propose_view(claims, [](const MachineId&) { return false; });
  }
  base::Time at(double seconds) const { return base::after(start_, base::Seconds(seconds)); }

  base::Settings settings_;
  const base::Time start_{std::chrono::seconds(1000)};
  const base::LeaseId lease_{7};
  const ControllerIncarnation self_{MemberId("n0"), base::Incarnation(7)};
  const ControllerIncarnation other_{MemberId("n1"), base::Incarnation(8)};
  const ControllerIncarnation third_{MemberId("n2"), base::Incarnation(9)};
  const std::string own_key_ = protocol::member_key(self_.member);
  std::uint64_t last_version_ = 0;
  storage::StateCache cache_{settings_};
  AuthorityLease authority_{settings_, cache_};
  Leadership leadership_{cache_, authority_};
  PeerContact contact_;
  MembershipProposals proposals_{{settings_, cache_, authority_, leadership_, contact_}};
};

// Its successors count its authority with this TTL, not with their own.
TEST_F(MembershipProposalsTest, MemberRecordStatesTheTtlOfTheLease) {
  settings_.tuning.member_ttl = base::Seconds(2.5);
  const auto transaction = proposals_.member_record(lease_, false);
  ASSERT_EQ(1u, transaction.writes.size());
  const auto record = protocol::parse_member(*transaction.writes.front().value);
  ASSERT_TRUE(record);
  EXPECT_EQ(base::Seconds(2.5), record->lease_ttl);
}

TEST(MemberRecord, TtlThatNoLeaseCanHaveIsIgnored) {
  protocol::Json json = to_json(protocol::Member{{MemberId("n0"), base::Incarnation(7)}, true});
  EXPECT_FALSE(protocol::parse_member(json)->lease_ttl);
  for (const char* ttl : {"600001", "-1", "18446744073709551615", "1.5", "\"9\"", "null"}) {
    json["ttl_ms"] = protocol::Json::parse(ttl);
    ASSERT_TRUE(protocol::parse_member(json)) << ttl;
    EXPECT_FALSE(protocol::parse_member(json)->lease_ttl) << ttl;
  }
}

TEST_F(MembershipProposalsTest, NothingIsProposedWithoutALease) {
  EXPECT_EQ("", proposed_key(200));
  authority_.end_incarnation();
  EXPECT_EQ("", proposed_key(1));
}

TEST_F(MembershipProposalsTest, MissingOwnRecordIsWrittenFirst) {
  EXPECT_EQ(own_key_, proposed_key(1));
  store_member({self_.member, base::Incarnation(6)}, false);
  EXPECT_EQ(own_key_, proposed_key(1));
  store_member(self_, false);
  EXPECT_EQ(protocol::kLeaderKey, proposed_key(1));
}

TEST_F(MembershipProposalsTest, OwnRecordSaysWhetherOthersAreReached) {
  store_member(self_, false);
  store_member(other_, false);
  store_leader(other_);
  contact_.record_reached(other_.member, at(1));
  EXPECT_EQ(own_key_, proposed_key(1));
  store_member(self_, true);
  EXPECT_EQ("", proposed_key(2));
  EXPECT_EQ(own_key_, proposed_key(10));  // a member was last reached at 1 s
}

TEST_F(MembershipProposalsTest, EarlierIncarnationIsReplacedInTheView) {
  store_member(self_, false);
  store_view({other_, {self_.member, base::Incarnation(6)}});
  const auto transaction = proposals_.propose(at(1), lease_);
  ASSERT_TRUE(transaction);
  EXPECT_EQ((std::map<std::string, base::Version>{
                {protocol::kViewKey, cache_.version(protocol::kViewKey)},
                {own_key_, cache_.version(own_key_)}}),
            transaction->preconditions);
  const auto view = protocol::parse_view(*transaction->writes.front().value);
  ASSERT_TRUE(view);
  EXPECT_EQ((std::vector{other_, self_}), view->members);
  EXPECT_EQ(Epoch(2), view->epoch);
}

TEST_F(MembershipProposalsTest, LeadershipIsTakenWhenTheLeaderHasANewIncarnation) {
  store_member(self_, false);
  store_member(other_, false);
  store_leader(other_);
  EXPECT_EQ("", proposed_key(1));
  store_member({other_.member, base::Incarnation(18)}, false);
  EXPECT_EQ(protocol::kLeaderKey, proposed_key(1));
}

TEST_F(MembershipProposalsTest, IsolatedMemberDoesNotTakeLeadership) {
  store_member(self_, false);
  store_member(other_, true);
  EXPECT_EQ("", proposed_key(1));
  // If no member reaches any other, any leader is better than none.
  store_member(other_, false);
  EXPECT_EQ(protocol::kLeaderKey, proposed_key(1));
}

TEST_F(MembershipProposalsTest, IsolatedLeaderGivesUpLeadership) {
  store_member(self_, false);
  store_member(other_, true);
  store_member(third_, true);
  store(protocol::kFormatKey, protocol::kFormat);
  store_leader(self_);
  EXPECT_EQ("", proposed_key(3));
  const auto transaction = proposals_.propose(at(5), lease_);
  ASSERT_TRUE(transaction);
  EXPECT_EQ(protocol::kLeaderKey, transaction->writes.front().key);
  EXPECT_FALSE(transaction->writes.front().value);  // removed
}

TEST_F(MembershipProposalsTest, FormatIsUpgradedOnceAllConfiguredMembersReadIt) {
  settings_.peers = {{other_.member, "a", {}}};
  store_member(self_, false);
  store_leader(self_);
  EXPECT_EQ("", proposed_key(1));
  store_member(other_, false, protocol::kFormat - 1);
  EXPECT_EQ("", proposed_key(1));
  store_member(other_, false);
  EXPECT_EQ(protocol::kFormatKey, proposed_key(1));
}

TEST_F(MembershipProposalsTest, UpToDateViewIsNotProposedAgain) {
  lead_two_members();
  EXPECT_EQ("", proposed_key(1));
  EXPECT_FALSE(view_proposal());
}

TEST_F(MembershipProposalsTest, LostMemberIsExcludedUntilItIsReachedAgain) {
  lead_two_members();
  store_member(third_, true);
  store_view({self_, other_, third_});
  proposals_.exclude_lost_members(at(3));
  EXPECT_FALSE(view_proposal());
  contact_.record_reached(other_.member, at(5));
  proposals_.exclude_lost_members(at(5));
  const auto transaction = view_proposal();
  ASSERT_TRUE(transaction);
  EXPECT_TRUE(transaction->preconditions.contains(protocol::kLeaderKey));
  EXPECT_EQ((std::vector{self_, other_}),
            protocol::parse_view(*transaction->writes.front().value)->members);
  contact_.record_reached(third_.member, at(6));
  proposals_.exclude_lost_members(at(6));
  EXPECT_FALSE(view_proposal());
}

TEST_F(MembershipProposalsTest, LeaderThatReachesNoMemberExcludesNone) {
  lead_two_members();
  proposals_.exclude_lost_members(at(10));
  EXPECT_FALSE(view_proposal());
}

TEST_F(MembershipProposalsTest, ClaimedMachineMovesAndItsClaimIsRemoved) {
  lead_two_members();
  const MachineId machine("i-1");
  store(protocol::claim_key(machine), to_json(other_));
  const auto transaction = view_proposal(cache_.ownership_claims());
  ASSERT_TRUE(transaction);
  ASSERT_EQ(2u, transaction->writes.size());
  EXPECT_EQ(other_.member,
            protocol::parse_view(*transaction->writes[0].value)->overrides.at(machine));
  EXPECT_EQ(protocol::claim_key(machine), transaction->writes[1].key);
  EXPECT_TRUE(transaction->preconditions.contains(protocol::claim_key(machine)));
}

TEST_F(MembershipProposalsTest, ClaimsAreStoredOnlyWhileTheLeaderIsUnreachable) {
  EXPECT_FALSE(proposals_.needs_stored_claims(at(1)));  // no leader
  store_leader(other_);
  EXPECT_TRUE(proposals_.needs_stored_claims(at(1)));
  contact_.record_reached(other_.member, at(1));
  EXPECT_FALSE(proposals_.needs_stored_claims(at(2)));
  store_leader(self_);
  EXPECT_FALSE(proposals_.needs_stored_claims(at(10)));
}

TEST_F(MembershipProposalsTest, StoredClaimIsNotProposedAgain) {
  const MachineId first("i-1"), second("i-2");
  store(protocol::claim_key(first), to_json(other_));
  EXPECT_FALSE(proposals_.propose_claims({first}, base::Version(3)));
  const auto transaction = proposals_.propose_claims({first, second}, base::Version(3));
  ASSERT_TRUE(transaction);
  EXPECT_EQ((std::map<std::string, base::Version>{{protocol::kViewKey, base::Version(3)},
                                                  {protocol::claim_key(second), base::Version(0)}}),
            transaction->preconditions);
  ASSERT_EQ(1u, transaction->writes.size());
  EXPECT_EQ(protocol::claim_key(second), transaction->writes.front().key);
}

}  // namespace saddleslip::coordination

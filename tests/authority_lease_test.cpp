// Tests when a controller has a lease, and when it has the authority to answer workers and send
// them commands.
#include "coordination/membership/authority_lease.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

class AuthorityLeaseTest : public ::testing::Test {
 protected:
  AuthorityLeaseTest() { authority_.begin_incarnation(self_, start_); }
  // Puts a view of these members into the cache.
  void store_view(std::vector<protocol::ControllerIncarnation> members, base::Version version) {
    protocol::View view;
    view.epoch = base::Epoch(version.get());
    view.members = std::move(members);
    cache_.apply({protocol::kViewKey, to_json(view), version}, start_);
  }
  void renew(double sent) {
    authority_.record_lease_renewed(at(sent), authority_.cache_generation());
  }
  bool has_authority(double seconds, base::Version installed) const {
    return authority_.has_authority(at(seconds), installed);
  }
  base::Time at(double seconds) const { return base::after(start_, base::Seconds(seconds)); }

  const base::Settings settings_;
  const base::Time start_{std::chrono::seconds(1000)};
  const protocol::ControllerIncarnation self_{base::MemberId("n0"), base::Incarnation(7)};
  const base::Version view_{3};
  storage::StateCache cache_{settings_};
  AuthorityLease authority_{settings_, cache_};
};

TEST_F(AuthorityLeaseTest, LeaseAcquiredEndsOneTtlAfterTheCallWasSent) {
  const double ttl = settings_.tuning.member_ttl.count();
  EXPECT_FALSE(authority_.has_lease(start_));
  authority_.record_lease_acquired(at(2));
  EXPECT_TRUE(authority_.has_lease(at(1 + ttl)));
  EXPECT_FALSE(authority_.has_lease(at(2 + ttl)));
  // A call that was sent earlier but answered later does not shorten the lease.
  authority_.record_lease_acquired(at(1));
  EXPECT_TRUE(authority_.has_lease(at(1.5 + ttl)));
}

TEST_F(AuthorityLeaseTest, LeaseAloneGivesNoAuthority) {
  store_view({self_}, view_);
  authority_.record_lease_acquired(start_);
  EXPECT_FALSE(has_authority(1, view_));
  renew(0);
  EXPECT_TRUE(has_authority(1, view_));
}

TEST_F(AuthorityLeaseTest, ViewThatIsNotInstalledGivesNoAuthority) {
  store_view({self_}, view_);
  renew(0);
  EXPECT_FALSE(has_authority(1, base::Version(0)));
  EXPECT_FALSE(has_authority(1, base::Version(2)));
}

TEST_F(AuthorityLeaseTest, ViewNewerThanTheVerificationNeedsARenewal) {
  store_view({self_}, view_);
  renew(0);
  const base::Version newer(5);
  store_view({self_}, newer);
  EXPECT_FALSE(has_authority(1, view_));
  EXPECT_FALSE(has_authority(1, newer));
  renew(1);
  EXPECT_TRUE(has_authority(1, newer));
}

TEST_F(AuthorityLeaseTest, ViewThatNamesAnotherIncarnationGivesNoAuthority) {
  store_view({{self_.member, base::Incarnation(6)}}, view_);
  renew(0);
  EXPECT_FALSE(has_authority(1, view_));
}

TEST_F(AuthorityLeaseTest, CacheReplacedDuringVerificationVoidsTheRenewal) {
  store_view({self_}, view_);
  const std::uint64_t generation = authority_.cache_generation();
  authority_.cache_replaced();
  authority_.record_lease_renewed(start_, generation);
  EXPECT_FALSE(has_authority(1, view_));
}

TEST_F(AuthorityLeaseTest, EndedIncarnationHasNeitherLeaseNorAuthority) {
  store_view({self_}, view_);
  authority_.record_lease_acquired(start_);
  renew(0);
  authority_.end_incarnation();
  EXPECT_FALSE(authority_.has_incarnation());
  EXPECT_FALSE(authority_.has_lease(at(1)));
  EXPECT_FALSE(has_authority(1, view_));
}

}  // namespace saddleslip::coordination

// Tests when a controller has the authority to answer workers and send them commands.
#include <gtest/gtest.h>

#include "coordination/controller.h"
#include "makers.h"

namespace saddleslip::coordination {

using testing::at_seconds;

// Fixture with a controller that is a member of the current view.
class AuthorityTest : public ::testing::Test {
 protected:
  AuthorityTest() : settings_(testing::make_settings()), controller_(settings_) {
    const ControllerIncarnation incarnation{MemberId("n0"), base::Incarnation(7)};
    const Time start = at_seconds(0);
    controller_.begin_incarnation(incarnation, start);
    View view;
    view.epoch = Epoch(1);
    view.members.push_back(incarnation);
    controller_.cache().apply({protocol::kViewKey, to_json(view), Version(3)}, start);
    controller_.cache().advance_to(base::Revision(3));
    controller_.install_view(start);
  }
  double ttl() const { return settings_.tuning.member_ttl.count(); }
  bool has_authority_at(double s) const { return controller_.has_authority(at_seconds(s)); }
  // Renews the lease by a call that was sent at this time and after which the cache was verified.
  void renew(double sent) {
    controller_.record_lease_acquired(at_seconds(0));
    controller_.record_lease_renewed(at_seconds(sent), controller_.cache_generation());
  }

  const base::Settings settings_;
  Controller controller_;
};

// Without the verification at a renewal, the state cache may be older than the lease.
TEST_F(AuthorityTest, LeaseWithoutACurrentCacheGivesNoAuthority) {
  EXPECT_FALSE(has_authority_at(0));
  controller_.record_lease_acquired(at_seconds(0));
  EXPECT_FALSE(has_authority_at(0));
}

TEST_F(AuthorityTest, LeaseRenewedGivesAuthorityForOneTtl) {
  renew(0);
  EXPECT_TRUE(has_authority_at(ttl() * 0.99));
  EXPECT_FALSE(has_authority_at(ttl()));
}

TEST_F(AuthorityTest, AuthorityCountsFromWhenTheRenewalWasSent) {
  renew(0);
  renew(1);
  EXPECT_TRUE(has_authority_at(ttl()));
  EXPECT_FALSE(has_authority_at(ttl() + 1));
}

TEST_F(AuthorityTest, CacheReplacedEndsAuthorityUntilTheNextRenewal) {
  controller_.record_lease_renewed(at_seconds(0), controller_.cache_generation());
  EXPECT_TRUE(has_authority_at(1));
  controller_.cache_replaced();
  EXPECT_FALSE(has_authority_at(1));
  controller_.record_lease_renewed(at_seconds(1.5), controller_.cache_generation());
  EXPECT_TRUE(has_authority_at(2));
}

// A cache that is replaced while it is being verified does not count as verified.
TEST_F(AuthorityTest, CacheReplacedDuringARenewalGivesNoAuthority) {
  const std::uint64_t generation = controller_.cache_generation();
  controller_.cache_replaced();
  controller_.record_lease_renewed(at_seconds(0), generation);
  EXPECT_FALSE(has_authority_at(1));
  controller_.record_lease_renewed(at_seconds(0), controller_.cache_generation());
  EXPECT_TRUE(has_authority_at(1));
}

}  // namespace saddleslip::coordination

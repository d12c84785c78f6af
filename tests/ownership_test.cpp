// Tests which controller owns a machine, and when a view is installed.
#include "coordination/membership/ownership.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

class OwnershipTest : public ::testing::Test {
 protected:
  OwnershipTest() { authority_.begin_incarnation(self_, start_); }
  // Stores a view of both members in the cache, and advances the watch to its version.
  void store_view(std::uint64_t epoch, const std::map<MachineId, MemberId>& overrides = {}) {
    View view;
    view.epoch = Epoch(epoch);
    view.members = {self_, other_};
    view.overrides = overrides;
    const base::Version version(10 * epoch);
    cache_.apply({protocol::kViewKey, to_json(view), version}, start_);
    cache_.advance_to(base::Revision(version.get()));
  }
  base::Time at(double seconds) const { return base::after(start_, base::Seconds(seconds)); }

  const base::Settings settings_;
  const base::Time start_{std::chrono::seconds(1000)};
  const ControllerIncarnation self_{MemberId("n0"), base::Incarnation(7)};
  const ControllerIncarnation other_{MemberId("n1"), base::Incarnation(8)};
  const MachineId machine_{"i-1"};
  storage::StateCache cache_{settings_};
  AuthorityLease authority_{settings_, cache_};
  Ownership ownership_{cache_, authority_};
};

TEST_F(OwnershipTest, NoViewMeansNoOwner) {
  EXPECT_EQ(nullptr, ownership_.owner(machine_));
  EXPECT_FALSE(ownership_.owns(machine_));
  EXPECT_FALSE(ownership_.install_view(start_));
}

TEST_F(OwnershipTest, OwnerFollowsTheViewAndItsOverrides) {
  store_view(1, {{machine_, self_.member}});
  EXPECT_EQ(self_, *ownership_.owner(machine_));
  EXPECT_TRUE(ownership_.owns(machine_));
  store_view(2, {{machine_, other_.member}});
  EXPECT_EQ(other_, *ownership_.owner(machine_));
  EXPECT_FALSE(ownership_.owns(machine_));
}

TEST_F(OwnershipTest, EndedIncarnationOwnsNothing) {
  store_view(1, {{machine_, self_.member}});
  authority_.end_incarnation();
  EXPECT_FALSE(ownership_.owns(machine_));
}

TEST_F(OwnershipTest, ViewIsInstalledOnce) {
  store_view(1);
  const auto installed = ownership_.install_view(at(1));
  ASSERT_TRUE(installed);
  EXPECT_EQ(first_fencing_token(Epoch(1)), installed->base_fencing_token);
  EXPECT_EQ(base::Version(10), ownership_.installed_view());
  EXPECT_EQ(at(1), ownership_.view_installed_at());
  EXPECT_FALSE(ownership_.install_view(at(2)));
}

// A new owner needs everything that was committed before the view.
TEST_F(OwnershipTest, ViewAheadOfTheWatchIsNotInstalled) {
  View view;
  view.epoch = Epoch(1);
  view.members = {self_};
  cache_.apply({protocol::kViewKey, to_json(view), base::Version(10)}, start_);
  cache_.advance_to(base::Revision(9));
  EXPECT_FALSE(ownership_.install_view(start_));
  cache_.advance_to(base::Revision(10));
  EXPECT_TRUE(ownership_.install_view(start_));
}

TEST_F(OwnershipTest, SkippedViewIsReported) {
  store_view(4);
  EXPECT_FALSE(ownership_.install_view(start_)->follows_previous);
  store_view(5);
  EXPECT_TRUE(ownership_.install_view(start_)->follows_previous);
  store_view(7);
  EXPECT_FALSE(ownership_.install_view(start_)->follows_previous);
}

TEST_F(OwnershipTest, OverrideKeepsItsTimeWhileItNamesTheSameMember) {
  store_view(1, {{machine_, self_.member}});
  EXPECT_FALSE(ownership_.overridden_since(machine_));  // not installed yet
  ownership_.install_view(at(1));
  EXPECT_EQ(at(1), ownership_.overridden_since(machine_));
  store_view(2, {{machine_, self_.member}});
  ownership_.install_view(at(2));
  EXPECT_EQ(at(1), ownership_.overridden_since(machine_));
  store_view(3, {{machine_, other_.member}});
  ownership_.install_view(at(3));
  EXPECT_EQ(at(3), ownership_.overridden_since(machine_));
  store_view(4);
  ownership_.install_view(at(4));
  EXPECT_FALSE(ownership_.overridden_since(machine_));
}

}  // namespace saddleslip::coordination

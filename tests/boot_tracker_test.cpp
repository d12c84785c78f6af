// Whether a machine that is late can still be counted on.
#include "coordination/fleet/boot_tracker.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

class BootTrackerTest : public ::testing::Test {
 protected:
  bool likely(double age, std::size_t overdue, double at = 0) const {
    return tracker_.is_likely(kind_, Seconds(age), usual_, {overdue}, now(at));
  }
  bool given_up(double age, double at = 0) const {
    return tracker_.is_given_up(kind_, Seconds(age), usual_, now(at));
  }
  Time now(double s) const { return base::after(Time(std::chrono::seconds(1000)), Seconds(s)); }

  BootTracker tracker_;
  const MachineKind kind_{"small", "a", true};
  const Seconds usual_{20};
};

TEST_F(BootTrackerTest, OneLateMachineIsNotCountedOn) {
  EXPECT_TRUE(likely(49, 0));
  EXPECT_FALSE(likely(50, 1));
  EXPECT_FALSE(given_up(99));
  EXPECT_TRUE(given_up(100));
}

// All are late: a second fleet must not be rented for the same work.
TEST_F(BootTrackerTest, WhereMostAreLateTheyAreCountedOn) {
  EXPECT_TRUE(likely(60, 5));
  EXPECT_FALSE(likely(100, 5));  // until they are given up
}

// Others of the kind came up meanwhile: those that are late are lost.
TEST_F(BootTrackerTest, WhereOthersCameUpTheLateOnesAreNotCountedOn) {
  for (int i = 0; i < 5; ++i) tracker_.record_boot(kind_, Seconds(20), now(0));
  EXPECT_FALSE(likely(60, 2));
}

// Lately the kind took long: that is how long one is waited for.
TEST_F(BootTrackerTest, ALateMachineIsJudgedByWhatItsKindHasShown) {
  tracker_.record_boot(kind_, Seconds(90), now(0));
  EXPECT_TRUE(likely(100, 1));
  EXPECT_FALSE(likely(115, 1));
  EXPECT_FALSE(given_up(130));
  EXPECT_TRUE(given_up(136));
  // ... while that is recent.
  EXPECT_FALSE(likely(100, 1, 200));
  EXPECT_TRUE(given_up(100, 200));
}

TEST_F(BootTrackerTest, OtherKindsDoNotCount) {
  tracker_.record_boot({"small", "a", false}, Seconds(90), now(0));
  EXPECT_FALSE(likely(100, 1));
}

}  // namespace saddleslip::coordination

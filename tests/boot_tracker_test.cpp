// Tests of whether an overdue booting machine still counts as future capacity.
#include "coordination/fleet/boot_tracker.h"

#include <gtest/gtest.h>

#include "makers.h"

namespace saddleslip::coordination {

using testing::at_seconds;

class BootTrackerTest : public ::testing::Test {
 protected:
  bool is_likely_to_boot(double age, std::size_t overdue, double now = 0) const {
    return tracker_.is_likely_to_boot(kind_, Seconds(age), usual_boot_time_, {overdue},
                                      at_seconds(now));
  }
  bool has_failed_to_boot(double age, double now = 0) const {
    return tracker_.has_failed_to_boot(kind_, Seconds(age), usual_boot_time_, at_seconds(now));
  }
  void record_boot(double seconds) { tracker_.record_boot(kind_, Seconds(seconds), at_seconds(0)); }

  BootTracker tracker_;
  const MachineKind kind_{"small", "a", true};
  const Seconds usual_boot_time_{20};
};

TEST_F(BootTrackerTest, SingleOverdueMachineIsNotCounted) {
  EXPECT_TRUE(is_likely_to_boot(49, 0));
  EXPECT_FALSE(is_likely_to_boot(50, 1));
}

TEST_F(BootTrackerTest, MachineBootingFiveTimesTheUsualTimeHasFailed) {
  EXPECT_FALSE(has_failed_to_boot(99));
  EXPECT_TRUE(has_failed_to_boot(100));
}

// If all machines are slow to boot, a second fleet must not be rented for the same work.
TEST_F(BootTrackerTest, ManyOverdueMachinesCountUntilTheyHaveFailed) {
  EXPECT_TRUE(is_likely_to_boot(60, 5));
  EXPECT_FALSE(is_likely_to_boot(100, 5));
}

TEST_F(BootTrackerTest, OverdueMachinesAreNotCountedWhenOthersOfTheKindBooted) {
  for (int i = 0; i < 5; ++i) record_boot(20);
  EXPECT_FALSE(is_likely_to_boot(60, 2));
}

TEST_F(BootTrackerTest, RecentSlowBootExtendsTheWaitForItsKind) {
  record_boot(90);
  EXPECT_TRUE(is_likely_to_boot(100, 1));
  EXPECT_FALSE(is_likely_to_boot(115, 1));
  EXPECT_FALSE(has_failed_to_boot(130));
  EXPECT_TRUE(has_failed_to_boot(136));
}

TEST_F(BootTrackerTest, OldSlowBootDoesNotExtendTheWait) {
  record_boot(90);
  EXPECT_FALSE(is_likely_to_boot(100, 1, 200));
  EXPECT_TRUE(has_failed_to_boot(100, 200));
}

TEST_F(BootTrackerTest, SlowBootOfAnotherKindDoesNotExtendTheWait) {
  tracker_.record_boot({"small", "a", false}, Seconds(90), at_seconds(0));
  EXPECT_FALSE(is_likely_to_boot(100, 1));
}

}  // namespace saddleslip::coordination

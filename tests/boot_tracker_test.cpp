// Whether a rented machine that is late can still be counted on.
#include "coordination/fleet/boot_tracker.h"

#include <gtest/gtest.h>

#include "makers.h"

namespace saddleslip::coordination {

using testing::at_seconds;

class BootTrackerTest : public ::testing::Test {
 protected:
  bool likely(double age, std::size_t overdue, double now = 0) const {
    return tracker_.is_likely_to_boot(kind_, Seconds(age), usual_, {overdue}, at_seconds(now));
  }
  bool given_up(double age, double now = 0) const {
    return tracker_.has_failed_to_boot(kind_, Seconds(age), usual_, at_seconds(now));
  }
  void record_boot(double seconds) { tracker_.record_boot(kind_, Seconds(seconds), at_seconds(0)); }

  BootTracker tracker_;
  const MachineKind kind_{"small", "a", true};
  const Seconds usual_{20};
};

TEST_F(BootTrackerTest, OneMachineOverdueIsNotLikely) {
  EXPECT_TRUE(likely(49, 0));
  EXPECT_FALSE(likely(50, 1));
}

TEST_F(BootTrackerTest, OneMachineLateByFiveTimesTheUsualTimeIsGivenUp) {
  EXPECT_FALSE(given_up(99));
  EXPECT_TRUE(given_up(100));
}

// All are late: a second fleet must not be rented for the same work.
TEST_F(BootTrackerTest, MostMachinesOverdueAreLikelyUntilTheyAreGivenUp) {
  EXPECT_TRUE(likely(60, 5));
  EXPECT_FALSE(likely(100, 5));
}

TEST_F(BootTrackerTest, OthersOfTheKindCameUpOverdueOnesAreNotLikely) {
  for (int i = 0; i < 5; ++i) record_boot(20);
  EXPECT_FALSE(likely(60, 2));
}

TEST_F(BootTrackerTest, KindBootedSlowlyOfLateIsWaitedForThatLong) {
  record_boot(90);
  EXPECT_TRUE(likely(100, 1));
  EXPECT_FALSE(likely(115, 1));
  EXPECT_FALSE(given_up(130));
  EXPECT_TRUE(given_up(136));
}

TEST_F(BootTrackerTest, KindBootedSlowlyLongAgoIsJudgedByTheUsualTime) {
  record_boot(90);
  EXPECT_FALSE(likely(100, 1, 200));
  EXPECT_TRUE(given_up(100, 200));
}

TEST_F(BootTrackerTest, OtherKindBootedSlowlyDoesNotCount) {
  tracker_.record_boot({"small", "a", false}, Seconds(90), at_seconds(0));
  EXPECT_FALSE(likely(100, 1));
}

}  // namespace saddleslip::coordination

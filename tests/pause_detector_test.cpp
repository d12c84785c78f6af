// Tests the detection of pauses of this process.
#include "coordination/membership/pause_detector.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

namespace {

base::Time at(double seconds) {
  return base::after(base::Time(std::chrono::seconds(1000)), base::Seconds(seconds));
}

}  // namespace

TEST(PauseDetector, ShortGapIsNoPause) {
  PauseDetector detector;
  detector.record_activity(at(0));
  detector.record_activity(at(2.4));
  EXPECT_EQ(base::Time{}, detector.resumed_at());
}

TEST(PauseDetector, LongGapIsAPauseThatEndsWithTheNextActivity) {
  PauseDetector detector;
  detector.record_activity(at(0));
  detector.record_activity(at(3));
  detector.record_activity(at(4));
  EXPECT_EQ(at(3), detector.resumed_at());
}

TEST(PauseDetector, EarlierTimeIsNoPause) {
  PauseDetector detector;
  detector.record_activity(at(2));
  detector.record_activity(at(0));
  detector.record_activity(at(4));
  EXPECT_EQ(base::Time{}, detector.resumed_at());
}

}  // namespace saddleslip::coordination

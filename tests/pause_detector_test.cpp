// That this process was stopped for a while.
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

TEST(PauseDetector, LongGapIsAPauseThatEndsNow) {
  PauseDetector detector;
  detector.record_activity(at(0));
  detector.record_activity(at(3));
  detector.record_activity(at(4));
  EXPECT_EQ(at(3), detector.resumed_at());
}

TEST(PauseDetector, EarlierTimeDoesNotMakeAPause) {
  PauseDetector detector;
  detector.record_activity(at(2));
  detector.record_activity(at(0));
  detector.record_activity(at(4));
  EXPECT_EQ(base::Time{}, detector.resumed_at());
}

}  // namespace saddleslip::coordination

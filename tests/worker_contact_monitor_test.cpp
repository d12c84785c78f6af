// Tests whether a controller counts as receiving the heartbeats of its machines.
#include "coordination/membership/worker_contact_monitor.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

using protocol::WorkerContact;

class WorkerContactMonitorTest : public ::testing::Test {
 protected:
  // Runs a round with authority.
  void round(const OverdueCounts& counts, double seconds) {
    monitor_.update_authority(true, at(seconds));
    monitor_.update_counts(counts, at(seconds));
  }
  WorkerContact contact(const OverdueCounts& counts, double seconds) const {
    return monitor_.contact(counts, true, at(seconds));
  }
  base::Time at(double seconds) const {
    return base::after(base::Time(std::chrono::seconds(1000)), base::Seconds(seconds));
  }

  PauseDetector pauses_;
  WorkerContactMonitor monitor_{pauses_};
};

TEST_F(WorkerContactMonitorTest, ContactIsUnknownWithoutAuthority) {
  EXPECT_EQ(WorkerContact::kUnknown, contact({10, 0}, 0));  // no round yet
  round({10, 0}, 0);
  EXPECT_EQ(WorkerContact::kGood, contact({10, 0}, 1));
  EXPECT_EQ(WorkerContact::kUnknown, monitor_.contact({10, 0}, false, at(1)));
}

TEST_F(WorkerContactMonitorTest, ContactIsGoodWhileAtMostAFifthIsOverdue) {
  round({10, 2}, 0);
  EXPECT_EQ(WorkerContact::kGood, contact({10, 2}, 1));
  EXPECT_EQ(WorkerContact::kUnknown, contact({10, 3}, 1));
  EXPECT_EQ(WorkerContact::kUnknown, contact({0, 0}, 1));
}

TEST_F(WorkerContactMonitorTest, ContactIsLostOnceMostAreOverdueForASecond) {
  round({10, 8}, 0);
  EXPECT_EQ(WorkerContact::kUnknown, contact({10, 8}, 1));
  EXPECT_EQ(WorkerContact::kLost, contact({10, 8}, 1.1));
}

TEST_F(WorkerContactMonitorTest, OneSilentMachineIsNoLossOfContact) {
  round({1, 1}, 0);
  EXPECT_EQ(WorkerContact::kUnknown, contact({1, 1}, 5));
}

TEST_F(WorkerContactMonitorTest, HeartbeatsOrLossOfAuthorityRestartTheDelay) {
  round({10, 10}, 0);
  round({10, 0}, 0.9);
  round({10, 10}, 1);
  EXPECT_EQ(WorkerContact::kUnknown, contact({10, 10}, 1.5));
  monitor_.update_authority(false, at(1.6));
  round({10, 10}, 1.7);
  EXPECT_EQ(WorkerContact::kUnknown, contact({10, 10}, 2.5));
}

TEST_F(WorkerContactMonitorTest, ListeningStartsWithAuthorityAndAfterAPause) {
  EXPECT_EQ(base::Time{}, monitor_.listening_since());
  monitor_.update_authority(true, at(1));
  monitor_.update_authority(true, at(2));
  EXPECT_EQ(at(1), monitor_.listening_since());
  pauses_.record_activity(at(2));
  pauses_.record_activity(at(10));
  EXPECT_EQ(at(10), monitor_.listening_since());
}

}  // namespace saddleslip::coordination

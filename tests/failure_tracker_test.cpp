// Which machine, or which job, is to blame for failed tasks.
#include "coordination/scheduling/failure_tracker.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

using base::JobId;
using base::MachineId;
using base::Seconds;
using base::Time;

class FailureTrackerTest : public ::testing::Test {
 protected:
  Time at(double s) const { return base::after(Time(std::chrono::seconds(1000)), Seconds(s)); }
  void fail(const JobId& job, const MachineId& machine, double s, double ran = 0) {
    tracker_.record_failure(job, machine, Seconds(ran), at(s));
  }

  FailureTracker tracker_;
  const JobId broken_{"broken"}, sound_{"sound"}, other_{"other"}, third_{"third"};
  const MachineId m1_{"m1"}, m2_{"m2"}, m3_{"m3"};
};

// A job that was submitted with a mistake must not get machines returned, however often it fails.
TEST_F(FailureTrackerTest, NoMachineIsBlamedForAJobThatNeverSucceeds) {
  for (int i = 0; i < 20; ++i) {
    for (const MachineId& machine : {m1_, m2_, m3_}) fail(broken_, machine, i);
  }
  for (const MachineId& machine : {m1_, m2_, m3_}) EXPECT_FALSE(tracker_.is_faulty(machine));
  EXPECT_TRUE(tracker_.is_crash_looping(broken_));
}

// A faulty machine is found by a job that succeeds elsewhere, also with a broken one beside it.
TEST_F(FailureTrackerTest, AMachineThatFailsASoundJobIsFaulty) {
  fail(broken_, m1_, 0);
  fail(broken_, m2_, 0);
  fail(sound_, m1_, 0);
  fail(sound_, m1_, 0);
  EXPECT_FALSE(tracker_.is_faulty(m1_));  // nothing is known of the job yet
  tracker_.mark_sound(sound_);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
  EXPECT_FALSE(tracker_.is_faulty(m2_));
  // The evidence outlasts the job, which may be over by then.
  tracker_.forget_job(sound_);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
}

TEST_F(FailureTrackerTest, ASuccessClearsTheMachine) {
  fail(sound_, m1_, 0);
  tracker_.record_success(m1_);
  fail(sound_, m1_, 1);
  tracker_.mark_sound(sound_);
  tracker_.record_success(m1_);
  EXPECT_FALSE(tracker_.is_faulty(m1_));
  fail(sound_, m1_, 2);
  EXPECT_FALSE(tracker_.is_faulty(m1_));
  fail(sound_, m1_, 3);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
}

// Where nothing succeeds elsewhere: several unrelated jobs that failed on this machine alone.
TEST_F(FailureTrackerTest, SeveralJobsThatFailOnOneMachineAloneTellAgainstIt) {
  fail(sound_, m1_, 0);
  fail(other_, m1_, 0);
  fail(broken_, m1_, 0);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
  // One of them fails elsewhere too: two are left.
  fail(broken_, m2_, 1);
  EXPECT_FALSE(tracker_.is_faulty(m1_));
  fail(third_, m1_, 2);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
}

// Retries of a job that fails everywhere must not take room and writes from others.
TEST_F(FailureTrackerTest, RetriesBackOffUpToABound) {
  fail(broken_, m1_, 0);
  EXPECT_TRUE(tracker_.may_retry(broken_, at(0)));  // one machine alone proves nothing
  fail(broken_, m2_, 0);
  fail(broken_, m3_, 0.1);  // started together with the one before: no further failure
  EXPECT_FALSE(tracker_.may_retry(broken_, at(1.9)));
  EXPECT_TRUE(tracker_.may_retry(broken_, at(2)));
  double t = 2;
  for (int i = 0; i < 10; ++i) {
    fail(broken_, m1_, t);
    t += 60;
    EXPECT_TRUE(tracker_.may_retry(broken_, at(t)));
  }
  EXPECT_FALSE(tracker_.may_retry(broken_, at(t - 1)));
  tracker_.mark_sound(broken_);
  EXPECT_TRUE(tracker_.may_retry(broken_, at(t - 60)));
}

// A task that fails only after a while runs for that while on a healthy machine as well.
TEST_F(FailureTrackerTest, AJobIsSoundOnlyIfItRunsLongerThanWhatFailed) {
  fail(broken_, m1_, 0, 20);
  EXPECT_GT(tracker_.long_run(broken_), Seconds(20));
  EXPECT_GT(tracker_.long_run(sound_), Seconds(1));
}

TEST_F(FailureTrackerTest, KeepsAwayFromTheMachineForAWhile) {
  fail(sound_, m1_, 0);
  EXPECT_TRUE(tracker_.avoids(sound_, m1_, at(10)));
  EXPECT_FALSE(tracker_.avoids(sound_, m2_, at(10)));
  EXPECT_FALSE(tracker_.avoids(sound_, m1_, at(40)));
}

}  // namespace saddleslip::coordination

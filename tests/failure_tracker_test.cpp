// Which machine, or which job, is to blame for failed tasks.
#include "coordination/scheduling/failure_tracker.h"

#include <gtest/gtest.h>

#include "makers.h"

namespace saddleslip::coordination {

using base::JobId;
using base::MachineId;
using base::Seconds;
using testing::at_seconds;

class FailureTrackerTest : public ::testing::Test {
 protected:
  void fail(const JobId& job, const MachineId& machine, double s, double ran = 0) {
    tracker_.record_failure(job, machine, Seconds(ran), at_seconds(s));
  }
  void fail_on_all_machines(const JobId& job, int times) {
    for (int i = 0; i < times; ++i) {
      for (const MachineId& machine : {m1_, m2_, m3_}) fail(job, machine, i);
    }
  }
  // The job fails on three machines; the third one was started together with the second one.
  void fail_on_three_machines(const JobId& job) {
    fail(job, m1_, 0);
    fail(job, m2_, 0);
    fail(job, m3_, 0.1);
  }

  // The sound job fails on the first machine alone, the broken one there and elsewhere.
  void fail_sound_job_beside_broken_one() {
    fail(broken_, m1_, 0);
    fail(broken_, m2_, 0);
    fail(sound_, m1_, 0);
    fail(sound_, m1_, 0);
  }

  FailureTracker tracker_;
  const JobId broken_{"broken"}, sound_{"sound"}, other_{"other"}, third_{"third"};
  const MachineId m1_{"m1"}, m2_{"m2"}, m3_{"m3"};
};

// A job that was submitted with a mistake must not get machines returned, however often it fails.
TEST_F(FailureTrackerTest, JobFailsOnEveryMachineNoMachineIsFaulty) {
  fail_on_all_machines(broken_, 20);
  for (const MachineId& machine : {m1_, m2_, m3_}) EXPECT_FALSE(tracker_.is_faulty(machine));
}

TEST_F(FailureTrackerTest, JobFailsOnEveryMachineIsCrashLooping) {
  fail_on_all_machines(broken_, 20);
  EXPECT_TRUE(tracker_.is_crash_looping(broken_));
}

// A faulty machine is found by a job that succeeds elsewhere, also with a broken one beside it.
TEST_F(FailureTrackerTest, SoundJobFailsOnOneMachineMachineIsFaulty) {
  fail_sound_job_beside_broken_one();
  EXPECT_FALSE(tracker_.is_faulty(m1_));  // nothing is known of the job yet
  tracker_.mark_known_good(sound_);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
  EXPECT_FALSE(tracker_.is_faulty(m2_));
}

TEST_F(FailureTrackerTest, SoundJobIsForgottenEvidenceAgainstTheMachineStays) {
  fail_sound_job_beside_broken_one();
  tracker_.mark_known_good(sound_);
  tracker_.forget_job(sound_);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
}

TEST_F(FailureTrackerTest, SuccessOnTheMachineClearsEarlierFailures) {
  fail(sound_, m1_, 0);
  tracker_.record_success(m1_);
  fail(sound_, m1_, 1);
  tracker_.mark_known_good(sound_);
  tracker_.record_success(m1_);
  EXPECT_FALSE(tracker_.is_faulty(m1_));
  fail(sound_, m1_, 2);
  EXPECT_FALSE(tracker_.is_faulty(m1_));
  fail(sound_, m1_, 3);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
}

// Where nothing succeeds elsewhere: several unrelated jobs that failed on this machine alone.
TEST_F(FailureTrackerTest, ThreeJobsFailOnOneMachineAloneMachineIsFaulty) {
  for (const JobId& job : {sound_, other_, broken_}) fail(job, m1_, 0);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
}

TEST_F(FailureTrackerTest, OneOfThreeJobsFailsElsewhereTooItNoLongerCounts) {
  for (const JobId& job : {sound_, other_, broken_}) fail(job, m1_, 0);
  fail(broken_, m2_, 1);
  EXPECT_FALSE(tracker_.is_faulty(m1_));
  fail(third_, m1_, 2);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
}

TEST_F(FailureTrackerTest, JobFailsOnOneMachineMayBeRetriedAtOnce) {
  fail(broken_, m1_, 0);
  EXPECT_TRUE(tracker_.may_retry(broken_, at_seconds(0)));
}

TEST_F(FailureTrackerTest, JobFailsOnSeveralMachinesRetryIsDelayed) {
  fail_on_three_machines(broken_);
  EXPECT_FALSE(tracker_.may_retry(broken_, at_seconds(1.9)));
  EXPECT_TRUE(tracker_.may_retry(broken_, at_seconds(2)));
}

// Retries of a job that fails everywhere must not take capacity and writes from others.
TEST_F(FailureTrackerTest, JobGoesOnFailingDelayGrowsUpToABound) {
  fail_on_three_machines(broken_);
  double t = 2;
  for (int i = 0; i < 10; ++i) {
    fail(broken_, m1_, t);
    t += 60;
    EXPECT_TRUE(tracker_.may_retry(broken_, at_seconds(t)));
  }
  EXPECT_FALSE(tracker_.may_retry(broken_, at_seconds(t - 1)));
  tracker_.mark_known_good(broken_);
  EXPECT_TRUE(tracker_.may_retry(broken_, at_seconds(t - 60)));
}

// A task that fails only after a while runs for that while on a healthy machine as well.
TEST_F(FailureTrackerTest, JobFailsAfterAWhileIsSoundOnlyIfItRunsLonger) {
  fail(broken_, m1_, 0, 20);
  EXPECT_GT(tracker_.known_good_run_time(broken_), Seconds(20));
  EXPECT_GT(tracker_.known_good_run_time(sound_), Seconds(1));
}

TEST_F(FailureTrackerTest, JobFailedOnAMachineAvoidsItForAWhile) {
  fail(sound_, m1_, 0);
  EXPECT_TRUE(tracker_.must_avoid(sound_, m1_, at_seconds(10)));
  EXPECT_FALSE(tracker_.must_avoid(sound_, m2_, at_seconds(10)));
  EXPECT_FALSE(tracker_.must_avoid(sound_, m1_, at_seconds(40)));
}

}  // namespace saddleslip::coordination

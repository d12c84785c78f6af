// Tests of the attribution of task failures to machines and jobs.
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
  void fail(const JobId& job, const MachineId& machine, double seconds, double ran = 0) {
    tracker_.record_failure(job, machine, Seconds(ran), at_seconds(seconds));
  }
  void fail_on_all_machines(const JobId& job, int times) {
    for (int second = 0; second < times; ++second) {
      for (const MachineId& machine : {m1_, m2_, m3_}) fail(job, machine, second);
    }
  }
  // The job fails on three machines. The last failure falls into the backoff after the second one,
  // as when the two tasks were started together.
  void fail_on_three_machines(const JobId& job) {
    fail(job, m1_, 0);
    fail(job, m2_, 0);
    fail(job, m3_, 0.1);
  }

  // The good job fails on the first machine only, the broken job on the first and the second
  // machine.
  void fail_good_and_broken_job() {
    fail(broken_job_, m1_, 0);
    fail(broken_job_, m2_, 0);
    fail(good_job_, m1_, 0);
    fail(good_job_, m1_, 0);
  }

  FailureTracker tracker_;
  const JobId broken_job_{"broken"}, good_job_{"sound"}, other_job_{"other"}, third_job_{"third"};
  const MachineId m1_{"m1"}, m2_{"m2"}, m3_{"m3"};
};

// A broken job must not cause machines to be returned, however often it fails.
TEST_F(FailureTrackerTest, JobFailingOnEveryMachineMakesNoMachineFaulty) {
  fail_on_all_machines(broken_job_, 20);
  for (const MachineId& machine : {m1_, m2_, m3_}) EXPECT_FALSE(tracker_.is_faulty(machine));
}

TEST_F(FailureTrackerTest, JobFailingOnEveryMachineIsCrashLooping) {
  fail_on_all_machines(broken_job_, 20);
  EXPECT_TRUE(tracker_.is_crash_looping(broken_job_));
}

// A machine is faulty if it fails a job that succeeds on other machines, even if a broken job fails
// there too.
TEST_F(FailureTrackerTest, FailuresOfKnownGoodJobMakeMachineFaulty) {
  fail_good_and_broken_job();
  EXPECT_FALSE(tracker_.is_faulty(m1_));  // the job is not known to be good yet
  tracker_.mark_known_good(good_job_);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
  EXPECT_FALSE(tracker_.is_faulty(m2_));
}

TEST_F(FailureTrackerTest, FailuresStillCountAfterKnownGoodJobIsForgotten) {
  fail_good_and_broken_job();
  tracker_.mark_known_good(good_job_);
  tracker_.forget_job(good_job_);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
}

TEST_F(FailureTrackerTest, SuccessOnMachineClearsEarlierFailures) {
  fail(good_job_, m1_, 0);
  tracker_.record_success(m1_);
  fail(good_job_, m1_, 1);
  tracker_.mark_known_good(good_job_);
  tracker_.record_success(m1_);
  EXPECT_FALSE(tracker_.is_faulty(m1_));
  fail(good_job_, m1_, 2);
  EXPECT_FALSE(tracker_.is_faulty(m1_));
  fail(good_job_, m1_, 3);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
}

// A machine is also faulty if several unrelated jobs failed only there, even if none of them
// succeeded elsewhere.
TEST_F(FailureTrackerTest, ThreeJobsFailingOnOneMachineOnlyMakeItFaulty) {
  for (const JobId& job : {good_job_, other_job_, broken_job_}) fail(job, m1_, 0);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
}

TEST_F(FailureTrackerTest, JobThatAlsoFailsElsewhereDoesNotCountAgainstMachine) {
  for (const JobId& job : {good_job_, other_job_, broken_job_}) fail(job, m1_, 0);
  fail(broken_job_, m2_, 1);
  EXPECT_FALSE(tracker_.is_faulty(m1_));
  fail(third_job_, m1_, 2);
  EXPECT_TRUE(tracker_.is_faulty(m1_));
}

TEST_F(FailureTrackerTest, JobFailingOnOneMachineMayBeRetriedAtOnce) {
  fail(broken_job_, m1_, 0);
  EXPECT_TRUE(tracker_.may_retry(broken_job_, at_seconds(0)));
}

TEST_F(FailureTrackerTest, RetryOfJobFailingOnSeveralMachinesIsDelayed) {
  fail_on_three_machines(broken_job_);
  EXPECT_FALSE(tracker_.may_retry(broken_job_, at_seconds(1.9)));
  EXPECT_TRUE(tracker_.may_retry(broken_job_, at_seconds(2)));
}

// Retries of a crash-looping job must not take capacity and writes from other jobs.
TEST_F(FailureTrackerTest, RetryDelayGrowsUpToALimit) {
  fail_on_three_machines(broken_job_);
  double seconds = 2;
  for (int i = 0; i < 10; ++i) {
    fail(broken_job_, m1_, seconds);
    seconds += 60;
    EXPECT_TRUE(tracker_.may_retry(broken_job_, at_seconds(seconds)));
  }
  EXPECT_FALSE(tracker_.may_retry(broken_job_, at_seconds(seconds - 1)));
  tracker_.mark_known_good(broken_job_);
  EXPECT_TRUE(tracker_.may_retry(broken_job_, at_seconds(seconds - 60)));
}

// If a job's tasks fail only after some time, a run of that length does not show that the job is
// good.
TEST_F(FailureTrackerTest, KnownGoodRunTimeExceedsLongestFailedRun) {
  fail(broken_job_, m1_, 0, 20);
  EXPECT_GT(tracker_.known_good_run_time(broken_job_), Seconds(20));
  EXPECT_GT(tracker_.known_good_run_time(good_job_), Seconds(1));
}

TEST_F(FailureTrackerTest, JobAvoidsMachineForSomeTimeAfterFailure) {
  fail(good_job_, m1_, 0);
  EXPECT_TRUE(tracker_.must_avoid(good_job_, m1_, at_seconds(10)));
  EXPECT_FALSE(tracker_.must_avoid(good_job_, m2_, at_seconds(10)));
  EXPECT_FALSE(tracker_.must_avoid(good_job_, m1_, at_seconds(40)));
}

}  // namespace saddleslip::coordination

// Tests for the rule checks of the simulated cluster: each check must report a violation of its
// rule. A check that never fails would not verify anything.
#include "simulation/rule_checks.h"

#include <gtest/gtest.h>

#include "simulation/simulated_cluster.h"

namespace saddleslip::testing {

// A simulated cluster with two controllers and one machine in each of the zones a and b.
class RuleChecksTest : public ::testing::Test {
 protected:
  RuleChecksTest() {
    cluster_.controllers.start_all(2);
    cluster_.workers.add("m1", "big", "a", false, 0);
    cluster_.workers.add("m2", "big", "b", false, 0);
  }

  // Adds a job that users have submitted, without starting its tasks.
  SimulatedJob& add_job(TaskNumber tasks = 2) {
    SimulatedJob job;
    job.spec.id = job_id_;
    job.spec.team = "t";
    job.spec.tasks = tasks;
    job.spec.request.amounts = {1, 0, 1};
    return cluster_.jobs.add(job);
  }
  TaskId task(TaskNumber number) const { return {job_id_, number}; }
  // Makes the machine run the task, without any check.
  void set_running(const std::string& machine, TaskNumber number) {
    cluster_.workers.at(machine).tasks[task(number)] = {{1, "running", "", 0, 100}};
  }
  // Runs the rule checks for the start of the task on the machine.
  void check_start(const std::string& machine, TaskNumber number) {
    cluster_.rules.on_task_started(cluster_.workers.at(machine), task(number));
  }
  // Advances the simulated clock.
  void advance_clock(double seconds) {
    const double until = cluster_.clock.seconds() + seconds;
    while (cluster_.clock.seconds() < until) cluster_.clock.advance();
  }
  // Returns all reported violations, one per line.
  std::string failures() const {
    std::string text;
    for (const std::string& line : cluster_.failures.lines()) text += line + "\n";
    return text;
  }
  // Returns whether a violation with this text is reported.
  bool is_reported(const std::string& violation) const {
    return failures().find(violation) != std::string::npos;
  }

  SimulatedCluster cluster_;
  const JobId job_id_{"run-000001"};
};

TEST_F(RuleChecksTest, NoViolationIsReportedIfAllRulesAreKept) {
  add_job();
  set_running("m1", 0);
  check_start("m2", 1);
  cluster_.rules.on_start_commanded(0, task(1));
  cluster_.rules.check_running_tasks();
  EXPECT_EQ(failures(), "");
  EXPECT_EQ(cluster_.rules.start_count(), 1u);
}

TEST_F(RuleChecksTest, StartOfTaskOfUnknownJobIsReported) {
  check_start("m1", 0);
  EXPECT_TRUE(is_reported("invented: a task of an unknown job starts"));
}

TEST_F(RuleChecksTest, StartOfTaskThatRunsOnAnotherMachineIsReported) {
  add_job();
  set_running("m2", 0);
  check_start("m1", 0);
  EXPECT_TRUE(is_reported("ran_twice: run-000001/0 starts on m1, is on m2"));
}

TEST_F(RuleChecksTest, StartBeforeDependencyIsDoneIsReported) {
  add_job().spec.dependencies = {JobId("run-000002")};
  check_start("m1", 0);
  EXPECT_TRUE(is_reported("too_early: run-000001/0"));
}

TEST_F(RuleChecksTest, StartOutsideTheRequestedZoneIsReported) {
  add_job().spec.zone = "b";
  check_start("m1", 0);
  EXPECT_TRUE(is_reported("wrong_place: run-000001/0"));
}

TEST_F(RuleChecksTest, OneZoneJobStartingInSecondZoneIsReported) {
  add_job().spec.one_zone = true;
  set_running("m2", 0);
  check_start("m1", 1);
  EXPECT_TRUE(is_reported("wrong_place: run-000001/1 in another zone"));
}

TEST_F(RuleChecksTest, SpreadJobWithMoreThanHalfOfItsTasksInOneZoneIsReported) {
  add_job().spec.spread = true;
  set_running("m1", 0);
  check_start("m1", 1);
  EXPECT_TRUE(is_reported("wrong_place: too many of run-000001 in a"));
}

TEST_F(RuleChecksTest, CommandToStartTaskOfCancelledJobIsReported) {
  add_job().cancelled_at = 0;
  advance_clock(0.1);
  cluster_.rules.on_start_commanded(0, task(0));
  EXPECT_TRUE(is_reported("ran_cancelled: n0 commands a start of run-000001"));
}

// A controller that is cut off cannot learn of the cancellation, so it may command starts until its
// authority ends.
TEST_F(RuleChecksTest, CommandOfIsolatedControllerToStartCancelledJobIsReportedAfterItsTtl) {
  add_job().cancelled_at = 0;
  cluster_.network.cut("n0", "state");
  cluster_.network.cut("n0", "n1");
  advance_clock(cluster_.controllers.member_ttl(0) / 2);
  cluster_.rules.on_start_commanded(0, task(0));
  EXPECT_EQ(failures(), "");
  advance_clock(cluster_.controllers.member_ttl(0));
  cluster_.rules.on_start_commanded(0, task(0));
  EXPECT_TRUE(is_reported("ran_cancelled: n0 commands a start of run-000001"));
}

TEST_F(RuleChecksTest, RunningTaskOfCancelledJobIsReportedAfterTheTimeLimit) {
  add_job().cancelled_at = 0;
  set_running("m1", 0);
  advance_clock(cluster_.config.cancel_s - 1);
  cluster_.rules.check_running_tasks();
  EXPECT_EQ(failures(), "");
  advance_clock(2);
  cluster_.rules.check_running_tasks();
  EXPECT_TRUE(is_reported("ran_cancelled: run-000001/0"));
}

TEST_F(RuleChecksTest, TeamAboveItsQuotaIsReported) {
  add_job();
  cluster_.config.teams = {{"t", 0, 1}};
  set_running("m1", 0);
  cluster_.rules.check_running_tasks();
  EXPECT_EQ(failures(), "");
  set_running("m2", 1);
  cluster_.rules.check_running_tasks();
  EXPECT_TRUE(is_reported("quota: team t uses 2"));
}

TEST_F(RuleChecksTest, DoneStatusBeforeAllTasksAreDoneIsReported) {
  cluster_.rules.check_answer(add_job(), "done");
  EXPECT_TRUE(is_reported("not_done: run-000001"));
}

TEST_F(RuleChecksTest, CancelledStatusWithoutCancellationIsReported) {
  cluster_.rules.check_answer(add_job(), "withdrawn");
  EXPECT_TRUE(is_reported("went_back: run-000001 cancelled by nobody"));
}

TEST_F(RuleChecksTest, ChangeOfFinalStatusIsReported) {
  SimulatedJob& job = add_job(1);
  job.completed_tasks = {0};
  cluster_.rules.check_answer(job, "done");
  EXPECT_EQ(failures(), "");
  cluster_.rules.check_answer(job, "running");
  EXPECT_TRUE(is_reported("went_back: run-000001 from done to running"));
}

}  // namespace saddleslip::testing

// The rules of the protocol, each seen to fail where it is broken: a check that never fails would
// show nothing.
#include "simulation/rule_checks.h"

#include <gtest/gtest.h>

#include "simulation/simulated_cluster.h"

namespace saddleslip::testing {

class RuleChecksTest : public ::testing::Test {
 protected:
  RuleChecksTest() {
    cluster_.controllers.start_all(2);
    cluster_.workers.add("m1", "big", "a", false, 0);
    cluster_.workers.add("m2", "big", "b", false, 0);
  }

  SimulatedJob& add_job(TaskNo tasks = 2) {
    SimulatedJob job;
    job.spec.id = id_;
    job.spec.team = "t";
    job.spec.tasks = tasks;
    job.spec.request.v = {1, 0, 1};
    return cluster_.jobs.add(job);
  }
  TaskId task(TaskNo no) const { return {id_, no}; }
  void set_running(const std::string& machine, TaskNo no) {
    cluster_.workers.at(machine).tasks[task(no)] = {{1, "running", "", 0, 100}};
  }
  void start(const std::string& machine, TaskNo no) {
    cluster_.rules.on_task_started(cluster_.workers.at(machine), task(no));
  }
  void pass(double seconds) {
    const double until = cluster_.clock.seconds() + seconds;
    while (cluster_.clock.seconds() < until) cluster_.clock.advance();
  }
  // All failures, in one text.
  std::string failures() const {
    std::string text;
    for (const std::string& line : cluster_.failures.lines()) text += line + "\n";
    return text;
  }
  bool failed(const std::string& what) const { return failures().find(what) != std::string::npos; }

  SimulatedCluster cluster_;
  const JobId id_{"run-000001"};
};

TEST_F(RuleChecksTest, AllRulesKeptReportsNothing) {
  add_job();
  set_running("m1", 0);
  start("m2", 1);
  cluster_.rules.on_start_commanded(0, task(1));
  cluster_.rules.check_running_tasks();
  EXPECT_EQ(failures(), "");
  EXPECT_EQ(cluster_.rules.starts(), 1u);
}

TEST_F(RuleChecksTest, TaskOfUnknownJobStartsIsReported) {
  start("m1", 0);
  EXPECT_TRUE(failed("invented: a task of an unknown job starts"));
}

TEST_F(RuleChecksTest, TaskRunsElsewhereIsReported) {
  add_job();
  set_running("m2", 0);
  start("m1", 0);
  EXPECT_TRUE(failed("ran_twice: run-000001/0 starts on m1, is on m2"));
}

TEST_F(RuleChecksTest, DependencyIsNotDoneIsReported) {
  add_job().spec.dependencies = {JobId("run-000002")};
  start("m1", 0);
  EXPECT_TRUE(failed("too_early: run-000001/0"));
}

TEST_F(RuleChecksTest, MachineInAnotherZoneThanRequestedIsReported) {
  add_job().spec.zone = "b";
  start("m1", 0);
  EXPECT_TRUE(failed("wrong_place: run-000001/0"));
}

TEST_F(RuleChecksTest, JobOfOneZoneStartsInASecondOneIsReported) {
  add_job().spec.one_zone = true;
  set_running("m2", 0);
  start("m1", 1);
  EXPECT_TRUE(failed("wrong_place: run-000001/1 in another zone"));
}

TEST_F(RuleChecksTest, SpreadJobHasMoreThanHalfInAZoneIsReported) {
  add_job().spec.spread = true;
  set_running("m1", 0);
  start("m1", 1);
  EXPECT_TRUE(failed("wrong_place: too many of run-000001 in a"));
}

TEST_F(RuleChecksTest, StartOfCancelledJobIsCommandedIsReported) {
  add_job().cancelled_at = 0;
  pass(0.1);
  cluster_.rules.on_start_commanded(0, task(0));
  EXPECT_TRUE(failed("ran_cancelled: n0 commands a start of run-000001"));
}

// Nobody can tell it: it has until its authority ends.
TEST_F(RuleChecksTest, IsolatedControllerCommandsStartOfCancelledJobIsReportedAfterItsTtl) {
  add_job().cancelled_at = 0;
  cluster_.network.cut("n0", "state");
  cluster_.network.cut("n0", "n1");
  pass(cluster_.controllers.member_ttl(0) / 2);
  cluster_.rules.on_start_commanded(0, task(0));
  EXPECT_EQ(failures(), "");
  pass(cluster_.controllers.member_ttl(0));
  cluster_.rules.on_start_commanded(0, task(0));
  EXPECT_TRUE(failed("ran_cancelled: n0 commands a start of run-000001"));
}

TEST_F(RuleChecksTest, CancelledTaskStillRunsIsReportedAfterTheAllowedTime) {
  add_job().cancelled_at = 0;
  set_running("m1", 0);
  pass(cluster_.config.cancel_s - 1);
  cluster_.rules.check_running_tasks();
  EXPECT_EQ(failures(), "");
  pass(2);
  cluster_.rules.check_running_tasks();
  EXPECT_TRUE(failed("ran_cancelled: run-000001/0"));
}

TEST_F(RuleChecksTest, TeamUsesMoreThanItsQuotaIsReported) {
  add_job();
  cluster_.config.teams = {{"t", 0, 1}};
  set_running("m1", 0);
  cluster_.rules.check_running_tasks();
  EXPECT_EQ(failures(), "");
  set_running("m2", 1);
  cluster_.rules.check_running_tasks();
  EXPECT_TRUE(failed("quota: team t uses 2"));
}

TEST_F(RuleChecksTest, DoneIsToldBeforeAllTasksAreIsReported) {
  cluster_.rules.check_answer(add_job(), "done");
  EXPECT_TRUE(failed("not_done: run-000001"));
}

TEST_F(RuleChecksTest, CancelledIsToldThoughNobodyAskedIsReported) {
  cluster_.rules.check_answer(add_job(), "withdrawn");
  EXPECT_TRUE(failed("went_back: run-000001 cancelled by nobody"));
}

TEST_F(RuleChecksTest, FinalAnswerChangesIsReported) {
  SimulatedJob& job = add_job(1);
  job.done = {0};
  cluster_.rules.check_answer(job, "done");
  EXPECT_EQ(failures(), "");
  cluster_.rules.check_answer(job, "running");
  EXPECT_TRUE(failed("went_back: run-000001 from done to running"));
}

}  // namespace saddleslip::testing

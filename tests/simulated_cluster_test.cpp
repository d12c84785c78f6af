// Tests for the checks that the scenario player applies to a whole scenario: each check must
// report a scenario that violates it. A check that never fails would not verify anything.
#include <gtest/gtest.h>

#include "base/log.h"
#include "simulation/scenario_player.h"

namespace saddleslip::testing {

namespace {

// Plays the scenario and returns its failures, one per line.
std::string failures_of(const std::string& scenario) {
  if (!std::getenv("LOG_LEVEL")) spdlog::set_level(spdlog::level::off);
  ScenarioPlayer player;
  std::string text;
  for (const std::string& failure : player.play(scenario)) text += failure + "\n";
  return text;
}

// Returns whether playing the scenario fails with this text.
bool fails_with(const std::string& scenario, const std::string& failure) {
  return failures_of(scenario).find(failure) != std::string::npos;
}

// Start of a scenario: two controllers and one machine, which are ready after 8 s.
const std::string kClusterSetup = "controllers 2\nmachine m1 small a\nrun 8\n";

}  // namespace

TEST(WholeDayChecks, JobWithoutAnsweredRequestFor75SecondsIsReported) {
  const std::string scenario =
      kClusterSetup + "submit run-000001 service\nrun 8\nunasked n0\nunasked n1\n";
  EXPECT_EQ(failures_of(scenario + "run 70\n"), "");
  EXPECT_TRUE(fails_with(scenario + "run 80\n", "forgotten: no question about run-000001"));
}

// Time in which no controller can answer, as the state service is unavailable, does not count.
TEST(WholeDayChecks, JobWithoutAnsweredRequestDuringOutageIsNotReported) {
  EXPECT_EQ(failures_of(kClusterSetup + "submit run-000001 service\nrun 8\n"
                                        "state down\nrun 100\nstate up\nrun 40\n"),
            "");
}

TEST(WholeDayChecks, ClassWithLessThanHalfOfItsJobsStartedIsReported) {
  EXPECT_TRUE(fails_with(kClusterSetup + "submit run-000001 array class=x run=2\n"
                                         "submit run-000002 array class=x type=big\n"
                                         "submit run-000003 array class=x type=big\nrun 250\n",
                         "served of class x: 1 of 3"));
}

TEST(WholeDayChecks, TeamWithLessThanHalfOfItsJobsStartedIsReported) {
  EXPECT_TRUE(fails_with("team u 0 0\n" + kClusterSetup +
                             "submit run-000001 array class=x run=2\n"
                             "submit run-000002 array class=x run=2\n"
                             "submit run-000003 array class=x team=u type=big\nrun 250\n",
                         "served of team u: 0 of 1"));
}

TEST(WholeDayChecks, LargestJobOfClassNotStartedWithinFourMinutesIsReported) {
  const std::string scenario = kClusterSetup +
                               "submit run-000001 array class=x run=2\n"
                               "submit run-000002 array class=x run=2\n"
                               "submit run-000003 array class=x tasks=9 type=big\n";
  EXPECT_EQ(failures_of(scenario + "run 230\n"), "");  // not due yet
  EXPECT_TRUE(fails_with(scenario + "run 250\n", "served of the largest of class x: 0 of 1"));
}

// A job that starts after the time limit is reported, even if it then runs to completion.
TEST(WholeDayChecks, LargestJobOfClassStartedAfterFourMinutesIsReported) {
  EXPECT_TRUE(fails_with(kClusterSetup +
                             "submit run-000001 array class=x run=2\n"
                             "submit run-000002 array class=x run=2\n"
                             "submit run-000003 array class=x tasks=9 type=big run=2\nrun 245\n"
                             "machine m2 big a\nrun 60\n",
                         "served of the largest of class x: 0 of 1"));
}

// A tombstone that no controller wrote states that a job is done, so a job that depends on it
// starts.
TEST(WholeDayChecks, StartBeforeDependencyIsDoneIsReported) {
  const std::string scenario =
      "controllers 2\nmachine m1 big a\nrun 8\n"
      "submit run-000001 array run=30\nsubmit run-000002 array follows=run-000001\nrun 5\n";
  EXPECT_EQ(failures_of(scenario), "");
  EXPECT_TRUE(
      fails_with(scenario + "unasked n0\nunasked n1\nput s/f/run-000001 {\"f\":\"d\"}\nrun 8\n",
                 "too_early: run-000002/0"));
}

// The job record lacks the dependencies, as if written by a version that does not support them.
TEST(WholeDayChecks, QueuedStatusAfterDependencyWasCancelledIsReported) {
  const std::string scenario = kClusterSetup +
                               "submit run-000001 array run=300\n"
                               "submit run-000002 array type=big follows=run-000001\nrun 5\n";
  const std::string without_dependencies =
      R"(put s/j/run-000002 {"at":1000,"s":{"name_id":"run-000002","herd":"c","drover":"t",)"
      R"("gait":"array","rank":"standard","strides":1,"cores":1,"gpus":0,"memory_gb":1,)"
      R"("breeds":["big"],"same_place":false,"apart":false,"strays":false,"brand":"img",)"
      R"("image_gb":0,"ride_s":0,"waypoint_s":0,"unload_s":0}})"
      "\ncrash n0 1\ncrash n1 1\nrun 10\n";
  const std::string cancelled = "cancel run-000001\nrun 40\n";
  EXPECT_EQ(failures_of(scenario + cancelled), "");
  EXPECT_TRUE(fails_with(scenario + without_dependencies + cancelled,
                         "orphaned: run-000002 is called queued"));
}

TEST(ScenarioPlayer, UnknownCommandIsReportedWithHelp) {
  EXPECT_TRUE(fails_with("controllers 1\nunheard of\n", "unknown command: unheard of"));
  EXPECT_TRUE(fails_with("unheard of\n", "machine ID TYPE ZONE [spot]: adds a machine"));
  EXPECT_TRUE(fails_with("expect unheard\n", "unknown expectation: unheard"));
}

TEST(ScenarioPlayer, ScenarioInWhichNothingRanIsReported) {
  EXPECT_TRUE(fails_with(kClusterSetup, "nothing_ran"));
}

}  // namespace saddleslip::testing

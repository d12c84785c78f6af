// Tests of what the loopback cluster checks with: the ledger reports each broken rule, the load
// balancer behaves as published, and a seed fixes the plan of faults.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "loopback/cluster_ledger.h"
#include "loopback/fault_plan.h"
#include "loopback/load_balancer.h"

namespace saddleslip::testing {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::seconds;

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
const std::string kJob = "run-000001";

std::string reply(const std::string& status) {
  return R"({"name_id":"run-000001","status":")" + status + "\"}";
}

// A ledger with one accepted array of one task. The tasks of a cancelled job must be gone at once.
class ClusterLedgerTest : public ::testing::Test {
 protected:
  ClusterLedgerTest() {
    LoopbackJob job;
    job.id = kJob;
    ledger_.add_submission(job);
    answer("queued", kCreated);
  }
  void answer(const std::string& status, int code = kOk) {
    ledger_.record_reply(kJob, code, reply(status), Clock::now());
  }
  // Returns the names of the rules that were broken.
  std::vector<std::string> broken_rules() const {
    std::vector<std::string> rules;
    for (const std::string& line : ledger_.violations())
      rules.push_back(line.substr(0, line.find(':')));
    return rules;
  }

  ClusterLedger ledger_{0.0};
};

TEST_F(ClusterLedgerTest, JobThatRunsOnceAndIsDoneBreaksNoRule) {
  ledger_.record_start("m-1", kJob, 0);
  answer("running");
  ledger_.record_end("m-1", kJob, 0, true);
  answer("done");
  EXPECT_EQ(broken_rules(), std::vector<std::string>{});
}

TEST_F(ClusterLedgerTest, TaskOnTwoMachinesIsReported) {
  ledger_.record_start("m-1", kJob, 0);
  ledger_.record_start("m-2", kJob, 0);
  EXPECT_EQ(broken_rules(), std::vector<std::string>{"ran_twice"});
}

TEST_F(ClusterLedgerTest, TaskThatStartsAfterCancellationIsReported) {
  ledger_.record_cancellation_request(kJob);
  answer("withdrawn");
  ledger_.record_start("m-1", kJob, 0);
  EXPECT_EQ(broken_rules(), std::vector<std::string>{"ran_cancelled"});
}

TEST_F(ClusterLedgerTest, AcceptedJobThatIsUnknownIsReported) {
  ledger_.record_reply(kJob, kNotFound, "{}", Clock::now());
  EXPECT_EQ(broken_rules(), std::vector<std::string>{"forgotten"});
}

TEST_F(ClusterLedgerTest, JobThatNobodySubmittedIsReported) {
  ledger_.record_reply("run-000002", kOk, reply("queued"), Clock::now());
  EXPECT_EQ(broken_rules(), std::vector<std::string>{"invented"});
}

TEST_F(ClusterLedgerTest, JobCalledDoneTooEarlyIsReported) {
  answer("done");
  EXPECT_EQ(broken_rules(), std::vector<std::string>{"not_done"});
}

TEST_F(ClusterLedgerTest, JobCalledRunningAfterItsCancellationIsReported) {
  ledger_.record_cancellation_request(kJob);
  answer("withdrawn");
  answer("running");
  EXPECT_EQ(broken_rules(), std::vector<std::string>{"went_back"});
}

TEST_F(ClusterLedgerTest, QueryThatWasSentBeforeTheFinalReplyMayGetAnOlderAnswer) {
  const auto sent_at = Clock::now();
  ledger_.record_cancellation_request(kJob);
  answer("withdrawn");
  ledger_.record_reply(kJob, kOk, reply("running"), sent_at);
  EXPECT_EQ(broken_rules(), std::vector<std::string>{});
}

TEST_F(ClusterLedgerTest, JobWithoutAnAnswerInQuietTimeIsReported) {
  ledger_.begin_quiet_time();
  EXPECT_FALSE(ledger_.is_every_job_answered());
  ledger_.check_unanswered(0);
  EXPECT_EQ(broken_rules(), std::vector<std::string>{"unanswered"});
}

// Probes one controller once a second.
class ControllerHealthTest : public ::testing::Test {
 protected:
  void probe(bool succeeded, int count) {
    for (int i = 0; i < count; ++i) {
      now_ += seconds(1);
      health_.record_probe(succeeded, now_);
    }
  }
  // Removes the controller and returns for how many seconds it stays removed.
  int remove() {
    probe(false, 2);
    int removed_s = 0;
    for (; !health_.is_healthy(); ++removed_s) probe(true, 1);
    return removed_s;
  }

  ControllerHealth health_;
  ControllerHealth::Time now_ = ControllerHealth::Time(seconds(1000));
};

TEST_F(ControllerHealthTest, OneSuccessIsEnoughAtFirst) {
  probe(true, 1);
  EXPECT_TRUE(health_.is_healthy());
}

TEST_F(ControllerHealthTest, TwoFailuresInARowRemove) {
  probe(true, 1);
  probe(false, 1);
  EXPECT_TRUE(health_.is_healthy());
  probe(false, 1);
  EXPECT_FALSE(health_.is_healthy());
}

TEST_F(ControllerHealthTest, EachRemovalWithinTwoMinutesDoublesThePause) {
  probe(true, 1);
  EXPECT_EQ(remove(), 3);
  EXPECT_EQ(remove(), 6);
  EXPECT_EQ(remove(), 12);
  EXPECT_EQ(remove(), 24);
  EXPECT_EQ(remove(), 48);
  probe(true, 121);
  EXPECT_EQ(remove(), 3);
}

TEST(FaultPlan, SeedFixesThePlan) {
  const auto texts = [](std::uint64_t seed) {
    std::vector<std::string> lines;
    for (const Fault& fault : make_fault_plan(seed, 60, 3)) lines.push_back(fault.text());
    return lines;
  };
  EXPECT_EQ(texts(7), texts(7));
  EXPECT_NE(texts(7), texts(8));
}

TEST(FaultPlan, EveryFaultEndsInTime) {
  for (const Fault& fault : make_fault_plan(7, 60, 3)) EXPECT_LE(fault.at_s + fault.for_s, 60);
}

}  // namespace

}  // namespace saddleslip::testing

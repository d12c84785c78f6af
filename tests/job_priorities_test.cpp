// What jobs inherit from the jobs that depend on them.
#include "coordination/scheduling/job_priorities.h"

#include <gtest/gtest.h>

#include "makers.h"

namespace saddleslip::coordination {

namespace {

using base::JobId;
using base::Seconds;
using base::Time;
using protocol::Rank;
using testing::make_job;

const JobId kFirst("run-000001"), kMiddle("run-000002"), kLast("run-000003");

class JobPrioritiesTest : public ::testing::Test {
 protected:
  JobPrioritiesTest() : cache_(settings_), priorities_(settings_, cache_) {
    settings_.teams["t"].guaranteed_cores = 10;
    priorities_.set_time_of_day(now_, 1000);
  }

  void add(const protocol::JobRecord& record) {
    cache_.apply({protocol::job_key(record.spec.id), to_json(record), base::Version(++revision_)},
                 now_);
    priorities_.update(now_);
  }
  // An urgent job that depends on the first one.
  static protocol::JobRecord make_urgent_dependent() {
    protocol::JobRecord record = make_job(kLast, Rank::kUrgent, {kFirst});
    record.spec.deadline = Seconds(200);
    return record;
  }
  // Three jobs, each of which depends on the one before. The last one is due at 1200 s.
  void add_chain() {
    add(make_job(kFirst, Rank::kIdle));
    add(make_job(kMiddle, Rank::kStandard, {kFirst}));
    protocol::JobRecord last = make_urgent_dependent();
    last.spec.dependencies = {kMiddle};
    add(last);
  }
  void finish_first(double at) { cache_.remember_final(kFirst, {protocol::JobStatus::kDone, at}); }
  const storage::Job& job(const JobId& id) const { return *cache_.job(id); }

  base::Settings settings_;
  storage::StateCache cache_;
  JobPriorities priorities_;
  Time now_ = base::after(Time{}, Seconds(50));
  std::uint64_t revision_ = 0;
};

}  // namespace

TEST_F(JobPrioritiesTest, DependentOfHigherRankPassesItsRankOn) {
  add(make_job(kFirst, Rank::kIdle));
  add(make_job(kMiddle, Rank::kStandard, {kFirst}));
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kStandard);
}

TEST_F(JobPrioritiesTest, ChainOfDependentsPassesTheHighestRankOn) {
  add_chain();
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kUrgent);
  EXPECT_EQ(priorities_.rank(job(kMiddle)), Rank::kUrgent);
}

// Each must be done so early that what depends on it can still run.
TEST_F(JobPrioritiesTest, ChainOfDependentsPassesTheDueTimeOn) {
  add(make_job(kFirst, Rank::kIdle));
  const double alone = priorities_.due(job(kFirst), now_);
  add_chain();
  EXPECT_DOUBLE_EQ(priorities_.due(job(kLast), now_), 1200);
  EXPECT_LT(priorities_.due(job(kMiddle), now_), 1200 - 20);
  EXPECT_LT(priorities_.due(job(kFirst), now_), 1200 - 40);
  EXPECT_LT(priorities_.due(job(kFirst), now_), alone);
}

// The dependent may come when the others are well under way, and may be cancelled.
TEST_F(JobPrioritiesTest, DependentCancelledPassesNothingOn) {
  add(make_job(kFirst, Rank::kIdle));
  protocol::JobRecord dependent = make_urgent_dependent();
  add(dependent);
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kUrgent);
  dependent.cancelled = true;
  add(dependent);
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kIdle);
}

// An inherited rank makes an array go first, and stops no other work.
TEST_F(JobPrioritiesTest, InheritedRankDoesNotAllowPreemption) {
  settings_.teams["t"].guaranteed_cores = 0;
  add(make_job(kFirst, Rank::kIdle));
  add(make_urgent_dependent());
  EXPECT_FALSE(priorities_.may_preempt(job(kFirst)));
  EXPECT_TRUE(priorities_.may_preempt(job(kLast)));
}

// Each job requests 8 of the team's 10 guaranteed cores.
TEST_F(JobPrioritiesTest, BlockedJobHoldsNoShareOfAGuarantee) {
  add(make_job(kFirst, Rank::kStandard));
  add(make_job(kMiddle, Rank::kStandard, {kFirst}));
  EXPECT_TRUE(priorities_.is_guaranteed(job(kFirst)));
  EXPECT_FALSE(priorities_.is_guaranteed(job(kMiddle)));
}

// The guarantee goes to jobs in the order in which they become ready.
TEST_F(JobPrioritiesTest, BlockedJobBecomesReadyComesAfterThoseThatWereReadyBefore) {
  add(make_job(kFirst, Rank::kStandard));
  add(make_job(kMiddle, Rank::kStandard, {kFirst}));
  add(make_job(kLast, Rank::kStandard));
  cache_.apply({protocol::job_key(kFirst), protocol::Json(), base::Version(++revision_)}, now_);
  finish_first(1050);
  priorities_.update(now_);
  EXPECT_FALSE(job(kMiddle).blocked);
  EXPECT_DOUBLE_EQ(job(kMiddle).startable_since(), 1050);
  EXPECT_TRUE(priorities_.is_guaranteed(job(kLast)));
  EXPECT_FALSE(priorities_.is_guaranteed(job(kMiddle)));
}

// Waiting for other jobs is not waiting for capacity.
TEST_F(JobPrioritiesTest, BlockedJobStarvesOnlyFromWhenItIsReady) {
  add(make_job(kFirst, Rank::kStandard));
  add(make_job(kMiddle, Rank::kStandard, {kFirst}));
  const Time later = base::after(now_, Seconds(500));
  EXPECT_TRUE(priorities_.starving_tasks(job(kFirst), later));
  EXPECT_FALSE(priorities_.starving_tasks(job(kMiddle), later));
  finish_first(1480);
  EXPECT_FALSE(priorities_.starving_tasks(job(kMiddle), later));
  EXPECT_TRUE(priorities_.starving_tasks(job(kMiddle), base::after(later, Seconds(110))));
}

}  // namespace saddleslip::coordination

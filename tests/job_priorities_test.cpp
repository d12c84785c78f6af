// Tests of job priorities: inheritance from dependents, guaranteed quotas and starvation of blocked
// jobs.
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
  // Makes an urgent job with a deadline that depends on kFirst.
  static protocol::JobRecord make_urgent_dependent() {
    protocol::JobRecord record = make_job(kLast, Rank::kUrgent, {kFirst});
    record.spec.deadline = Seconds(200);
    return record;
  }
  // Adds a chain of three jobs, each of which depends on the previous one. The last one is due at
  // 1200 s.
  void add_dependency_chain() {
    add(make_job(kFirst, Rank::kIdle));
    add(make_job(kMiddle, Rank::kStandard, {kFirst}));
    protocol::JobRecord last = make_urgent_dependent();
    last.spec.dependencies = {kMiddle};
    add(last);
  }
  void finish_first_job(double at) {
    cache_.add_final_state(kFirst, {protocol::JobStatus::kDone, at});
  }
  const storage::Job& job(const JobId& id) const { return *cache_.job(id); }

  base::Settings settings_;
  storage::StateCache cache_;
  JobPriorities priorities_;
  Time now_ = base::after(Time{}, Seconds(50));
  std::uint64_t revision_ = 0;
};

}  // namespace

TEST_F(JobPrioritiesTest, JobInheritsHigherRankOfDependent) {
  add(make_job(kFirst, Rank::kIdle));
  add(make_job(kMiddle, Rank::kStandard, {kFirst}));
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kStandard);
}

TEST_F(JobPrioritiesTest, JobInheritsHighestRankOfDependencyChain) {
  add_dependency_chain();
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kUrgent);
  EXPECT_EQ(priorities_.rank(job(kMiddle)), Rank::kUrgent);
}

// Each job must complete early enough for its dependents to run before their own due times.
TEST_F(JobPrioritiesTest, JobInheritsDueTimeOfDependencyChain) {
  add(make_job(kFirst, Rank::kIdle));
  const double alone = priorities_.due_time(job(kFirst), now_);
  add_dependency_chain();
  EXPECT_DOUBLE_EQ(priorities_.due_time(job(kLast), now_), 1200);
  EXPECT_LT(priorities_.due_time(job(kMiddle), now_), 1200 - 20);
  EXPECT_LT(priorities_.due_time(job(kFirst), now_), 1200 - 40);
  EXPECT_LT(priorities_.due_time(job(kFirst), now_), alone);
}

// A dependent may be submitted, or cancelled, after the job that it depends on has started.
TEST_F(JobPrioritiesTest, JobInheritsNothingFromCancelledDependent) {
  add(make_job(kFirst, Rank::kIdle));
  protocol::JobRecord dependent = make_urgent_dependent();
  add(dependent);
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kUrgent);
  dependent.cancelled = true;
  add(dependent);
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kIdle);
}

// An inherited rank gives a job precedence but does not allow it to preempt other tasks.
TEST_F(JobPrioritiesTest, InheritedRankDoesNotAllowPreemption) {
  settings_.teams["t"].guaranteed_cores = 0;
  add(make_job(kFirst, Rank::kIdle));
  add(make_urgent_dependent());
  EXPECT_FALSE(priorities_.may_preempt(job(kFirst)));
  EXPECT_TRUE(priorities_.may_preempt(job(kLast)));
}

// Each job requests 8 of the team's 10 guaranteed cores.
TEST_F(JobPrioritiesTest, BlockedJobUsesNoneOfTheGuarantee) {
  add(make_job(kFirst, Rank::kStandard));
  add(make_job(kMiddle, Rank::kStandard, {kFirst}));
  EXPECT_TRUE(priorities_.is_guaranteed(job(kFirst)));
  EXPECT_FALSE(priorities_.is_guaranteed(job(kMiddle)));
}

// Jobs use up the guarantee in the order in which they become ready to start.
TEST_F(JobPrioritiesTest, UnblockedJobComesAfterJobsThatWereReadyBefore) {
  add(make_job(kFirst, Rank::kStandard));
  add(make_job(kMiddle, Rank::kStandard, {kFirst}));
  add(make_job(kLast, Rank::kStandard));
  cache_.apply({protocol::job_key(kFirst), protocol::Json(), base::Version(++revision_)}, now_);
  finish_first_job(1050);
  priorities_.update(now_);
  EXPECT_FALSE(job(kMiddle).blocked);
  EXPECT_DOUBLE_EQ(job(kMiddle).startable_since(), 1050);
  EXPECT_TRUE(priorities_.is_guaranteed(job(kLast)));
  EXPECT_FALSE(priorities_.is_guaranteed(job(kMiddle)));
}

// The time for which a job is blocked by its dependencies does not count as waiting for capacity.
TEST_F(JobPrioritiesTest, StarvationTimeStartsWhenTheJobIsReady) {
  add(make_job(kFirst, Rank::kStandard));
  add(make_job(kMiddle, Rank::kStandard, {kFirst}));
  const Time later = base::after(now_, Seconds(500));
  EXPECT_TRUE(priorities_.starving_tasks(job(kFirst), later));
  EXPECT_FALSE(priorities_.starving_tasks(job(kMiddle), later));
  finish_first_job(1480);
  EXPECT_FALSE(priorities_.starving_tasks(job(kMiddle), later));
  EXPECT_TRUE(priorities_.starving_tasks(job(kMiddle), base::after(later, Seconds(110))));
}

}  // namespace saddleslip::coordination

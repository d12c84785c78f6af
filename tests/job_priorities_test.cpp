// What jobs take over from those that need them.
#include "coordination/scheduling/job_priorities.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

namespace {

using base::JobId;
using base::Seconds;
using base::Time;
using protocol::Rank;

const JobId kFirst("run-000001"), kMiddle("run-000002"), kLast("run-000003");

class Priorities : public ::testing::Test {
 protected:
  Priorities() : cache_(settings_), priorities_(settings_, cache_) {
    settings_.teams["t"].guaranteed_cores = 10;
    priorities_.set_time_of_day(now_, 1000);
  }

  void add(const JobId& id, Rank rank, std::vector<JobId> dependencies,
           std::optional<Seconds> deadline = {}, bool cancelled = false) {
    protocol::JobRecord record;
    auto& spec = record.spec;
    spec.id = id;
    spec.job_class = "c";
    spec.team = "t";
    spec.rank = rank;
    spec.tasks = 2;
    spec.request.v = {4, 0, 1};
    spec.image = "img";
    spec.estimate = Seconds(20);
    spec.deadline = deadline;
    spec.dependencies = std::move(dependencies);
    record.submitted = 1000;
    record.cancelled = cancelled;
    cache_.apply({protocol::job_key(id), to_json(record), base::Version(++revision_)}, now_);
    priorities_.update(now_);
  }
  const storage::Job& job(const JobId& id) const { return *cache_.job(id); }

  base::Settings settings_;
  storage::StateCache cache_;
  JobPriorities priorities_;
  Time now_ = base::after(Time{}, Seconds(50));
  std::uint64_t revision_ = 0;
};

}  // namespace

TEST_F(Priorities, RankAndDueTimePassToWhatIsNeeded) {
  add(kFirst, Rank::kIdle, {});
  const double alone = priorities_.due(job(kFirst), now_);
  add(kMiddle, Rank::kStandard, {kFirst});
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kStandard);
  add(kLast, Rank::kUrgent, {kMiddle}, Seconds(200));
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kUrgent);
  EXPECT_EQ(priorities_.rank(job(kMiddle)), Rank::kUrgent);
  EXPECT_DOUBLE_EQ(priorities_.due(job(kLast), now_), 1200);
  EXPECT_LT(priorities_.due(job(kMiddle), now_), 1200 - 20);
  EXPECT_LT(priorities_.due(job(kFirst), now_), 1200 - 40);
  EXPECT_LT(priorities_.due(job(kFirst), now_), alone);
}

// The last job may come when the others are well under way, and may be cancelled.
TEST_F(Priorities, WhatIsCancelledPassesNothingOn) {
  add(kFirst, Rank::kIdle, {});
  add(kLast, Rank::kUrgent, {kFirst}, Seconds(200));
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kUrgent);
  add(kLast, Rank::kUrgent, {kFirst}, Seconds(200), true);
  EXPECT_EQ(priorities_.rank(job(kFirst)), Rank::kIdle);
}

// An inherited rank makes a sweep go first, and stops no other work.
TEST_F(Priorities, AnInheritedRankDisplacesNothing) {
  settings_.teams["t"].guaranteed_cores = 0;
  add(kFirst, Rank::kIdle, {});
  add(kLast, Rank::kUrgent, {kFirst}, Seconds(200));
  EXPECT_FALSE(priorities_.may_displace(job(kFirst)));
  EXPECT_TRUE(priorities_.may_displace(job(kLast)));
}

// Each needs 8 of the team's 10 guaranteed cores. What waits holds no part of them; it is its turn in the
// order in which jobs become ready.
TEST_F(Priorities, WhatWaitsHoldsNoPartOfAGuarantee) {
  add(kFirst, Rank::kStandard, {});
  add(kMiddle, Rank::kStandard, {kFirst});
  EXPECT_TRUE(priorities_.is_guaranteed(job(kFirst)));
  EXPECT_FALSE(priorities_.is_guaranteed(job(kMiddle)));
  add(kLast, Rank::kStandard, {});
  cache_.apply({protocol::job_key(kFirst), protocol::Json(), base::Version(++revision_)}, now_);
  cache_.remember_final(kFirst, {protocol::JobStatus::kDone, 1050});
  priorities_.update(now_);
  EXPECT_FALSE(job(kMiddle).blocked);
  EXPECT_DOUBLE_EQ(job(kMiddle).startable_since(), 1050);
  EXPECT_TRUE(priorities_.is_guaranteed(job(kLast)));
  EXPECT_FALSE(priorities_.is_guaranteed(job(kMiddle)));
}

// Waiting for other jobs is no waiting for room.
TEST_F(Priorities, WaitingForOthersIsNotBeingOverdue) {
  add(kFirst, Rank::kStandard, {});
  add(kMiddle, Rank::kStandard, {kFirst});
  const Time later = base::after(now_, Seconds(500));
  EXPECT_TRUE(priorities_.starving_tasks(job(kFirst), later));
  EXPECT_FALSE(priorities_.starving_tasks(job(kMiddle), later));
  cache_.remember_final(kFirst, {protocol::JobStatus::kDone, 1480});
  EXPECT_FALSE(priorities_.starving_tasks(job(kMiddle), later));
  EXPECT_TRUE(priorities_.starving_tasks(job(kMiddle), base::after(later, Seconds(110))));
}

}  // namespace saddleslip::coordination

// Tests of preemption: which tasks are evicted for which job.
#include "coordination/scheduling/preemption_planner.h"

#include "machine_fixture.h"

namespace saddleslip::coordination {

using base::TaskId;
using protocol::Rank;

class PreemptionPlannerTest : public FilledMachineFixture {
 protected:
  void preempt_for(Rank rank, std::size_t tasks, double seconds = 4) {
    add_job(kJob, rank);
    priorities_.update(at(seconds));
    planner_.preempt({{cache_.job(kJob), tasks}}, at(seconds));
  }
  const std::set<TaskId>& evicted() { return registry_.at(kMachine).tasks_to_evict; }

  CapacityReservations reservations_{cache_};
  PreemptionPlanner planner_{settings_, cache_, priorities_, capacity_, registry_, reservations_};
};

TEST_F(PreemptionPlannerTest, UrgentJobPreemptsTheTaskWithTheLeastWorkLost) {
  preempt_for(Rank::kUrgent, 1);
  EXPECT_EQ(evicted(), (std::set{TaskId{kOther, 3}}));
}

TEST_F(PreemptionPlannerTest, CapacityIsFreedForEachTaskOfTheJob) {
  preempt_for(Rank::kUrgent, 2);
  EXPECT_EQ(evicted(), (std::set{TaskId{kOther, 2}, TaskId{kOther, 3}}));
}

TEST_F(PreemptionPlannerTest, FreedCapacityIsReservedForTheJob) {
  preempt_for(Rank::kUrgent, 1);
  EXPECT_TRUE(reservations_.is_reserved_for(kMachine, kJob));
}

TEST_F(PreemptionPlannerTest, JobThatMayNotPreemptEvictsNothing) {
  preempt_for(Rank::kStandard, 1);
  EXPECT_TRUE(evicted().empty());
}

TEST_F(PreemptionPlannerTest, NothingMoreIsEvictedBeforeTheVictimsHadTimeToEnd) {
  preempt_for(Rank::kUrgent, 1);
  preempt_for(Rank::kUrgent, 2, 5);
  EXPECT_EQ(evicted().size(), 1u);
}

TEST_F(PreemptionPlannerTest, NothingIsEvictedFromMachineReservedForAnotherJob) {
  reservations_.reserve_for_starving_job(kMachine, kOther, at(60));
  preempt_for(Rank::kUrgent, 1);
  EXPECT_TRUE(evicted().empty());
}

TEST_F(PreemptionPlannerTest, NothingIsEvictedFromCordonedMachine) {
  registry_.drain(kMachine);
  preempt_for(Rank::kUrgent, 1);
  EXPECT_TRUE(evicted().empty());
}

}  // namespace saddleslip::coordination

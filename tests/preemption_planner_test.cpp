// Tests of preemption: which tasks are evicted for which job.
#include "coordination/scheduling/preemption_planner.h"

#include "machine_fixture.h"

namespace saddleslip::coordination {

using base::FencingToken;
using base::MachineId;
using base::TaskId;
using protocol::Rank;
using protocol::TaskState;

// One machine that is filled by four tasks of the idle job kOther, which started one second apart.
class PreemptionPlannerTest : public MachineFixture {
 protected:
  PreemptionPlannerTest() {
    registry_.install_view({FencingToken(10), at(0), true}, [](const MachineId&) { return true; });
    add_job(kOther, Rank::kIdle);
    assign(kOther,
           {{0, assignment(1)}, {1, assignment(2)}, {2, assignment(3)}, {3, assignment(4)}});
    auto last_heartbeat = heartbeat(0, 10);
    for (base::TaskNumber task = 0; task < 4; ++task) {
      last_heartbeat.sequence = base::Sequence(task + 1);
      report(last_heartbeat, {kOther, task}, task + 1, TaskState::kRunning);
      registry_.record_heartbeat(last_heartbeat, HeartbeatSource::kAgent, at(task));
    }
  }
  void preempt_for(Rank rank, std::size_t tasks, double seconds = 4) {
    add_job(kJob, rank);
    priorities_.update(at(seconds));
    planner_.preempt({{cache_.job(kJob), tasks}}, at(seconds));
  }
  const std::set<TaskId>& evicted() { return registry_.at(kMachine).tasks_to_evict; }

  JobPriorities priorities_{settings_, cache_};
  AttemptTracker attempts_{cache_};
  CapacityCalculator capacity_{cache_, priorities_, attempts_};
  MachineRegistry registry_{settings_, cache_, capacity_};
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

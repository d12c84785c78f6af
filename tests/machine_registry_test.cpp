// Tests the recording of heartbeats, the computation of free capacity, and the status that is sent
// to peers.
#include "coordination/machines/machine_registry.h"

#include "machine_fixture.h"

namespace saddleslip::coordination {

using base::FencingToken;
using base::MachineId;
using base::MemberId;
using base::TaskId;
using protocol::EndCause;
using protocol::Heartbeat;
using protocol::TaskState;

class MachineRegistryTest : public MachineFixture {
 protected:
  MachineRegistryTest() {
    settings_.peers.resize(1);
    settings_.peers[0].member = kPeer;
    registry_.install_view({FencingToken(10), at(0), true}, [](const MachineId&) { return true; });
  }
  const storage::Machine* record(const Heartbeat& heartbeat, double seconds = 0,
                                 HeartbeatSource source = HeartbeatSource::kAgent) {
    return registry_.record_heartbeat(heartbeat, source, at(seconds));
  }
  const storage::MachineCapacity& capacity() { return capacity_.of(registry_.at(kMachine)); }
  protocol::MemberStatus changes(double seconds) {
    protocol::MemberStatus status;
    registry_.add_status_changes(kPeer, at(seconds), status);
    return status;
  }

  inline static const MemberId kPeer{"n1"};
  JobPriorities priorities_{settings_, cache_};
  AttemptTracker attempts_{cache_};
  CapacityCalculator capacity_{cache_, priorities_, attempts_};
  MachineRegistry registry_{settings_, cache_, capacity_};
};

TEST_F(MachineRegistryTest, OldHeartbeatsAreIgnored) {
  EXPECT_TRUE(record(heartbeat(2)));
  EXPECT_FALSE(record(heartbeat(1), 1));
  EXPECT_FALSE(registry_.response_to(heartbeat(1), at(1)));
  EXPECT_TRUE(registry_.response_to(heartbeat(2), at(1)));
  EXPECT_EQ(registry_.at(kMachine).last_heartbeat_at, at(0));
}

TEST_F(MachineRegistryTest, EndedAgentIncarnationIsIgnored) {
  ASSERT_TRUE(record(heartbeat(1)));
  registry_.end_agent_incarnation(registry_.at(kMachine));
  EXPECT_FALSE(record(heartbeat(2)));
  auto restarted = heartbeat(1);
  restarted.agent_incarnation = base::AgentIncarnation(2);
  EXPECT_TRUE(record(restarted));
}

TEST_F(MachineRegistryTest, ReleasedMachineIsIgnoredAndReportedToPeersAsGone) {
  record(heartbeat(1));
  registry_.acknowledge(kPeer, changes(0).revision);
  EXPECT_TRUE(registry_.mark_released(kMachine, at(1)));
  EXPECT_FALSE(registry_.mark_released(kMachine, at(2)));
  EXPECT_FALSE(record(heartbeat(2), 2));
  EXPECT_EQ(changes(2).departed_machines, std::vector{kMachine});
  registry_.expire_released(at(601));
  EXPECT_FALSE(record(heartbeat(2), 601));
  registry_.expire_released(at(602));
  EXPECT_TRUE(record(heartbeat(2), 602));
}

TEST_F(MachineRegistryTest, CommandReplyDoesNotRenewTheLease) {
  record(heartbeat(1, 10));
  record(heartbeat(2, 10), 5, HeartbeatSource::kCommandReply);
  EXPECT_EQ(registry_.at(kMachine).last_heartbeat_at, at(0));
  EXPECT_EQ(registry_.at(kMachine).last_heartbeat.sequence, base::Sequence(2));
}

TEST_F(MachineRegistryTest, MachineIsSchedulableOnceItsHeartbeatShowsAToken) {
  record(heartbeat(1));
  EXPECT_FALSE(registry_.is_schedulable(registry_.at(kMachine), at(0)));
  EXPECT_TRUE(registry_.has_recent_heartbeat(registry_.at(kMachine), at(0)));
  record(heartbeat(2, 10), 1);
  EXPECT_TRUE(registry_.is_schedulable(registry_.at(kMachine), at(1)));
  const double silent = 1 + settings_.heartbeat_interval.count() * 2.5;
  EXPECT_FALSE(registry_.is_schedulable(registry_.at(kMachine), at(silent)));
}

TEST_F(MachineRegistryTest, ViewDropsMachinesThatAreNoLongerOwned) {
  record(heartbeat(1));
  registry_.install_view({FencingToken(20), at(1), true}, [](const MachineId&) { return true; });
  ASSERT_TRUE(registry_.contains(kMachine));
  EXPECT_EQ(registry_.at(kMachine).fencing_token, FencingToken(20));
  registry_.install_view({FencingToken(30), at(2), true}, [](const MachineId&) { return false; });
  EXPECT_FALSE(registry_.contains(kMachine));
}

TEST_F(MachineRegistryTest, OnlyIdleMachinesAreCordoned) {
  add_job(kJob);
  assign(kJob, {{0, assignment(3)}});
  record(heartbeat(1));
  registry_.cordon_if_idle(kMachine);
  EXPECT_FALSE(registry_.at(kMachine).cordoned);
  assign(kJob, {});
  registry_.cordon_if_idle(kMachine);
  EXPECT_TRUE(registry_.at(kMachine).cordoned);
}

TEST_F(MachineRegistryTest, RunTimesFollowTheHeartbeats) {
  add_job(kJob);
  const TaskId task{kJob, 0};
  auto running = heartbeat(1);
  report(running, task, 3, TaskState::kRunning);
  record(running, 1);
  EXPECT_EQ(registry_.at(kMachine).running_since.at(task), at(1));
  EXPECT_TRUE(registry_.at(kMachine).has_image("image-run-000001"));
  auto ended = heartbeat(2);
  report(ended, task, 3, TaskState::kEnded, EndCause::kDone);
  record(ended, 4);
  EXPECT_TRUE(registry_.at(kMachine).running_since.empty());
  EXPECT_EQ(registry_.at(kMachine).ended_run_times.at(task), base::Seconds(3));
}

TEST_F(MachineRegistryTest, CapacityFollowsAssignmentsAndReports) {
  add_job(kJob);
  add_job(kOther, protocol::Rank::kIdle);
  assign(kJob, {{0, assignment(3)}, {1, assignment(4)}});
  assign(kOther, {{0, assignment(5)}});
  auto current_heartbeat = heartbeat(1);
  report(current_heartbeat, {kJob, 1}, 4, TaskState::kEnded,
         EndCause::kDone);                                       // ended: uses no capacity
  report(current_heartbeat, {kJob, 2}, 9, TaskState::kRunning);  // runs without an assignment
  record(current_heartbeat);
  EXPECT_EQ(capacity().assigned, 3U);
  EXPECT_DOUBLE_EQ(capacity().free.cores(), 16 - 3 * 4);
  EXPECT_DOUBLE_EQ(capacity().preemptible.cores(), 4);
  EXPECT_TRUE(capacity().active);
  EXPECT_TRUE(capacity().has_kills_due);
  ASSERT_EQ(capacity().ended_attempts.size(), 1U);
  EXPECT_EQ(capacity().ended_attempts[0].task, (TaskId{kJob, 1}));
  EXPECT_TRUE(capacity().ended_attempts[0].done);
  assign(kJob, {{0, assignment(3)}});
  EXPECT_EQ(capacity().assigned, 2U);
}

TEST_F(MachineRegistryTest, MachineThatRunsAnUnknownJobHasNoFreeCapacity) {
  auto current_heartbeat = heartbeat(1);
  report(current_heartbeat, {kJob, 0}, 3, TaskState::kRunning);
  record(current_heartbeat);
  EXPECT_DOUBLE_EQ(capacity().free.cores(), 0);
}

TEST_F(MachineRegistryTest, AttemptsOfAnEarlierAgentIncarnationHaveEnded) {
  add_job(kJob);
  assign(kJob, {{0, assignment(3, 0)}});
  record(heartbeat(1));
  ASSERT_EQ(capacity().ended_attempts.size(), 1U);
  EXPECT_FALSE(capacity().ended_attempts[0].done);
  EXPECT_DOUBLE_EQ(capacity().free.cores(), 16);
}

TEST_F(MachineRegistryTest, PeerIsSentOnlyWhatHasChanged) {
  record(heartbeat(1, 10));
  const auto full = changes(0);
  EXPECT_EQ(full.base_revision, 0U);
  ASSERT_EQ(full.machines.size(), 1U);
  EXPECT_TRUE(full.machines[0].open);
  registry_.acknowledge(kPeer, full.revision);
  record(heartbeat(2, 10), 1);
  EXPECT_TRUE(changes(1).machines.empty());
  registry_.drain(kMachine);
  const auto delta = changes(1);
  EXPECT_EQ(delta.base_revision, full.revision);
  ASSERT_EQ(delta.machines.size(), 1U);
  EXPECT_FALSE(delta.machines[0].open);
}

}  // namespace saddleslip::coordination

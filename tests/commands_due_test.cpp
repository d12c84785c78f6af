// Tests the commands that make the attempts on a machine match its recorded assignments.
#include "coordination/machines/commands_due.h"

#include "machine_fixture.h"

namespace saddleslip::coordination {

using base::Attempt;
using base::Seconds;
using base::TaskId;
using protocol::Command;
using protocol::TaskState;

class CommandsDueTest : public MachineFixture {
 protected:
  CommandsDueTest() {
    add_job(kJob);
    machine_.last_heartbeat = heartbeat(1);
  }
  void reports(std::uint64_t attempt, TaskState state) {
    report(machine_.last_heartbeat, task_, attempt, state);
  }
  std::vector<Command> due() const {
    return commands_due(machine_, !kills_due(machine_, cache_).empty(), cache_);
  }
  void expect_one(Command::Op op, std::uint64_t attempt) const {
    const auto commands = due();
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].op, op);
    EXPECT_EQ(commands[0].task, task_);
    EXPECT_EQ(commands[0].attempt, Attempt(attempt));
  }

  storage::Machine machine_;
  const TaskId task_{kJob, 0};
};

TEST_F(CommandsDueTest, AssignedTaskThatIsNotReportedIsStarted) {
  assign(kJob, {{0, assignment(3)}});
  expect_one(Command::Op::kRun, 3);
  reports(3, TaskState::kPulling);
  EXPECT_TRUE(due().empty());
}

TEST_F(CommandsDueTest, AssignmentToAnEarlierAgentIncarnationIsNotStarted) {
  assign(kJob, {{0, assignment(3, 0)}});
  EXPECT_TRUE(due().empty());
}

TEST_F(CommandsDueTest, EvictedOrCancelledTaskIsNotStarted) {
  assign(kJob, {{0, assignment(3)}});
  machine_.tasks_to_evict.insert(task_);
  EXPECT_TRUE(due().empty());
  machine_.tasks_to_evict.clear();
  cache_.notify_cancelled(kJob);
  EXPECT_TRUE(due().empty());
}

TEST_F(CommandsDueTest, UnassignedAttemptIsKilledAtOnce) {
  reports(2, TaskState::kRunning);
  expect_one(Command::Op::kKill, 2);
  EXPECT_EQ(due()[0].grace, Seconds(0));
}

TEST_F(CommandsDueTest, EvictedAttemptIsKilled) {
  assign(kJob, {{0, assignment(3)}});
  reports(3, TaskState::kRunning);
  EXPECT_TRUE(due().empty());
  machine_.tasks_to_evict.insert(task_);
  expect_one(Command::Op::kKill, 3);
}

// On a machine that is not fenced, a copy of the start command may still arrive and run the attempt
// again.
TEST_F(CommandsDueTest, EndedAttemptIsForgottenOnlyByAFencedMachine) {
  reports(2, TaskState::kEnded);
  machine_.required_fencing_token = base::FencingToken(1);
  EXPECT_TRUE(due().empty());
  machine_.last_heartbeat.fencing_token = base::FencingToken(1);
  expect_one(Command::Op::kForget, 2);
}

TEST_F(CommandsDueTest, EndedAttemptIsNotForgottenWhileItIsAssigned) {
  assign(kJob, {{0, assignment(3)}});
  reports(3, TaskState::kEnded);
  EXPECT_TRUE(due().empty());
}

}  // namespace saddleslip::coordination

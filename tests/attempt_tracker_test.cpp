// Tests the tracking of attempts that can never start, of kill commands that were sent, and of
// completions that wait to be recorded.
#include "coordination/machines/attempt_tracker.h"

#include "machine_fixture.h"

namespace saddleslip::coordination {

using base::Attempt;
using base::TaskId;
using protocol::TaskState;

class AttemptTrackerTest : public MachineFixture {
 protected:
  // Assigns the first task to the machine. Its heartbeat shows `token`, and it is fenced from token
  // 5 on.
  void assign_first(std::uint64_t token) {
    add_job(kJob);
    assign(kJob, {{0, assignment(3)}});
    machine_.last_heartbeat = heartbeat(1, token);
    machine_.required_fencing_token = base::FencingToken(5);
  }

  storage::Machine machine_;
  AttemptTracker tracker_{cache_};
  const TaskId task_{kJob, 0};
};

TEST_F(AttemptTrackerTest, AttemptThatIsStillWantedMayStart) {
  assign_first(5);
  tracker_.mark_never_started(machine_);
  EXPECT_FALSE(tracker_.is_never_started(task_, Attempt(3)));
}

TEST_F(AttemptTrackerTest, UnreportedEvictedAttemptNeverStarts) {
  assign_first(5);
  machine_.tasks_to_evict.insert(task_);
  tracker_.mark_never_started(machine_);
  EXPECT_TRUE(tracker_.is_never_started(task_, Attempt(3)));
  EXPECT_FALSE(tracker_.is_never_started(task_, Attempt(4)));
  tracker_.forget_never_started();
  EXPECT_FALSE(tracker_.is_never_started(task_, Attempt(3)));
}

TEST_F(AttemptTrackerTest, UnreportedCancelledAttemptNeverStarts) {
  assign_first(5);
  cache_.notify_cancelled(kJob);
  tracker_.mark_never_started(machine_);
  EXPECT_TRUE(tracker_.is_never_started(task_, Attempt(3)));
}

// A copy of the start command may still reach a machine that is not fenced.
TEST_F(AttemptTrackerTest, AttemptOnAnUnfencedMachineMayStillStart) {
  assign_first(4);
  machine_.tasks_to_evict.insert(task_);
  tracker_.mark_never_started(machine_);
  EXPECT_FALSE(tracker_.is_never_started(task_, Attempt(3)));
}

TEST_F(AttemptTrackerTest, ReportedAttemptHasStarted) {
  assign_first(5);
  machine_.tasks_to_evict.insert(task_);
  report(machine_.last_heartbeat, task_, 3, TaskState::kRunning);
  tracker_.mark_never_started(machine_);
  EXPECT_FALSE(tracker_.is_never_started(task_, Attempt(3)));
}

TEST_F(AttemptTrackerTest, KillIsRepeatedOnlyAfterTheRetryInterval) {
  EXPECT_TRUE(tracker_.may_send_kill(task_, Attempt(3), at(0)));
  EXPECT_TRUE(tracker_.may_send_kill(task_, Attempt(4), at(0)));
  tracker_.expire_kills(at(2));
  EXPECT_FALSE(tracker_.may_send_kill(task_, Attempt(3), at(2)));
  tracker_.expire_kills(at(2.1));
  EXPECT_TRUE(tracker_.may_send_kill(task_, Attempt(3), at(2.1)));
}

TEST_F(AttemptTrackerTest, CompletionKeepsTheTimeAtWhichItWasFirstSeen) {
  EXPECT_FALSE(tracker_.completion_seen_at(task_));
  EXPECT_EQ(tracker_.note_completion(task_, at(0)), at(0));
  EXPECT_EQ(tracker_.note_completion(task_, at(5)), at(0));
  tracker_.keep_completions({task_});
  EXPECT_EQ(tracker_.completion_seen_at(task_), at(0));
  tracker_.keep_completions({});
  EXPECT_FALSE(tracker_.completion_seen_at(task_));
}

}  // namespace saddleslip::coordination

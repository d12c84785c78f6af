// Tasks by machine, and the stamps that tell when they change.
#include "storage/assignment_index.h"

#include <gtest/gtest.h>

namespace saddleslip::storage {

namespace {

using Assignments = std::map<TaskNo, Assignment>;

const MachineId kFirst("i-1");
const MachineId kSecond("i-2");

Assignment on(const MachineId& machine, std::uint64_t attempt = 1) {
  return {machine, Attempt(attempt), base::AgentIncarnation(1)};
}

protocol::JobSpec job() {
  protocol::JobSpec spec;
  spec.id = JobId("run-000001");
  spec.team = "team";
  spec.request.v = {2, 0, 1};
  return spec;
}

}  // namespace

TEST(AssignmentIndex, UpdateFollowsTheDifference) {
  AssignmentIndex index;
  const Assignments before{{0, on(kFirst)}, {1, on(kFirst)}, {2, on(kSecond)}};
  index.update(job(), {}, before);
  EXPECT_EQ(index.team_use("team").cores(), 6);
  index.update(job(), before, {{1, on(kFirst)}, {2, on(kFirst)}, {3, on(kFirst)}});
  EXPECT_EQ(index.on(kFirst).size(), 3u);
  EXPECT_TRUE(index.on(kSecond).empty());
  EXPECT_FALSE(index.by_machine().contains(kSecond));
  EXPECT_EQ(index.team_use("team").cores(), 6);
}

TEST(AssignmentIndex, UnchangedMachineKeepsItsStamp) {
  AssignmentIndex index;
  const Assignments before{{0, on(kFirst)}, {1, on(kSecond)}};
  index.update(job(), {}, before);
  const auto first = index.stamp(kFirst), second = index.stamp(kSecond);
  const auto last = index.last_stamp();
  index.update(job(), before, {{0, on(kFirst)}, {1, on(kSecond, 2)}});
  EXPECT_EQ(index.stamp(kFirst), first);
  EXPECT_NE(index.stamp(kSecond), second);
  EXPECT_NE(index.last_stamp(), last);
}

TEST(AssignmentIndex, MachineWithoutTasksHasStampZero) {
  AssignmentIndex index;
  const Assignments before{{0, on(kFirst)}};
  EXPECT_EQ(index.stamp(kFirst), 0u);
  index.update(job(), {}, before);
  const auto last = index.last_stamp();
  index.update(job(), before, {});
  EXPECT_EQ(index.stamp(kFirst), 0u);
  EXPECT_NE(index.last_stamp(), last);
}

TEST(AssignmentIndex, TouchChangesTheStampsOfTheMachinesOnly) {
  AssignmentIndex index;
  index.update(job(), {}, {{0, on(kFirst)}, {1, on(kSecond)}});
  const auto first = index.stamp(kFirst), second = index.stamp(kSecond);
  index.touch({{1, on(kSecond)}});
  EXPECT_EQ(index.stamp(kFirst), first);
  EXPECT_NE(index.stamp(kSecond), second);
}

TEST(AssignmentIndex, ClearNeverRepeatsAStamp) {
  AssignmentIndex index;
  index.update(job(), {}, {{0, on(kFirst)}});
  const auto before = index.stamp(kFirst);
  index.clear();
  EXPECT_EQ(index.stamp(kFirst), 0u);
  EXPECT_EQ(index.team_use("team").cores(), 0);
  index.update(job(), {}, {{0, on(kFirst)}});
  EXPECT_GT(index.stamp(kFirst), before);
}

}  // namespace saddleslip::storage

// Tests of the tasks assigned to each machine, and of the stamps that change with them.
#include "storage/assignment_index.h"

#include <gtest/gtest.h>

namespace saddleslip::storage {

namespace {

using Assignments = std::map<TaskNumber, Assignment>;

const MachineId kFirst("i-1");
const MachineId kSecond("i-2");

Assignment assigned_to(const MachineId& machine, std::uint64_t attempt = 1) {
  return {machine, Attempt(attempt), base::AgentIncarnation(1)};
}

protocol::JobSpec job() {
  protocol::JobSpec spec;
  spec.id = JobId("run-000001");
  spec.team = "team";
  spec.request.amounts = {2, 0, 1};
  return spec;
}

}  // namespace

TEST(AssignmentIndex, UpdateAppliesTheDifference) {
  AssignmentIndex index;
  const Assignments before{
      {0, assigned_to(kFirst)}, {1, assigned_to(kFirst)}, {2, assigned_to(kSecond)}};
  index.update(job(), {}, before);
  EXPECT_EQ(index.team_use("team").cores(), 6);
  index.update(job(), before,
               {{1, assigned_to(kFirst)}, {2, assigned_to(kFirst)}, {3, assigned_to(kFirst)}});
  EXPECT_EQ(index.tasks_on(kFirst).size(), 3u);
  EXPECT_TRUE(index.tasks_on(kSecond).empty());
  EXPECT_FALSE(index.by_machine().contains(kSecond));
  EXPECT_EQ(index.team_use("team").cores(), 6);
}

TEST(AssignmentIndex, UnchangedMachineKeepsItsStamp) {
  AssignmentIndex index;
  const Assignments before{{0, assigned_to(kFirst)}, {1, assigned_to(kSecond)}};
  index.update(job(), {}, before);
  const auto first_stamp = index.stamp(kFirst), second_stamp = index.stamp(kSecond);
  const auto last = index.last_stamp();
  index.update(job(), before, {{0, assigned_to(kFirst)}, {1, assigned_to(kSecond, 2)}});
  EXPECT_EQ(index.stamp(kFirst), first_stamp);
  EXPECT_NE(index.stamp(kSecond), second_stamp);
  EXPECT_NE(index.last_stamp(), last);
}

TEST(AssignmentIndex, MachineWithoutTasksHasStampZero) {
  AssignmentIndex index;
  const Assignments before{{0, assigned_to(kFirst)}};
  EXPECT_EQ(index.stamp(kFirst), 0u);
  index.update(job(), {}, before);
  const auto last = index.last_stamp();
  index.update(job(), before, {});
  EXPECT_EQ(index.stamp(kFirst), 0u);
  EXPECT_NE(index.last_stamp(), last);
}

TEST(AssignmentIndex, ChangeStampsAffectsOnlyTheGivenMachines) {
  AssignmentIndex index;
  index.update(job(), {}, {{0, assigned_to(kFirst)}, {1, assigned_to(kSecond)}});
  const auto first_stamp = index.stamp(kFirst), second_stamp = index.stamp(kSecond);
  index.change_stamps({{1, assigned_to(kSecond)}});
  EXPECT_EQ(index.stamp(kFirst), first_stamp);
  EXPECT_NE(index.stamp(kSecond), second_stamp);
}

TEST(AssignmentIndex, StampsAreNotReusedAfterClear) {
  AssignmentIndex index;
  index.update(job(), {}, {{0, assigned_to(kFirst)}});
  const auto before = index.stamp(kFirst);
  index.clear();
  EXPECT_EQ(index.stamp(kFirst), 0u);
  EXPECT_EQ(index.team_use("team").cores(), 0);
  index.update(job(), {}, {{0, assigned_to(kFirst)}});
  EXPECT_GT(index.stamp(kFirst), before);
}

}  // namespace saddleslip::storage

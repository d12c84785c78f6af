// Tests of the tasks that could be evicted from a machine.
#include "coordination/scheduling/evictable_tasks.h"

#include <algorithm>

#include "machine_fixture.h"

namespace saddleslip::coordination {

using protocol::TaskState;

class EvictableTasksTest : public FilledMachineFixture {
 protected:
  std::vector<base::TaskNumber> evictable() {
    std::vector<base::TaskNumber> numbers;
    for (const EvictableTask& task : tasks_.on(machine(), at(4)).tasks)
      numbers.push_back(task.id->no);
    return numbers;
  }
  storage::Machine& machine() { return registry_.at(kMachine); }
  double task_cores() const { return cache_.job(kOther)->record.spec.request.cores(); }

  using Numbers = std::vector<base::TaskNumber>;
  EvictableTasks tasks_{cache_, capacity_};
};

TEST_F(EvictableTasksTest, TasksAreInAscendingOrderOfTheWorkLost) {
  EXPECT_EQ(evictable(), (Numbers{3, 2, 1, 0}));
  EXPECT_EQ(tasks_.on(machine(), at(4)).tasks.front().work_lost, base::Seconds(1));
}

TEST_F(EvictableTasksTest, TaskThatIsBeingEvictedCountsAsAvailableCapacity) {
  const double available = tasks_.on(machine(), at(4)).available.cores();
  machine().tasks_to_evict.insert({kOther, 2});
  tasks_.forget(machine());
  EXPECT_EQ(evictable(), (Numbers{3, 1, 0}));
  EXPECT_EQ(tasks_.on(machine(), at(4)).available.cores(), available + task_cores());
}

TEST_F(EvictableTasksTest, EndedTaskIsLeftOut) {
  heartbeat_.sequence = base::Sequence(5);
  heartbeat_.tasks.clear();
  report(heartbeat_, {kOther, 0}, 1, TaskState::kRunning);
  report(heartbeat_, {kOther, 1}, 2, TaskState::kEnded);
  registry_.record_heartbeat(heartbeat_, HeartbeatSource::kAgent, at(4));
  const auto numbers = evictable();
  EXPECT_EQ(std::count(numbers.begin(), numbers.end(), 1u), 0);
}

TEST_F(EvictableTasksTest, MachineIsExaminedOnceUntilItIsForgotten) {
  EXPECT_EQ(evictable().size(), 4u);
  machine().tasks_to_evict.insert({kOther, 2});
  EXPECT_EQ(evictable().size(), 4u);
  tasks_.forget(machine());
  EXPECT_EQ(evictable().size(), 3u);
}

}  // namespace saddleslip::coordination

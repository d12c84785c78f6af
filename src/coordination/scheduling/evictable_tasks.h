// The tasks that could be evicted from each machine, collected once for many searches.
#pragma once

#include <unordered_map>
#include <vector>

#include "coordination/machines/capacity_calculator.h"
#include "storage/machine.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// A running task that could be evicted from its machine.
struct EvictableTask {
  const base::TaskId* id;
  const storage::Job* job;
  base::Seconds work_lost;  // how long it has run
};

// The evictable tasks of one machine.
struct MachineEvictableTasks {
  std::vector<EvictableTask> tasks;  // in ascending order of the work lost
  // The free capacity once the tasks that are already being stopped have ended.
  protocol::Resources available;
  // Capacity in use by tasks of low rank, which more urgent tasks may preempt.
  protocol::Resources preemptible;
};

// Collects the evictable tasks of a machine when they are first needed and keeps them, since a
// scheduling round searches all machines once for each task it frees capacity for. Jobs and
// assignments must not change while results are kept. Not safe for use from several threads at
// once.
class EvictableTasks {
 public:
  // All references must outlive this object.
  EvictableTasks(const storage::StateCache& cache, const CapacityCalculator& capacity)
      : cache_(cache), capacity_(capacity) {}

  // Returns the tasks of the machine that could be evicted. The reference is valid until the next
  // call of forget() for this machine, or of clear().
  const MachineEvictableTasks& on(const storage::Machine& machine, base::Time now);
  // Discards the result for a machine. To be called when tasks are evicted there.
  void forget(const storage::Machine& machine) { by_machine_.erase(&machine); }
  void clear() { by_machine_.clear(); }

  // Returns the resources of tasks on the machine that are being evicted and have not ended yet.
  protocol::Resources stopping_resources(const storage::Machine& machine) const;

 private:
  MachineEvictableTasks collect(const storage::Machine& machine, base::Time now) const;

  const storage::StateCache& cache_;
  const CapacityCalculator& capacity_;
  std::unordered_map<const storage::Machine*, MachineEvictableTasks> by_machine_;
};

}  // namespace saddleslip::coordination

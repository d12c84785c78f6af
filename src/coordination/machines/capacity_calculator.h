// Computes the free capacity of machines from their heartbeats and from the recorded assignments.
#pragma once

#include "coordination/machines/attempt_tracker.h"
#include "coordination/scheduling/job_priorities.h"
#include "storage/machine.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Computes and caches the capacity of machines. Not safe for use from several threads at once,
// since the result is cached in the machine.
class CapacityCalculator {
 public:
  CapacityCalculator(const storage::StateCache& cache, const JobPriorities& priorities,
                     const AttemptTracker& attempts)
      : cache_(cache), priorities_(priorities), attempts_(attempts) {}

  // Returns the machine's capacity, which is recomputed only if its last heartbeat, its assignments
  // or its evictions have changed. The reference is valid as long as the machine.
  const storage::MachineCapacity& of(const storage::Machine& machine) const;

 private:
  bool is_current(const storage::Machine& machine) const;
  storage::MachineCapacity compute(const storage::Machine& machine) const;
  // Subtracts the tasks assigned to the machine from its free capacity, and finds the ended
  // attempts.
  void add_assignments(const storage::Machine& machine, storage::MachineCapacity& capacity) const;
  // Subtracts the attempts that the machine reports but that are not assigned to it.
  void add_unassigned_attempts(const storage::Machine& machine,
                               storage::MachineCapacity& capacity) const;

  const storage::StateCache& cache_;
  const JobPriorities& priorities_;
  const AttemptTracker& attempts_;
};

}  // namespace saddleslip::coordination

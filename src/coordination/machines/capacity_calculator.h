// What machines can still take, by their heartbeats and by the records.
#pragma once

#include "coordination/machines/attempt_tracker.h"
#include "coordination/scheduling/job_priorities.h"
#include "storage/machine.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Not safe for use from several threads at once: the result is kept in the machine.
class CapacityCalculator {
 public:
  CapacityCalculator(const storage::StateCache& cache, const JobPriorities& priorities,
                     const AttemptTracker& attempts)
      : cache_(cache), priorities_(priorities), attempts_(attempts) {}

  // Computed anew only when the machine's heartbeat, its assignments or its evictions have changed. The
  // reference holds as long as the machine.
  const storage::MachineCapacity& of(const storage::Machine& machine) const;

 private:
  bool is_current(const storage::Machine& machine) const;
  storage::MachineCapacity compute(const storage::Machine& machine) const;
  // Takes what is assigned to the machine off its free capacity, and finds the attempts that are over.
  void add_assignments(const storage::Machine& machine, storage::MachineCapacity& capacity) const;
  // Takes the attempts that it reports, and that are not assigned to it, off its free capacity.
  void add_unassigned_attempts(const storage::Machine& machine,
                               storage::MachineCapacity& capacity) const;

  const storage::StateCache& cache_;
  const JobPriorities& priorities_;
  const AttemptTracker& attempts_;
};

}  // namespace saddleslip::coordination

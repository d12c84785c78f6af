// Reserves machines for starving jobs in one scheduling round.
#pragma once

#include <set>
#include <vector>

#include "coordination/machines/capacity_calculator.h"
#include "coordination/machines/machine_registry.h"
#include "coordination/scheduling/capacity_reservations.h"
#include "coordination/scheduling/machine_requirement.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Reserves a machine for a starving job until one of the job's tasks fits on it. Without the
// reservation, smaller tasks would take all capacity that becomes free under sustained overload,
// and a large task would never start.
//
// Lives for one round, in which machines and assignments do not change. The machines are examined
// once, for all starving jobs. Not safe for use from several threads at once.
class StarvationReservations {
 public:
  // All references must outlive this object.
  StarvationReservations(const storage::StateCache& cache, const CapacityCalculator& capacity,
                         const MachineRegistry& machines, CapacityReservations& reservations,
                         base::Time now);

  // Reserves a machine for the job, unless it has one or no machine is suitable.
  void reserve(const protocol::JobSpec& spec);

 private:
  // A machine that accepts tasks.
  struct Candidate {
    const storage::Machine* machine;
    double free_cores;
    // The free capacity once all tasks except those of services have completed.
    protocol::Resources expected_free;
  };

  // Returns the unreserved machine with the most free cores that suits the job, or null.
  const storage::Machine* find_machine(const protocol::JobSpec& spec) const;

  const MachineRegistry& machines_;
  CapacityReservations& reservations_;
  const base::Time now_;
  std::size_t reservation_count_;      // the number of machines that are reserved for starving jobs
  std::vector<Candidate> candidates_;  // in descending order of free_cores
  std::set<base::JobId> reserved_jobs_;
  // Requirements for which no machine was found: reservations are only added in a round.
  std::set<MachineRequirement> unsuitable_;
};

}  // namespace saddleslip::coordination

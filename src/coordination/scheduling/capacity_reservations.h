// Capacity reservations: which machine is kept free of other work, for which job and until when.
//
// Without one, a large task would never find a machine under lasting overload, since smaller tasks
// take each bit of capacity that becomes free; and capacity that was freed by preemption would go
// to another job before the one it was freed for.
//
// Holds state only; takes the time as an argument. Not safe for use from several threads at once.
#pragma once

#include <map>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

class CapacityReservations {
 public:
  explicit CapacityReservations(const storage::StateCache& cache) : cache_(cache) {}

  // Reserves a machine, until a task of the job fits there, for a job that has starved.
  // Replaces a reservation that the machine has.
  void reserve_for_starving_job(const base::MachineId& machine, const base::JobId& job,
                                base::Time expires_at);
  // Reserves the capacity that is being freed by preemption. A reservation that the machine has
  // already stays as it is.
  void reserve_preempted_capacity(const base::MachineId& machine, const base::JobId& job,
                                  base::Time expires_at);

  // Ends the machine's reservation if it is for this job: one of its tasks starts there.
  void fulfil(const base::MachineId& machine, const base::JobId& job);
  // Drops what has expired, and reservations for jobs that are over or have no pending task.
  void expire(base::Time now);

  bool is_reserved(const base::MachineId& machine) const { return by_machine_.contains(machine); }
  bool is_reserved_for(const base::MachineId& machine, const base::JobId& job) const;
  // Is the machine out of bounds for this job, since it is reserved for another one?
  bool is_reserved_for_other(const base::MachineId& machine, const base::JobId& job) const;
  // The number of machines that are reserved for starving jobs.
  std::size_t starving_count() const;

 private:
  struct Reservation {
    base::JobId job;
    base::Time expires_at{};
    bool for_starving_job = false;  // rather than for capacity freed by preemption
  };

  const storage::StateCache& cache_;
  std::map<base::MachineId, Reservation> by_machine_;
};

}  // namespace saddleslip::coordination

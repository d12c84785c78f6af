// Capacity reservations: machines that accept new tasks of only one job until an expiry time.
//
// Without a reservation, a large task would never start under sustained overload, since smaller
// tasks take all capacity that becomes free, and capacity freed by preemption could go to another
// job than the one that it was freed for.
#pragma once

#include <map>
#include <optional>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

// The reservations of one controller's machines, at most one for each machine. The cache must
// outlive this object. The current time is passed as an argument. Not safe for use from several
// threads at once.
class CapacityReservations {
 public:
  explicit CapacityReservations(const storage::StateCache& cache) : cache_(cache) {}

  // Reserves a machine for a starving job until one of the job's tasks starts there. Replaces the
  // machine's current reservation, if any.
  void reserve_for_starving_job(const base::MachineId& machine, const base::JobId& job,
                                base::Time expires_at);
  // Reserves a machine on which tasks are being preempted for the job. Has no effect if the machine
  // is reserved already.
  void reserve_preempted_capacity(const base::MachineId& machine, const base::JobId& job,
                                  base::Time expires_at);

  // Ends the machine's reservation if it is for this job. To be called when a task of the job
  // starts there.
  void fulfil(const base::MachineId& machine, const base::JobId& job);
  // Removes reservations that have expired, and those for jobs that have ended or have no pending
  // task.
  void expire(base::Time now);

  bool is_reserved(const base::MachineId& machine) const { return by_machine_.contains(machine); }
  bool is_reserved_for(const base::MachineId& machine, const base::JobId& job) const;
  // Returns the job that the machine is reserved for, if any.
  std::optional<base::JobId> job_of(const base::MachineId& machine) const;
  // Returns whether the machine is reserved for a job other than this one.
  bool is_reserved_for_other(const base::MachineId& machine, const base::JobId& job) const;
  // Returns the number of machines that are reserved for starving jobs.
  std::size_t count_for_starving_jobs() const;

 private:
  struct Reservation {
    base::JobId job;
    base::Time expires_at{};
    bool for_starving_job = false;  // false: for capacity freed by preemption
  };

  const storage::StateCache& cache_;
  std::map<base::MachineId, Reservation> by_machine_;
};

}  // namespace saddleslip::coordination

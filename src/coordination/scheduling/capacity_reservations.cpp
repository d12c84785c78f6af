#include "coordination/scheduling/capacity_reservations.h"

#include <algorithm>

namespace saddleslip::coordination {

using base::JobId;
using base::MachineId;
using base::Time;

void CapacityReservations::reserve_for_starving_job(const MachineId& machine, const JobId& job,
                                                    Time expires_at) {
  by_machine_[machine] = {job, expires_at, true};
}

void CapacityReservations::reserve_preempted_capacity(const MachineId& machine, const JobId& job,
                                                      Time expires_at) {
  by_machine_.try_emplace(machine, Reservation{job, expires_at, false});
}

void CapacityReservations::fulfil(const MachineId& machine, const JobId& job) {
  const auto reservation = by_machine_.find(machine);
  if (reservation != by_machine_.end() && reservation->second.job == job) {
    by_machine_.erase(reservation);
  }
}

void CapacityReservations::expire(Time now) {
  std::erase_if(by_machine_, [&](const auto& entry) {
    const Reservation& reservation = entry.second;
    const storage::Job* job = cache_.job(reservation.job);
    return reservation.expires_at < now || !job || job->pending() == 0;
  });
}

bool CapacityReservations::is_reserved_for(const MachineId& machine, const JobId& job) const {
  const auto reservation = by_machine_.find(machine);
  return reservation != by_machine_.end() && reservation->second.job == job;
}

std::optional<JobId> CapacityReservations::job_of(const MachineId& machine) const {
  const auto reservation = by_machine_.find(machine);
  if (reservation == by_machine_.end()) return {};
  return reservation->second.job;
}

bool CapacityReservations::is_reserved_for_other(const MachineId& machine, const JobId& job) const {
  const auto reservation = by_machine_.find(machine);
  return reservation != by_machine_.end() && reservation->second.job != job;
}

std::size_t CapacityReservations::count_for_starving_jobs() const {
  return static_cast<std::size_t>(
      std::count_if(by_machine_.begin(), by_machine_.end(),
                    [](const auto& entry) { return entry.second.for_starving_job; }));
}

}  // namespace saddleslip::coordination

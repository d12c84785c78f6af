#include "coordination/scheduling/starvation_reservations.h"

#include <algorithm>

#include "base/log.h"
#include "coordination/fleet/scaling_plan.h"

namespace saddleslip::coordination {

using base::Seconds;
using base::Time;
using protocol::JobSpec;
using protocol::Resources;
using storage::Machine;

namespace {

constexpr Seconds kReservationDuration{60.0};
// At most one in this many machines is reserved for starving jobs, plus one: a reserved machine is
// partly idle.
constexpr std::size_t kMachinesPerReservation = 20;

// Returns the machine's free capacity once all its tasks except those of services have completed.
Resources expected_free(const Machine& machine, const Resources& free,
                        const storage::StateCache& cache) {
  Resources expected = free;
  for (const auto& [task, assignment] : cache.assignments_on(machine.last_heartbeat.machine)) {
    const storage::Job* job = cache.job(task.job);
    if (job && job->record.spec.kind != protocol::Kind::kService &&
        !machine.reported_ended(task, assignment)) {
      expected += job->record.spec.request;
    }
  }
  return expected;
}

}  // namespace

StarvationReservations::StarvationReservations(const storage::StateCache& cache,
                                               const CapacityCalculator& capacity,
                                               const MachineRegistry& machines,
                                               CapacityReservations& reservations, Time now)
    : machines_(machines),
      reservations_(reservations),
      now_(now),
      reservation_count_(reservations.count_for_starving_jobs()) {
  for (const auto& [id, machine] : machines) {
    if (const auto job = reservations.job_of(id)) reserved_jobs_.insert(*job);
    if (reservations.is_reserved(id) || machine.cordoned || !machines.is_schedulable(machine, now))
      continue;
    const Resources& free = capacity.of(machine).free;
    candidates_.push_back({&machine, free.cores(), expected_free(machine, free, cache)});
  }
  std::stable_sort(candidates_.begin(), candidates_.end(),
                   [](const auto& a, const auto& b) { return a.free_cores > b.free_cores; });
}

void StarvationReservations::reserve(const JobSpec& spec) {
  if (reservation_count_ > machines_.size() / kMachinesPerReservation) return;
  if (reserved_jobs_.contains(spec.id)) return;
  const MachineRequirement requirement(spec);
  if (unsuitable_.contains(requirement)) return;
  const Machine* machine = find_machine(spec);
  if (!machine) {
    unsuitable_.insert(requirement);
    return;
  }
  const base::MachineId& id = machine->last_heartbeat.machine;
  spdlog::info("capacity reserved for starving job: machine={} job={}", id.get(), spec.id.get());
  reservations_.reserve_for_starving_job(id, spec.id, base::after(now_, kReservationDuration));
  reserved_jobs_.insert(spec.id);
  ++reservation_count_;
}

const Machine* StarvationReservations::find_machine(const JobSpec& spec) const {
  const auto found =
      std::find_if(candidates_.begin(), candidates_.end(), [&](const Candidate& candidate) {
        const auto& heartbeat = candidate.machine->last_heartbeat;
        return candidate.expected_free.fits(spec.request) &&
               !reservations_.is_reserved(heartbeat.machine) &&
               may_run(spec, heartbeat.type, heartbeat.zone, heartbeat.spot);
      });
  return found == candidates_.end() ? nullptr : found->machine;
}

}  // namespace saddleslip::coordination

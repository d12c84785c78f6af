#include "coordination/machines/capacity_calculator.h"

#include <algorithm>

#include "coordination/machines/commands_due.h"

namespace saddleslip::coordination {

using protocol::TaskState;
using storage::Machine;
using storage::MachineCapacity;

const MachineCapacity& CapacityCalculator::of(const Machine& machine) const {
  if (!is_current(machine)) machine.capacity = compute(machine);
  return machine.capacity;
}

bool CapacityCalculator::is_current(const Machine& machine) const {
  MachineCapacity& capacity = machine.capacity;
  if (!capacity.known || capacity.agent_incarnation != machine.last_heartbeat.agent_incarnation ||
      capacity.sequence != machine.last_heartbeat.sequence ||
      capacity.evicted != machine.tasks_to_evict.size()) {
    return false;
  }
  if (capacity.last_stamp_checked == cache_.last_assignment_stamp()) return true;
  if (capacity.stamp != cache_.assignment_stamp(machine.last_heartbeat.machine)) return false;
  capacity.last_stamp_checked = cache_.last_assignment_stamp();
  return true;
}

MachineCapacity CapacityCalculator::compute(const Machine& machine) const {
  MachineCapacity capacity;
  const auto* type = cache_.type(machine.last_heartbeat.type);
  capacity.known = type != nullptr;
  capacity.last_stamp_checked = cache_.last_assignment_stamp();
  capacity.stamp = cache_.assignment_stamp(machine.last_heartbeat.machine);
  capacity.agent_incarnation = machine.last_heartbeat.agent_incarnation;
  capacity.sequence = machine.last_heartbeat.sequence;
  capacity.evicted = machine.tasks_to_evict.size();
  if (type) capacity.free = type->size;
  add_assignments(machine, capacity);
  add_unassigned_attempts(machine, capacity);
  capacity.has_kills_due = !kills_due(machine, cache_).empty();
  return capacity;
}

void CapacityCalculator::add_assignments(const Machine& machine, MachineCapacity& capacity) const {
  const auto& assignments = cache_.assignments_on(machine.last_heartbeat.machine);
  capacity.assigned = static_cast<std::uint32_t>(assignments.size());
  for (const auto& [task, assignment] : assignments) {
    const storage::Job* job = cache_.job(task.job);
    if (!job) continue;
    const auto& spec = job->record.spec;
    if (assignment.agent_incarnation < machine.last_heartbeat.agent_incarnation) {
      capacity.ended_attempts.push_back({task, "agent restarted", false});
      continue;
    }
    const auto* reported = machine.reported_attempt(task, assignment);
    if (reported && reported->state == TaskState::kEnded) {
      const bool is_done = reported->cause == protocol::EndCause::kDone;
      capacity.ended_attempts.push_back({task, protocol::to_string(reported->cause),
                                         is_done && spec.kind != protocol::Kind::kService});
      continue;
    }
    if (!reported && attempts_.is_never_started(task, assignment.attempt)) {
      capacity.ended_attempts.push_back({task, "never started", false});
    }
    capacity.free -= spec.request;
    const bool can_be_preempted = priorities_.rank(*job) >= protocol::Rank::kStandard;
    if (can_be_preempted && !machine.tasks_to_evict.contains(task))
      capacity.preemptible += spec.request;
  }
}

void CapacityCalculator::add_unassigned_attempts(const Machine& machine,
                                                 MachineCapacity& capacity) const {
  const auto& assignments = cache_.assignments_on(machine.last_heartbeat.machine);
  bool runs_unknown_job = false;
  for (const auto& [task, attempts] : machine.last_heartbeat.tasks) {
    const auto assignment = assignments.find(task);
    for (const auto& reported : attempts) {
      if (reported.state == TaskState::kEnded) continue;
      capacity.active = true;
      if (assignment != assignments.end() && assignment->second.attempt == reported.attempt) {
        continue;
      }
      const storage::Job* job = cache_.job(task.job);
      if (job) {
        capacity.free -= job->record.spec.request;
      } else {
        runs_unknown_job = true;
      }
    }
  }
  for (double& amount : capacity.free.amounts) amount = std::max(amount, 0.0);
  // The attempt is being stopped, and its request is unknown because its job is not known here.
  if (runs_unknown_job) capacity.free = {};
}

}  // namespace saddleslip::coordination

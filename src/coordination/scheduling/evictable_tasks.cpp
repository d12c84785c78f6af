#include "coordination/scheduling/evictable_tasks.h"

#include <algorithm>

namespace saddleslip::coordination {

using base::JobId;
using base::Seconds;
using base::TaskId;
using base::Time;
using protocol::Resources;
using storage::Job;
using storage::Machine;

const MachineEvictableTasks& EvictableTasks::on(const Machine& machine, Time now) {
  const auto [entry, is_new] = by_machine_.try_emplace(&machine);
  if (is_new) entry->second = collect(machine, now);
  return entry->second;
}

Resources EvictableTasks::stopping_resources(const Machine& machine) const {
  Resources resources;
  if (machine.tasks_to_evict.empty()) return resources;
  const auto& assignments = cache_.assignments_on(machine.last_heartbeat.machine);
  for (const TaskId& task : machine.tasks_to_evict) {
    const auto assignment = assignments.find(task);
    const Job* job = cache_.job(task.job);
    if (job && assignment != assignments.end() &&
        !machine.reported_ended(task, assignment->second)) {
      resources += job->record.spec.request;
    }
  }
  return resources;
}

MachineEvictableTasks EvictableTasks::collect(const Machine& machine, Time now) const {
  MachineEvictableTasks found;
  const storage::MachineCapacity& capacity = capacity_.of(machine);
  found.available = capacity.free;
  found.available += stopping_resources(machine);
  found.preemptible = capacity.preemptible;
  const auto& assignments = cache_.assignments_on(machine.last_heartbeat.machine);
  found.tasks.reserve(assignments.size());
  // The tasks of a job follow each other, so that each job is looked up once.
  const JobId* job_id = nullptr;
  const Job* job = nullptr;
  for (const auto& [task, assignment] : assignments) {
    if (!job_id || *job_id != task.job) {
      job_id = &task.job;
      job = cache_.job(task.job);
    }
    if (!job || job->cancelled() || machine.tasks_to_evict.contains(task) ||
        machine.reported_ended(task, assignment)) {
      continue;
    }
    const auto started_at = machine.running_since.find(task);
    const Seconds work_lost = started_at == machine.running_since.end()
                                  ? Seconds(0)
                                  : base::between(started_at->second, now);
    found.tasks.push_back({&task, job, work_lost});
  }
  std::stable_sort(found.tasks.begin(), found.tasks.end(),
                   [](const auto& a, const auto& b) { return a.work_lost < b.work_lost; });
  return found;
}

}  // namespace saddleslip::coordination

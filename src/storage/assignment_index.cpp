#include "storage/assignment_index.h"

namespace saddleslip::storage {

void AssignmentIndex::update(const protocol::JobSpec& job,
                             const std::map<TaskNo, Assignment>& before,
                             const std::map<TaskNo, Assignment>& after) {
  // Both are in the order of the task numbers: one pass over the two finds what differs.
  auto old = before.begin();
  for (const auto& [task, assignment] : after) {
    for (; old != before.end() && old->first < task; ++old) remove(job, old->first, old->second);
    if (old != before.end() && old->first == task) {
      const bool is_same = old->second == assignment;
      if (!is_same) remove(job, task, old->second);
      ++old;
      if (is_same) continue;
    }
    add(job, task, assignment);
  }
  for (; old != before.end(); ++old) remove(job, old->first, old->second);
}

void AssignmentIndex::add(const protocol::JobSpec& job, TaskNo task, const Assignment& assignment) {
  by_machine_[assignment.machine][TaskId{job.id, task}] = assignment;
  stamps_[assignment.machine] = ++last_stamp_;
  team_use_[job.team] += job.request;
}

void AssignmentIndex::remove(const protocol::JobSpec& job, TaskNo task,
                             const Assignment& assignment) {
  if (const auto on = by_machine_.find(assignment.machine); on != by_machine_.end()) {
    on->second.erase(TaskId{job.id, task});
    ++last_stamp_;
    if (on->second.empty()) {
      by_machine_.erase(on);
      stamps_.erase(assignment.machine);
    } else {
      stamps_[assignment.machine] = last_stamp_;
    }
  }
  team_use_[job.team] -= job.request;
}

void AssignmentIndex::touch(const std::map<TaskNo, Assignment>& assignments) {
  for (const auto& [task, assignment] : assignments) stamps_[assignment.machine] = ++last_stamp_;
}

void AssignmentIndex::clear() {
  ++last_stamp_;
  by_machine_.clear();
  stamps_.clear();
  team_use_.clear();
}

const AssignmentIndex::TasksOfMachine& AssignmentIndex::on(const MachineId& machine) const {
  static const TasksOfMachine kNone;
  const auto at = by_machine_.find(machine);
  return at == by_machine_.end() ? kNone : at->second;
}

std::uint64_t AssignmentIndex::stamp(const MachineId& machine) const {
  const auto at = stamps_.find(machine);
  return at == stamps_.end() ? 0 : at->second;
}

Resources AssignmentIndex::team_use(const std::string& team) const {
  const auto at = team_use_.find(team);
  return at == team_use_.end() ? Resources{} : at->second;
}

}  // namespace saddleslip::storage

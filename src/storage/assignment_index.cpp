#include "storage/assignment_index.h"

namespace saddleslip::storage {

void AssignmentIndex::update(const protocol::JobSpec& job,
                             const std::map<TaskNumber, Assignment>& before,
                             const std::map<TaskNumber, Assignment>& after) {
  // Both maps are sorted by task number, so a single pass finds the differences.
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

void AssignmentIndex::add(const protocol::JobSpec& job, TaskNumber task,
                          const Assignment& assignment) {
  by_machine_[assignment.machine][TaskId{job.id, task}] = assignment;
  stamps_[assignment.machine] = ++last_stamp_;
  team_use_[job.team] += job.request;
}

void AssignmentIndex::remove(const protocol::JobSpec& job, TaskNumber task,
                             const Assignment& assignment) {
  if (const auto entry = by_machine_.find(assignment.machine); entry != by_machine_.end()) {
    entry->second.erase(TaskId{job.id, task});
    ++last_stamp_;
    if (entry->second.empty()) {
      by_machine_.erase(entry);
      stamps_.erase(assignment.machine);
    } else {
      stamps_[assignment.machine] = last_stamp_;
    }
  }
  team_use_[job.team] -= job.request;
}

void AssignmentIndex::change_stamps(const std::map<TaskNumber, Assignment>& assignments) {
  for (const auto& [task, assignment] : assignments) stamps_[assignment.machine] = ++last_stamp_;
}

void AssignmentIndex::clear() {
  ++last_stamp_;
  by_machine_.clear();
  stamps_.clear();
  team_use_.clear();
}

const AssignmentIndex::TasksOfMachine& AssignmentIndex::tasks_on(const MachineId& machine) const {
  static const TasksOfMachine kNone;
  const auto found = by_machine_.find(machine);
  return found == by_machine_.end() ? kNone : found->second;
}

std::uint64_t AssignmentIndex::stamp(const MachineId& machine) const {
  const auto found = stamps_.find(machine);
  return found == stamps_.end() ? 0 : found->second;
}

Resources AssignmentIndex::team_use(const std::string& team) const {
  const auto found = team_use_.find(team);
  return found == team_use_.end() ? Resources{} : found->second;
}

}  // namespace saddleslip::storage

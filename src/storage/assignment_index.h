#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "storage/names.h"

namespace saddleslip::storage {

// An index of the tasks assigned to each machine and of the resources that each team uses.
//
// Each machine with assigned tasks has a stamp, which changes whenever the tasks of the machine
// change. A reader that caches a value computed from these tasks compares stamps to see whether the
// value is still valid.
//
// Not thread-safe.
class AssignmentIndex {
 public:
  using TasksOfMachine = std::map<TaskId, Assignment>;

  // Replaces the assignments `before` of the job's tasks by `after`, both keyed by task number.
  // Only machines whose tasks differ are changed: a record of many tasks is often written for a few
  // of them, and readers recompute their values for each machine that changes here.
  void update(const protocol::JobSpec& job, const std::map<TaskNumber, Assignment>& before,
              const std::map<TaskNumber, Assignment>& after);

  // Changes the stamps of the machines that these tasks are assigned to. For changes of whether the
  // tasks should keep running, with the assignments unchanged.
  void change_stamps(const std::map<TaskNumber, Assignment>& assignments);

  // Removes all assignments. Stamps are not reused.
  void clear();

  // Returns the tasks assigned to the machine. The reference is valid until the next change.
  const TasksOfMachine& tasks_on(const MachineId& machine) const;
  // Returns the assigned tasks of all machines that have any.
  const std::map<MachineId, TasksOfMachine>& by_machine() const { return by_machine_; }

  // Returns the machine's stamp, or 0 if no task is assigned to it.
  std::uint64_t stamp(const MachineId& machine) const;
  // Returns a value that changes whenever the tasks of any machine change.
  std::uint64_t last_stamp() const { return last_stamp_; }

  // Returns the resources requested by all assigned tasks of the team.
  Resources team_use(const std::string& team) const;

 private:
  void add(const protocol::JobSpec& job, TaskNumber task, const Assignment& assignment);
  void remove(const protocol::JobSpec& job, TaskNumber task, const Assignment& assignment);

  std::map<MachineId, TasksOfMachine> by_machine_;  // machines without tasks have no entry
  std::unordered_map<MachineId, std::uint64_t> stamps_;
  std::uint64_t last_stamp_ = 0;
  std::map<std::string, Resources> team_use_;
};

}  // namespace saddleslip::storage

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "storage/names.h"

namespace saddleslip::storage {

// The tasks assigned to each machine, and the resources that each team's tasks take.
//
// Every machine with assigned tasks has a stamp, which changes with each change of its tasks: a
// reader that keeps what it worked out for a machine can tell at once whether that still holds.
//
// Not safe for use from several threads at once.
class AssignmentIndex {
 public:
  using TasksOfMachine = std::map<TaskId, Assignment>;

  // Assignments of the job's tasks, by task number, were `before` and are `after`. Touches only the
  // machines of tasks whose assignment differs: a record of many tasks is written for a few of them,
  // and each machine that changes here is worked out anew by its readers.
  void update(const protocol::JobSpec& job, const std::map<TaskNo, Assignment>& before,
              const std::map<TaskNo, Assignment>& after);

  // Changes the stamp of each machine that these tasks are assigned to: whether they are to run on
  // has changed, though not where.
  void touch(const std::map<TaskNo, Assignment>& assignments);

  // Forgets all assignments. Stamps given before are not given again.
  void clear();

  // The tasks assigned to the machine. The reference is valid until the next change.
  const TasksOfMachine& on(const MachineId& machine) const;
  // All machines with assigned tasks.
  const std::map<MachineId, TasksOfMachine>& by_machine() const { return by_machine_; }

  // The machine's stamp; 0: no task is assigned to it.
  std::uint64_t stamp(const MachineId& machine) const;
  // Changes with every change of any machine's tasks.
  std::uint64_t last_stamp() const { return last_stamp_; }

  // The resources requested by all assigned tasks of the team.
  Resources team_use(const std::string& team) const;

 private:
  void add(const protocol::JobSpec& job, TaskNo task, const Assignment& assignment);
  void remove(const protocol::JobSpec& job, TaskNo task, const Assignment& assignment);

  std::map<MachineId, TasksOfMachine> by_machine_;  // no entry is empty
  std::unordered_map<MachineId, std::uint64_t> stamps_;
  std::uint64_t last_stamp_ = 0;
  std::map<std::string, Resources> team_use_;
};

}  // namespace saddleslip::storage

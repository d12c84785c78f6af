#include "coordination/machines/commands_due.h"

#include <algorithm>

namespace saddleslip::coordination {

namespace {

using base::Seconds;
using base::TaskId;
using protocol::Assignment;
using protocol::Command;
using protocol::ReportedAttempt;
using protocol::TaskState;
using storage::Machine;
using storage::StateCache;

constexpr Seconds kCheckpointSaveMargin{1.0};  // added to the save time that the job requests

// Returns whether the reported attempt is the one that is assigned for the task.
bool is_assigned(const std::map<TaskId, Assignment>& assignments, const TaskId& task,
                 const ReportedAttempt& reported) {
  const auto at = assignments.find(task);
  return at != assignments.end() && at->second.attempt == reported.attempt;
}

// Adds commands by which the agent removes ended attempts from its reports. An attempt may be
// removed only once its end is recorded and no copy of its start command can still arrive: the
// agent would run it again.
void add_forgets(const Machine& machine, const std::map<TaskId, Assignment>& assignments,
                 std::vector<Command>& commands) {
  if (!machine.is_fenced()) return;
  for (const auto& [task, attempts] : machine.last_heartbeat.tasks) {
    for (const ReportedAttempt& reported : attempts) {
      if (reported.state == TaskState::kEnded && !is_assigned(assignments, task, reported)) {
        commands.push_back({Command::Op::kForget, task, reported.attempt, {}});
      }
    }
  }
}

// Returns whether the machine's last heartbeat contains the assigned attempt.
bool has_reported(const Machine& machine, const TaskId& task, const Assignment& assignment) {
  return machine.reported_attempt(task, assignment) != nullptr;
}

// Adds start commands for the assigned attempts that the machine has not reported.
void add_starts(const Machine& machine, const std::map<TaskId, Assignment>& assignments,
                const StateCache& cache, std::vector<Command>& commands) {
  for (const auto& [task, assignment] : assignments) {
    if (assignment.agent_incarnation != machine.last_heartbeat.agent_incarnation ||
        machine.tasks_to_evict.contains(task)) {
      continue;
    }
    const storage::Job* job = cache.job(task.job);
    if (!job || job->cancelled() || has_reported(machine, task, assignment)) continue;
    commands.push_back({Command::Op::kRun, task, assignment.attempt, {}});
  }
}

}  // namespace

std::vector<Command> kills_due(const Machine& machine, const StateCache& cache) {
  std::vector<Command> kills;
  const auto& assignments = cache.assignments_on(machine.last_heartbeat.machine);
  for (const auto& [task, attempts] : machine.last_heartbeat.tasks) {
    const storage::Job* job = cache.job(task.job);
    for (const ReportedAttempt& reported : attempts) {
      if (reported.state == TaskState::kEnded) continue;
      const bool is_wanted = job && !job->cancelled() && is_assigned(assignments, task, reported);
      if (is_wanted && !machine.tasks_to_evict.contains(task)) continue;
      const bool saves_checkpoint = is_wanted && job->record.spec.checkpoint.count() > 0;
      if (saves_checkpoint && reported.state == TaskState::kSaving) continue;
      const Seconds grace =
          saves_checkpoint ? job->record.spec.save + kCheckpointSaveMargin : Seconds(0);
      kills.push_back({Command::Op::kKill, task, reported.attempt, grace});
    }
  }
  return kills;
}

std::vector<Command> commands_due(const Machine& machine, bool has_kills, const StateCache& cache) {
  std::vector<Command> commands;
  if (has_kills) commands = kills_due(machine, cache);
  const auto& assignments = cache.assignments_on(machine.last_heartbeat.machine);
  add_forgets(machine, assignments, commands);
  add_starts(machine, assignments, cache, commands);
  return commands;
}

}  // namespace saddleslip::coordination

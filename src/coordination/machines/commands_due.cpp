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

constexpr Seconds kSaveMargin{1.0};  // beyond the time that the job asks for

bool is_assigned(const std::map<TaskId, Assignment>& assignments, const TaskId& task,
                 const ReportedAttempt& reported) {
  const auto at = assignments.find(task);
  return at != assignments.end() && at->second.attempt == reported.attempt;
}

// Attempts that are over are forgotten only once their end is on record and no copy of their start can
// arrive any more: the agent would run them again.
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

bool has_heard_of(const Machine& machine, const TaskId& task, const Assignment& assignment) {
  return machine.reported_attempt(task, assignment) != nullptr;
}

void add_starts(const Machine& machine, const std::map<TaskId, Assignment>& assignments,
                const StateCache& cache, std::vector<Command>& commands) {
  for (const auto& [task, assignment] : assignments) {
    if (assignment.agent_incarnation != machine.last_heartbeat.agent_incarnation ||
        machine.evict.contains(task)) {
      continue;
    }
    const storage::Job* job = cache.job(task.job);
    if (!job || job->cancelled() || has_heard_of(machine, task, assignment)) continue;
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
      const bool job_wants_it =
          job && !job->cancelled() && is_assigned(assignments, task, reported);
      if (job_wants_it && !machine.evict.contains(task)) continue;
      const bool saves = job_wants_it && job->record.spec.checkpoint.count() > 0;
      if (saves && reported.state == TaskState::kSaving) continue;
      const Seconds grace = saves ? job->record.spec.save + kSaveMargin : Seconds(0);
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

#include "coordination/machines/attempt_tracker.h"

namespace saddleslip::coordination {

namespace {

constexpr base::Seconds kKillRetryInterval{2.0};

}  // namespace

// Once the machine is fenced, a start command that the agent has not received can no longer reach
// it: every heartbeat response that carried the command was received or dropped before this
// heartbeat was sent, and command batches are fenced by their token. The start is not sent again
// either, because the job is cancelled or the task is evicted. An evicted attempt that was not
// marked here would stay assigned to a machine whose agent never reports it.
void AttemptTracker::mark_never_started(const storage::Machine& machine) {
  if (!machine.is_fenced()) return;
  const protocol::Heartbeat& heartbeat = machine.last_heartbeat;
  for (const auto& [task, assignment] : cache_.assignments_on(heartbeat.machine)) {
    const storage::Job* job = cache_.job(task.job);
    const bool is_unwanted = job && (job->cancelled() || machine.tasks_to_evict.contains(task));
    if (is_unwanted && assignment.agent_incarnation == heartbeat.agent_incarnation &&
        !heartbeat.tasks.contains(task)) {
      never_started_[task] = assignment.attempt;
    }
  }
}

bool AttemptTracker::is_never_started(const base::TaskId& task, base::Attempt attempt) const {
  const auto at = never_started_.find(task);
  return at != never_started_.end() && at->second == attempt;
}

bool AttemptTracker::may_send_kill(const base::TaskId& task, base::Attempt attempt,
                                   base::Time now) {
  return kill_sent_at_.try_emplace({task, attempt}, now).second;
}

void AttemptTracker::expire_kills(base::Time now) {
  std::erase_if(kill_sent_at_, [&](const auto& entry) {
    return base::between(entry.second, now) > kKillRetryInterval;
  });
}

base::Time AttemptTracker::note_completion(const base::TaskId& task, base::Time now) {
  return completion_seen_at_.try_emplace(task, now).first->second;
}

std::optional<base::Time> AttemptTracker::completion_seen_at(const base::TaskId& task) const {
  const auto at = completion_seen_at_.find(task);
  if (at == completion_seen_at_.end()) return {};
  return at->second;
}

void AttemptTracker::keep_completions(const std::set<base::TaskId>& tasks) {
  std::erase_if(completion_seen_at_,
                [&](const auto& entry) { return !tasks.contains(entry.first); });
}

void AttemptTracker::forget(const base::TaskId& task) {
  never_started_.erase(task);
  completion_seen_at_.erase(task);
}

void AttemptTracker::forget_finished_jobs() {
  std::erase_if(never_started_, [&](const auto& entry) { return !cache_.job(entry.first.job); });
}

}  // namespace saddleslip::coordination

// Data on attempts that is not stored in the state service: which attempts can never start, which
// kill commands were sent, and which completions wait to be recorded.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "storage/machine.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Tracks the attempts on the machines of this controller. Holds state only; not safe for use from
// several threads at once.
class AttemptTracker {
 public:
  explicit AttemptTracker(const storage::StateCache& cache) : cache_(cache) {}

  // Marks the unwanted attempts on the machine whose start command has not reached the agent and
  // can no longer reach it. Requires that the machine's last heartbeat was not the reply to a
  // command.
  void mark_never_started(const storage::Machine& machine);
  // Returns whether the attempt was marked as one that can never start.
  bool is_never_started(const base::TaskId& task, base::Attempt attempt) const;
  // Removes all these marks. Must be called when the view changes, since another controller may
  // have started the attempts in the meantime.
  void forget_never_started() { never_started_.clear(); }

  // Returns whether a kill command for the attempt may be sent now, and if so, marks it as sent.
  // False while an earlier kill command may still be in flight.
  bool may_send_kill(const base::TaskId& task, base::Attempt attempt, base::Time now);
  // Removes the kill commands that may be sent again.
  void expire_kills(base::Time now);

  // Records that the task's completion was seen, and returns when it was first seen.
  base::Time note_completion(const base::TaskId& task, base::Time now);
  // Returns when the task's completion was first seen; none if it was not seen.
  std::optional<base::Time> completion_seen_at(const base::TaskId& task) const;
  // Removes the completions of all tasks that are not in `tasks`.
  void keep_completions(const std::set<base::TaskId>& tasks);

  // Removes the data on the task, whose completion is now recorded.
  void forget(const base::TaskId& task);
  // Removes the data on attempts of jobs that no longer exist.
  void forget_finished_jobs();

 private:
  const storage::StateCache& cache_;
  std::map<base::TaskId, base::Attempt> never_started_;
  std::map<std::pair<base::TaskId, base::Attempt>, base::Time> kill_sent_at_;
  std::map<base::TaskId, base::Time> completion_seen_at_;
};

}  // namespace saddleslip::coordination

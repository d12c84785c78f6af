// What this controller knows of attempts beyond the records: which ones can never start, which kills it
// has sent, and which completions wait to be recorded.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "storage/machine.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Holds state only; not safe for use from several threads at once.
class AttemptTracker {
 public:
  explicit AttemptTracker(const storage::StateCache& cache) : cache_(cache) {}

  // Marks the unwanted attempts that the machine has not heard of, and never will. Requires that the
  // machine's last heartbeat was not the reply to a command.
  void note_heartbeat(const storage::Machine& machine);
  bool is_never_started(const base::TaskId& task, base::Attempt attempt) const;
  // The view changed: another controller may have started them meanwhile.
  void forget_never_started() { never_started_.clear(); }

  // May the kill be sent now? Not again while the one before may still be on its way. True counts as
  // sent.
  bool may_send_kill(const base::TaskId& task, base::Attempt attempt, base::Time now);
  // Forgets the kills that may be repeated now.
  void expire_kills(base::Time now);

  // When the task's completion was first seen: now, if it was not seen before.
  base::Time note_completion(const base::TaskId& task, base::Time now);
  std::optional<base::Time> completion_seen_at(const base::TaskId& task) const;
  // Forgets the completions of all other tasks.
  void keep_completions(const std::set<base::TaskId>& tasks);

  // The task's completion is on record.
  void forget(const base::TaskId& task);
  // Forgets attempts of jobs that are no more.
  void forget_finished_jobs();

 private:
  const storage::StateCache& cache_;
  std::map<base::TaskId, base::Attempt> never_started_;
  std::map<std::pair<base::TaskId, base::Attempt>, base::Time> kill_sent_at_;
  std::map<base::TaskId, base::Time> completion_seen_at_;
};

}  // namespace saddleslip::coordination

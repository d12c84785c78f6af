// Collects the changes that one scheduling round makes to task records into a single transaction,
// within the limits of the state service. The transaction is based on the records in the state
// cache, and each record's cached version is a precondition of its commit.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

// The task record changes of one round. The settings and the cache must outlive the batch, and the
// cache must not change while the batch exists. Not safe for use from several threads at once.
class RecordBatch {
 public:
  RecordBatch(const base::Settings& settings, const storage::StateCache& cache)
      : settings_(settings), cache_(cache) {}

  // Returns whether the task is assigned to a machine, including the changes in this batch.
  bool is_assigned(const storage::Job& job, base::TaskNumber task) const;
  // Returns whether the task is done, including the changes in this batch.
  bool is_done(const storage::Job& job, base::TaskNumber task) const;
  // Returns whether the batch already writes the record that holds this task.
  bool writes_record_of(const storage::Job& job, base::TaskNumber task) const;

  // The end of an attempt: the task is done, or must be started again.
  struct TaskCompletion {
    base::TaskNumber task = 0;
    bool done = false;
  };
  // Returns whether the task record, with these completions, stays within the state service's limit
  // on the size of a value. A record that was written under a larger limit can exceed the current
  // one until enough of its tasks have completed.
  bool fits_with_completions(const storage::Job& job, std::uint32_t chunk,
                             const std::vector<TaskCompletion>& completions) const;

  // Records that an attempt has ended: the task is done, or returns to the waiting tasks. Returns
  // false if the job is unknown or the transaction is full.
  bool add_completion(const base::TaskId& task, bool done);
  // Records the start of a task and returns the number of its attempt. Returns nullopt if the job
  // may not start, or if the transaction or the task record is full.
  std::optional<base::Attempt> add_start(const base::TaskId& task, protocol::Assignment assignment);

  // Returns whether a change was rejected because the transaction is full.
  bool is_full() const { return is_full_; }
  bool empty() const { return edits_.empty(); }
  // Builds the transaction. Its commit fails if the membership view has another version than
  // `view`. The transaction also finalizes each job whose last completion is in the batch.
  protocol::Transaction build(const protocol::ControllerIncarnation& self, base::Version view,
                              double time_of_day) const;

 private:
  // Identifies a task record: it holds a chunk of a job's consecutive tasks, or a piece of a chunk
  // if the job's chunks are split.
  struct ChunkId {
    base::JobId job;
    std::uint32_t chunk = 0;
    auto operator<=>(const ChunkId&) const = default;
  };
  // The changed copy of a task record.
  struct RecordEdit {
    const storage::Job* job = nullptr;
    protocol::ChunkRecord record;
    bool has_starts = false;
  };

  const RecordEdit* find_edit(const storage::Job& job, base::TaskNumber task) const;
  RecordEdit* find_or_add_edit(const storage::Job& job, base::TaskNumber task);
  std::size_t write_count() const { return edits_.size() + team_keys_.size() + job_keys_.size(); }
  bool record_fits_start(const storage::Job& job, base::TaskNumber task,
                         const protocol::Assignment& assignment) const;
  std::set<base::JobId> finalized_jobs() const;
  static void guard_unsplit_chunk(protocol::Transaction& transaction, const storage::Job& job,
                                  std::uint32_t piece);
  void add_serialization_keys(protocol::Transaction& transaction,
                              const protocol::ControllerIncarnation& self) const;

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  std::map<ChunkId, RecordEdit> edits_;
  // Keys that serialize starts: every transaction that starts tasks of the team or job writes its
  // key, so that of two concurrent ones only one commits.
  std::set<std::string> team_keys_;  // of teams with a quota
  std::set<std::string> job_keys_;   // of jobs with zone constraints
  std::size_t estimated_bytes_ = 0;  // size of the transaction
  bool is_full_ = false;             // a change was rejected
};

}  // namespace saddleslip::coordination

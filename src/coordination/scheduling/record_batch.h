// Collects what one round changes in the records of tasks into a single transaction, within the limits
// of the state service. The records are those of the state cache; each is guarded by its version.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Lives for one round. The settings and the cache must outlive it, and the cache must not change
// meanwhile. Not safe for use from several threads at once.
class RecordBatch {
 public:
  RecordBatch(const base::Settings& settings, const storage::StateCache& cache)
      : settings_(settings), cache_(cache) {}

  // The state of a task with what this batch changes.
  bool is_assigned(const storage::Job& job, base::TaskNo no) const;
  bool is_done(const storage::Job& job, base::TaskNo no) const;
  // Does the batch write the record of this task already?
  bool writes_record_of(const storage::Job& job, base::TaskNo no) const;

  struct TaskCompletion {
    base::TaskNo no = 0;
    bool done = false;
  };
  // Would the record fit into a value of the store with these completions? One that was written under a
  // larger limit may have to wait for more of them.
  bool fits_with_completions(const storage::Job& job, std::uint32_t chunk,
                             const std::vector<TaskCompletion>& completions) const;

  // Records that an attempt is over: the task is done, or is to be started again. Returns false if the
  // job is unknown or the transaction is full.
  bool add_completion(const base::TaskId& task, bool done);
  // Records the start of a task. Returns the number of the attempt; none if the job may not start, or if
  // the transaction or the record is full.
  std::optional<base::Attempt> add_start(const base::TaskId& task, protocol::Assignment assignment);

  // Was a change refused since the transaction is full?
  bool is_overfull() const { return is_overfull_; }
  bool empty() const { return edits_.empty(); }
  // The transaction; its commit fails unless the view has that version. A job whose last completion is
  // in the batch is finalized by it.
  protocol::Transaction build(const protocol::ControllerIncarnation& self, base::Version view,
                              double time_of_day) const;

 private:
  struct ChunkId {
    base::JobId job;
    std::uint32_t chunk = 0;
    auto operator<=>(const ChunkId&) const = default;
  };
  struct Edit {
    const storage::Job* job = nullptr;
    protocol::ChunkRecord record;
    bool has_starts = false;
  };

  const Edit* find(const storage::Job& job, base::TaskNo no) const;
  Edit* edit(const storage::Job& job, base::TaskNo no);
  std::size_t writes() const { return edits_.size() + team_keys_.size() + job_keys_.size(); }
  bool record_fits_start(const storage::Job& job, base::TaskNo no,
                         const protocol::Assignment& assignment) const;
  std::set<base::JobId> finalized_jobs() const;
  static void guard_whole_chunk(protocol::Transaction& txn, const storage::Job& job,
                                std::uint32_t piece);
  void add_serialization_keys(protocol::Transaction& txn,
                              const protocol::ControllerIncarnation& self) const;

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  std::map<ChunkId, Edit> edits_;
  // Keys that every transaction with such a start writes, so that no two of them commit side by side:
  std::set<std::string> team_keys_;  // of teams with a quota
  std::set<std::string> job_keys_;   // of jobs whose tasks share or avoid zones
  std::size_t bytes_ = 0;            // estimated size of the transaction
  bool is_overfull_ = false;
};

}  // namespace saddleslip::coordination

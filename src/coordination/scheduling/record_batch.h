// Collects what one round changes in the tasks' records into a single transaction, within the limits
// of the state service. The records are those of the local copy: each is guarded by its version.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

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
  // Would the record of these tasks fit into a value of the store, once these ends are put on it? One that
  // was written under a larger limit may have to wait for more ends.
  bool fits_with_completions(const storage::Job& job, std::uint32_t chunk,
                             const std::vector<TaskCompletion>& completions) const;

  // A task is over, completed or to be started again. False: the transaction has no room for it.
  bool add_completion(const base::TaskId& task, bool done);
  // A task starts. None: the transaction has no room for it; else the attempt's number.
  std::optional<base::Attempt> add_start(const base::TaskId& task, protocol::Assignment assignment);

  // Was something turned away for want of room?
  bool turned_away() const { return turned_away_; }
  bool empty() const { return edits_.empty(); }
  // The transaction: holds only under the view of that version. A job whose last end is in the batch
  // leaves with it.
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
  std::size_t writes() const { return edits_.size() + teams_.size() + serialized_.size(); }
  bool has_room_for_start(const storage::Job& job, base::TaskNo no,
                          const protocol::Assignment& assignment) const;
  std::set<base::JobId> finalized_jobs() const;
  static void guard_whole_chunk(protocol::Transaction& txn, const storage::Job& job,
                                std::uint32_t piece);
  void add_rows(protocol::Transaction& txn, const protocol::ControllerIncarnation& self) const;

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  std::map<ChunkId, Edit> edits_;
  std::set<std::string> teams_;       // keys of the rows of teams with a limit that start tasks
  std::set<std::string> serialized_;  // ... of jobs whose starts stand in a row
  std::size_t bytes_ = 0;
  bool turned_away_ = false;
};

}  // namespace saddleslip::coordination

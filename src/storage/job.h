#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "storage/names.h"
#include "storage/record_layout.h"

namespace saddleslip::storage {

// The task record of a chunk of consecutive tasks, or of a piece of a chunk, as last read from the
// state service. The version is 0 if the record does not exist there.
struct Chunk {
  ChunkRecord record;
  Version version;
};

// An unfinished job: its job record, its task records, and state derived from them.
//
// Only the state cache modifies a job; other code has const access. Not thread-safe.
struct Job {
  // Creates the job from its record, with no task started. `now` is when this process first saw it.
  Job(JobRecord job_record, Version record_version, Time now);

  // --- Cancellation and dependencies

  // Returns whether the cancellation of this job, or of a job that it depends on, is in the state
  // service. Responses to users and writes to the state service depend on this value.
  bool cancelled_on_record() const { return record.cancelled || dependency_cancelled; }
  // Returns whether the tasks of the job must stop and no more may start: it is cancelled in the
  // state service, or another controller announced its cancellation.
  bool cancelled() const { return cancelled_on_record() || cancellation_announced; }
  // Returns the time from which the tasks could have started, in seconds since 1970.
  double startable_since() const { return std::max(record.submitted_at, unblocked_at); }

  // --- Tasks. A task number must be below the number of the job's tasks.

  // Returns the number of tasks that could start now.
  TaskNumber pending() const {
    return cancelled() || blocked ? 0 : record.spec.tasks - done - assigned;
  }
  // Returns whether the task is completed.
  bool is_done(TaskNumber task) const {
    const std::uint32_t number = record.chunk_of(task);
    return chunks[number].record.done[task - record.first_task(number)];
  }
  // Returns the machine and attempt that the task is assigned to, or null if it is not assigned.
  // Valid until the task record changes.
  const Assignment* assignment(TaskNumber task) const {
    const auto& assignments = chunks[record.chunk_of(task)].record.assigned;
    const auto found = assignments.find(task);
    return found == assignments.end() ? nullptr : &found->second;
  }

  // --- Task records

  // Returns the first task that the task record `chunks[number]` covers.
  TaskNumber chunk_first(std::size_t number) const {
    return record.first_task(static_cast<std::uint32_t>(number));
  }
  // Returns the number of tasks that the task record `chunks[number]` covers.
  TaskNumber chunk_size(std::size_t number) const {
    return record.tasks_of(static_cast<std::uint32_t>(number));
  }
  // Returns the keys in the state service of all task records that the job has or may have.
  std::vector<std::string> task_record_keys() const;

  // --- Modifications, only by the state cache

  // Replaces the job's record with a newer one. Keeps dependencies that were read from separate
  // dependency lists.
  void update_record(JobRecord newer, Version newer_version);
  // Replaces `chunks[number]` and updates the counts of completed and assigned tasks.
  void replace_chunk(std::size_t number, Chunk chunk, Time now);
  // Returns whether the job's record says that the chunks are split into pieces and this has not
  // been done here yet.
  bool has_pending_split() const { return record.piece_size != 0 && unsplit_chunks.empty(); }
  // Moves the chunks to `unsplit_chunks` and creates empty task records for their pieces.
  // `piece_of_unsplit_chunk` returns the initial contents of each piece.
  void split_chunks();
  // Returns the contents of a piece that has no record of its own, taken from the record of its
  // unsplit chunk. Requires split chunks.
  ChunkRecord piece_of_unsplit_chunk(std::uint32_t piece) const;

  // --- State

  JobRecord record;
  Version version;  // version of the job's record in the state service
  // The task records in use: one for each chunk, or for each piece if the job's record says that
  // the chunks are split.
  std::vector<Chunk> chunks;
  // The records of the unsplit chunks, or empty if the chunks are not split. No task is started
  // from these records.
  std::vector<Chunk> unsplit_chunks;
  // The number of completed tasks.
  TaskNumber done = 0;
  // The number of tasks assigned to machines.
  TaskNumber assigned = 0;
  Time first_seen_at{};     // when this process first saw the job
  Time last_progress_at{};  // when this process last saw one of its task records change
  // Another controller has announced that the cancellation of this job is committed, and the watch
  // has not delivered it yet.
  bool cancellation_announced = false;
  // A job that it depends on, directly or transitively, is cancelled in the state service. This
  // cancels the job regardless of its own record.
  bool dependency_cancelled = false;
  // The job waits for its dependencies, so none of its tasks may start.
  bool blocked = false;
  // When the last of its dependencies was done, in seconds since 1970; 0 if not known.
  double unblocked_at = 0;
};

}  // namespace saddleslip::storage

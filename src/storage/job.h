#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "storage/names.h"
#include "storage/record_layout.h"

namespace saddleslip::storage {

// A task record as last read from the store. Version 0: the store has no such record.
struct Chunk {
  ChunkRecord record;
  Version version;
};

// A job that is not over: its own record, the records of its tasks, and what follows from them.
//
// Only the state cache changes a job; all others get it as const, and ask. Not safe for use from
// several threads at once.
struct Job {
  // A job as its record says, with no task started yet. `now` is when this process first saw it.
  Job(JobRecord job_record, Version record_version, Time now);

  // --- Cancellation and dependencies

  // Is the cancellation of this job, or of one that it depends on, in the store? What users are told
  // and what is written goes by this.
  bool cancelled_on_record() const { return record.cancelled || dependency_cancelled; }
  // Must none of its tasks run any more?
  bool cancelled() const { return cancelled_on_record() || notify_cancelled; }
  // Since when its tasks could have started, in seconds since 1970.
  double startable_since() const { return std::max(record.submitted, unblocked_at); }

  // --- Tasks. A task number must be below the number of the job's tasks.

  // How many tasks could start now.
  TaskNo pending() const {
    return cancelled() || blocked ? 0 : record.spec.tasks - done - assigned;
  }
  bool is_done(TaskNo task) const {
    const std::uint32_t number = record.chunk_of(task);
    return chunks[number].record.done[task - record.first_task(number)];
  }
  // The machine and attempt that the task is assigned to; nullptr: none. Valid until the task's
  // record changes.
  const Assignment* assignment(TaskNo task) const {
    const auto& assignments = chunks[record.chunk_of(task)].record.assigned;
    const auto at = assignments.find(task);
    return at == assignments.end() ? nullptr : &at->second;
  }

  // --- Task records

  // The first task of the record `chunks[number]`, and how many it covers.
  TaskNo chunk_first(std::size_t number) const {
    return record.first_task(static_cast<std::uint32_t>(number));
  }
  TaskNo chunk_size(std::size_t number) const {
    return record.tasks_of(static_cast<std::uint32_t>(number));
  }
  // Store keys of all task records that the job has or may have.
  std::vector<std::string> task_record_keys() const;

  // --- For the state cache alone

  // Takes a newer record of the job. Dependencies that were read from lists of their own are kept.
  void update_record(JobRecord newer, Version newer_version);
  // Puts `chunks[number]` in the place of what is there, and counts its tasks anew.
  void replace_chunk(std::size_t number, Chunk chunk, Time now);
  // Does its record say that chunks are divided, while they have not been divided here?
  bool must_divide() const { return record.piece != 0 && whole.empty(); }
  // Moves the chunks to `whole` and makes room for their pieces, all of them without any task
  // assigned or done: `piece_of_whole` says what they begin with.
  void divide();
  // A piece, which has no record of its own, as the undivided chunk's record says. Requires divided
  // chunks.
  ChunkRecord piece_of_whole(std::uint32_t piece) const;

  // --- State

  JobRecord record;
  Version version;  // of the job's own record
  // The task records in use: chunks, or pieces of them if the job's record says so.
  std::vector<Chunk> chunks;
  // The records of the undivided chunks, if they are divided now; empty otherwise. No task starts by
  // these any more.
  std::vector<Chunk> whole;
  TaskNo done = 0;
  TaskNo assigned = 0;
  Time seen{};              // when this process first saw the job
  Time last_progress_at{};  // when a task of it last began or ended, as far as this process saw
  // Another controller has announced that its cancellation is committed; this copy does not show it
  // yet.
  bool notify_cancelled = false;
  // A job that it depends on, directly or through others, is cancelled in the store: so is this one,
  // whatever its own record says.
  bool dependency_cancelled = false;
  // It waits for other jobs; none of its tasks may start.
  bool blocked = false;
  // When the last job that it depended on was done, in seconds since 1970; 0: not known.
  double unblocked_at = 0;
};

}  // namespace saddleslip::storage

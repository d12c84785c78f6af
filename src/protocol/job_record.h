// The job record, which exists from the submission until the job reaches its final state, and the
// tombstone that replaces it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "protocol/base_types.h"
#include "protocol/dependency_lists.h"
#include "protocol/job_spec.h"
#include "protocol/task_records.h"
#include "protocol/user_responses.h"

namespace saddleslip::protocol {

// Format of the stored records in which the chunks of a job may be split into pieces. Format 1,
// which a missing format number stands for, has unsplit chunks only.
inline constexpr std::uint64_t kFormatWithPieces = 2;
// The latest format of the stored records that this version of the program can read.
inline constexpr std::uint64_t kFormat = kFormatWithPieces;

// The record of a job. The states of the job's tasks are stored in task records, each of which
// holds a chunk of `chunk_size` tasks. If such a record exceeds the size limit of a value in the
// state service, every chunk is split into pieces of `piece_size` tasks, and each piece gets a task
// record. Task records are numbered from 0: by chunk, or by piece if the chunks are split.
struct JobRecord {
  JobSpec spec;
  std::optional<DependencyLists> dependency_lists;  // if set, `spec` lacks the dependencies
  // Time of the submission in seconds since 1970, by the clock of the controller that accepted the
  // job.
  double submitted_at = 0;
  bool cancelled = false;
  TaskNumber chunk_size = kMaxChunkTasks;  // tasks per chunk
  TaskNumber piece_size = 0;               // tasks per piece; 0: the chunks are not split

  // Returns the number of task records per chunk: 1 if the chunks are not split.
  std::uint32_t pieces_of_chunk() const;
  // Returns the number of the task record that holds the task.
  std::uint32_t chunk_of(TaskNumber task) const;
  // Returns the number of task records. Requires a job with at least one task.
  std::size_t chunks() const;
  // Returns the number of the first task in the task record `record_number`.
  TaskNumber first_task(std::uint32_t record_number) const;
  // Returns how many tasks the task record `record_number` holds.
  TaskNumber tasks_of(std::uint32_t record_number) const;
  // Returns the key of the task record `record_number` in the state service.
  std::string record_key(std::uint32_t record_number) const;
};

Json to_json(const JobRecord& record);
// Parses a job record; nullopt if the value is malformed.
std::optional<JobRecord> parse_job(const Json& value);

// The tombstone of a job: how and when it ended. It never changes once written.
struct FinalState {
  JobStatus status = JobStatus::kDone;  // kDone or kCancelled
  // When the tombstone was written, in seconds since 1970; 0: unknown, as versions before 0.2 did
  // not record it.
  double recorded_at = 0;
};

Json to_json(const FinalState& final_state);
// Parses a tombstone; nullopt if the value is malformed.
std::optional<FinalState> parse_final_state(const Json& value);

}  // namespace saddleslip::protocol

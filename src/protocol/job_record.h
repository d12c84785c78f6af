// The record of a job, from its submission until it is final, and its tombstone after that.
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

// Format 1, or none told: whole chunks only; 2: also pieces of them.
inline constexpr std::uint64_t kFormatWithPieces = 2;
// The latest format that this version reads.
inline constexpr std::uint64_t kFormat = kFormatWithPieces;

// A job's tasks are divided into records of `chunk` tasks. Where these turn out too large for a value
// of the store, each chunk is split into pieces of `piece` tasks. The records are numbered from 0:
// chunks, or pieces if the chunks are split.
struct JobRecord {
  JobSpec spec;
  std::optional<DependencyLists> dependency_lists;  // where the dependencies are, if not in `spec`
  double submitted = 0;  // seconds since 1970 by the clock of the controller that accepted the job
  bool cancelled = false;
  TaskNo chunk = kMostChunk;
  TaskNo piece = 0;  // 0: the chunks are not split

  std::uint32_t pieces_of_chunk() const;
  // The number of the record that holds this task.
  std::uint32_t chunk_of(TaskNo task) const;
  // The number of records. Requires a job of at least one task.
  std::size_t chunks() const;
  // The first task of a record, and the number of its tasks.
  TaskNo first_task(std::uint32_t number) const;
  TaskNo tasks_of(std::uint32_t number) const;
  // The store's key of a record.
  std::string record_key(std::uint32_t number) const;
};

Json to_json(const JobRecord& job);
// None if the value is malformed.
std::optional<JobRecord> parse_job(const Json& value);

// The tombstone of a job: how it ended. It never changes.
struct FinalState {
  JobStatus status = JobStatus::kDone;  // kDone or kCancelled
  // When this was recorded, in seconds since 1970; 0: not told (versions before 0.2).
  double at = 0;
};

Json to_json(const FinalState& state);
// None if the value is malformed.
std::optional<FinalState> parse_final(const Json& value);

}  // namespace saddleslip::protocol

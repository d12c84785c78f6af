#include "protocol/job_record.h"

#include <algorithm>

#include "protocol/store_keys.h"
#include "protocol/wire_fields.h"

namespace saddleslip::protocol {

namespace {

// JSON field names of job records.
constexpr const char* kSubmission = "s";
constexpr const char* kSubmittedAt = "at";
constexpr const char* kDependencyLists = "n";
constexpr const char* kIsCancelled = "w";  // "w" stands for withdrawn
constexpr const char* kChunkSize = "c";    // omitted if it is kMaxChunkTasks
constexpr const char* kPieceSize = "p";    // omitted if the chunks are not split

// JSON field names of tombstones, and the values of the field kFinalStatus.
constexpr const char* kFinalStatus = "f";
constexpr const char* kFinalAt = "at";
constexpr const char* kFinalDone = "d";
constexpr const char* kFinalCancelled = "w";

// Reads a number of tasks from 1 to `max` into `size`; leaves `size` unchanged if the field is
// missing. Returns false if the field is malformed.
bool read_task_count(const Json& value, const char* field, TaskNumber max, TaskNumber& size) {
  const auto entry = value.find(field);
  if (entry == value.end()) return true;
  if (!entry->is_number_unsigned() || *entry < 1u || *entry > max) return false;
  size = entry->get<TaskNumber>();
  return true;
}

}  // namespace

std::uint32_t JobRecord::pieces_of_chunk() const {
  return piece_size == 0 ? 1 : (chunk_size + piece_size - 1) / piece_size;
}

std::uint32_t JobRecord::chunk_of(TaskNumber task) const {
  const TaskNumber piece_in_chunk = piece_size == 0 ? 0 : task % chunk_size / piece_size;
  return task / chunk_size * pieces_of_chunk() + piece_in_chunk;
}

std::size_t JobRecord::chunks() const {
  return chunk_of(spec.tasks - 1) + std::size_t{1};
}

TaskNumber JobRecord::first_task(std::uint32_t number) const {
  return number / pieces_of_chunk() * chunk_size + number % pieces_of_chunk() * piece_size;
}

TaskNumber JobRecord::tasks_of(std::uint32_t number) const {
  const TaskNumber first = first_task(number);
  const TaskNumber remaining = std::min(chunk_size - first % chunk_size, spec.tasks - first);
  return piece_size == 0 ? remaining : std::min(piece_size, remaining);
}

std::string JobRecord::record_key(std::uint32_t number) const {
  return piece_size == 0 ? chunk_record_key(spec.id, number) : piece_record_key(spec.id, number);
}

Json to_json(const JobRecord& job) {
  Json json = {{kSubmission, to_json(job.spec)}, {kSubmittedAt, job.submitted_at}};
  if (job.dependency_lists) {
    json[kSubmission].erase(wire::kDependencies);
    json[kDependencyLists] = to_json(*job.dependency_lists);
  }
  if (job.cancelled) json[kIsCancelled] = true;
  if (job.chunk_size != kMaxChunkTasks) json[kChunkSize] = job.chunk_size;
  if (job.piece_size != 0) json[kPieceSize] = job.piece_size;
  return json;
}

std::optional<JobRecord> parse_job(const Json& value) {
  if (!value.is_object() || !value.contains(kSubmission)) return {};
  auto spec = parse_job_spec(value.at(kSubmission));
  if (!std::holds_alternative<JobSpec>(spec)) return {};
  JobRecord job;
  job.spec = std::get<JobSpec>(std::move(spec));
  job.submitted_at = value.value(kSubmittedAt, 0.0);
  job.cancelled = value.value(kIsCancelled, false);
  if (const auto lists = value.find(kDependencyLists); lists != value.end()) {
    job.dependency_lists = parse_dependency_lists(*lists);
    if (!job.dependency_lists) return {};
  }
  if (!read_task_count(value, kChunkSize, kMaxChunkTasks, job.chunk_size)) return {};
  if (!read_task_count(value, kPieceSize, job.chunk_size, job.piece_size)) return {};
  return job;
}

Json to_json(const FinalState& state) {
  const char* status = state.status == JobStatus::kDone ? kFinalDone : kFinalCancelled;
  Json json = {{kFinalStatus, status}};
  if (state.recorded_at > 0) json[kFinalAt] = state.recorded_at;
  return json;
}

std::optional<FinalState> parse_final_state(const Json& value) {
  if (!value.is_object()) return {};
  FinalState state;
  const auto status = value.find(kFinalStatus);
  const bool is_done = status != value.end() && *status == kFinalDone;
  state.status = is_done ? JobStatus::kDone : JobStatus::kCancelled;
  if (const auto at = value.find(kFinalAt); at != value.end() && at->is_number()) {
    state.recorded_at = at->get<double>();
  }
  return state;
}

}  // namespace saddleslip::protocol

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

TaskNumber JobRecord::first_task(std::uint32_t record_number) const {
  return record_number / pieces_of_chunk() * chunk_size +
         record_number % pieces_of_chunk() * piece_size;
}

TaskNumber JobRecord::tasks_of(std::uint32_t record_number) const {
  const TaskNumber first = first_task(record_number);
  const TaskNumber remaining = std::min(chunk_size - first % chunk_size, spec.tasks - first);
  return piece_size == 0 ? remaining : std::min(piece_size, remaining);
}

std::string JobRecord::record_key(std::uint32_t record_number) const {
  return piece_size == 0 ? chunk_record_key(spec.id, record_number)
                         : piece_record_key(spec.id, record_number);
}

Json to_json(const JobRecord& record) {
  Json json = {{kSubmission, to_json(record.spec)}, {kSubmittedAt, record.submitted_at}};
  if (record.dependency_lists) {
    json[kSubmission].erase(wire::kDependencies);
    json[kDependencyLists] = to_json(*record.dependency_lists);
  }
  if (record.cancelled) json[kIsCancelled] = true;
  if (record.chunk_size != kMaxChunkTasks) json[kChunkSize] = record.chunk_size;
  if (record.piece_size != 0) json[kPieceSize] = record.piece_size;
  return json;
}

std::optional<JobRecord> parse_job(const Json& value) {
  if (!value.is_object() || !value.contains(kSubmission)) return {};
  auto spec = parse_job_spec(value.at(kSubmission));
  if (!std::holds_alternative<JobSpec>(spec)) return {};
  JobRecord record;
  record.spec = std::get<JobSpec>(std::move(spec));
  record.submitted_at = value.value(kSubmittedAt, 0.0);
  record.cancelled = value.value(kIsCancelled, false);
  if (const auto lists = value.find(kDependencyLists); lists != value.end()) {
    record.dependency_lists = parse_dependency_lists(*lists);
    if (!record.dependency_lists) return {};
  }
  if (!read_task_count(value, kChunkSize, kMaxChunkTasks, record.chunk_size)) return {};
  if (!read_task_count(value, kPieceSize, record.chunk_size, record.piece_size)) return {};
  return record;
}

Json to_json(const FinalState& final_state) {
  const char* status = final_state.status == JobStatus::kDone ? kFinalDone : kFinalCancelled;
  Json json = {{kFinalStatus, status}};
  if (final_state.recorded_at > 0) json[kFinalAt] = final_state.recorded_at;
  return json;
}

std::optional<FinalState> parse_final_state(const Json& value) {
  if (!value.is_object()) return {};
  FinalState final_state;
  const auto status = value.find(kFinalStatus);
  const bool is_done = status != value.end() && *status == kFinalDone;
  final_state.status = is_done ? JobStatus::kDone : JobStatus::kCancelled;
  if (const auto at = value.find(kFinalAt); at != value.end() && at->is_number()) {
    final_state.recorded_at = at->get<double>();
  }
  return final_state;
}

}  // namespace saddleslip::protocol

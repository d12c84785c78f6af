#include "protocol/task_records.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace saddleslip::protocol {

namespace {

// JSON field names of task records. Adjacent tasks in the same state are encoded as one run.
constexpr const char* kNextAttempt = "n";
constexpr const char* kDoneRuns = "d";  // [offset, count]
// Adjacent tasks with the same assignment: [offset, count, machine, attempt, agent incarnation].
constexpr const char* kAssignedRuns = "h";

// Sizes of the parts of an encoded task record, in bytes.
constexpr std::size_t kFrameBytes = 64;  // the JSON object and the next attempt number
constexpr std::size_t kAssignmentPunctuationBytes = 9;  // brackets, commas and quotes
constexpr std::size_t kDoneRunPunctuationBytes = 4;     // brackets and commas
constexpr std::size_t kOffsetDigits = 3;  // maximum for an offset or a number of tasks
// An estimate that is used only to choose the chunk size. When a record is written, the bytes of
// its actual assignments are counted instead.
constexpr std::size_t kExpectedAssignmentBytes = 36;

// Returns the number of decimal digits of `number`.
std::size_t digit_count(std::uint64_t number) {
  return std::to_string(number).size();
}

// A run of adjacent tasks in a record. The offset counts from the first task of the record.
struct Run {
  TaskNumber offset = 0;
  TaskNumber count = 0;
};

// Parses a run in a record of `tasks` tasks; nullopt if it reaches beyond the end of the record.
// Throws Json::exception if the value is not a run.
std::optional<Run> parse_run(const Json& value, TaskNumber tasks) {
  const Run run{value.at(0).get<TaskNumber>(), value.at(1).get<TaskNumber>()};
  if (run.offset > tasks || run.count > tasks - run.offset) return {};
  return run;
}

// Encodes the tasks that are done as runs.
Json encode_done_runs(const std::vector<bool>& done) {
  Json runs = Json::array();
  for (std::size_t offset = 0; offset < done.size();) {
    if (!done[offset]) {
      ++offset;
      continue;
    }
    std::size_t count = 1;
    while (offset + count < done.size() && done[offset + count]) ++count;
    runs.push_back({offset, count});
    offset += count;
  }
  return runs;
}

// Encodes the assignments as runs of adjacent tasks with the same assignment.
Json encode_assigned_runs(const std::map<TaskNumber, Assignment>& assigned, TaskNumber first) {
  Json runs = Json::array();
  for (auto task = assigned.begin(); task != assigned.end();) {
    const auto& [number, assignment] = *task;
    TaskNumber count = 1;
    auto next = std::next(task);
    while (next != assigned.end() && next->first == number + count && next->second == assignment) {
      ++count;
      ++next;
    }
    runs.push_back({number - first, count, assignment.machine.get(), assignment.attempt.get(),
                    assignment.agent_incarnation.get()});
    task = next;
  }
  return runs;
}

// Parses the assignment of a run. Throws Json::exception if it is malformed.
Assignment parse_assignment(const Json& run) {
  return {MachineId(run.at(2).get<std::string>()), Attempt(run.at(3).get<std::uint64_t>()),
          AgentIncarnation(run.at(4).get<std::uint64_t>())};
}

}  // namespace

TaskNumber ChunkRecord::done_count() const {
  return static_cast<TaskNumber>(std::count(done.begin(), done.end(), true));
}

TaskNumber chunk_size(TaskNumber tasks, std::size_t partitions, std::size_t max_bytes) {
  constexpr TaskNumber kMinChunkTasks = 16;
  const std::size_t available_bytes = max_bytes > kFrameBytes ? max_bytes - kFrameBytes : 0;
  const std::size_t fitting_tasks = available_bytes / kExpectedAssignmentBytes;
  const auto max_chunk_tasks =
      static_cast<TaskNumber>(std::clamp<std::size_t>(fitting_tasks, 1, kMaxChunkTasks));
  const auto record_count = static_cast<TaskNumber>(std::max<std::size_t>(1, partitions));
  const TaskNumber preferred_tasks = (tasks + record_count - 1) / record_count;
  return std::clamp(preferred_tasks, std::min(kMinChunkTasks, max_chunk_tasks), max_chunk_tasks);
}

std::size_t encoded_size_bound(const Assignment& assignment) {
  constexpr std::size_t kCountDigits = 1;  // each assignment is counted as a run of one task
  return kAssignmentPunctuationBytes + kOffsetDigits + kCountDigits +
         assignment.machine.get().size() + digit_count(assignment.attempt.get()) +
         digit_count(assignment.agent_incarnation.get());
}

std::size_t encoded_size_bound(const ChunkRecord& chunk) {
  std::size_t bytes = kFrameBytes;
  for (const auto& [number, assignment] : chunk.assigned) bytes += encoded_size_bound(assignment);
  bool in_run = false;
  for (const bool done : chunk.done) {
    if (done && !in_run) bytes += kDoneRunPunctuationBytes + 2 * kOffsetDigits;
    in_run = done;
  }
  return bytes;
}

Json to_json(const ChunkRecord& chunk, TaskNumber first) {
  return Json{{kNextAttempt, chunk.next_attempt.get()},
              {kDoneRuns, encode_done_runs(chunk.done)},
              {kAssignedRuns, encode_assigned_runs(chunk.assigned, first)}};
}

std::optional<ChunkRecord> parse_chunk(const Json& value, TaskNumber first, TaskNumber count) {
  ChunkRecord chunk;
  chunk.done.assign(count, false);
  if (value.is_null()) return chunk;
  try {
    chunk.next_attempt = Attempt(value.at(kNextAttempt).get<std::uint64_t>());
    for (const Json& entry : value.at(kDoneRuns)) {
      const auto run = parse_run(entry, count);
      if (!run) return {};
      std::fill_n(chunk.done.begin() + run->offset, run->count, true);
    }
    for (const Json& entry : value.at(kAssignedRuns)) {
      const auto run = parse_run(entry, count);
      if (!run) return {};
      const Assignment assignment = parse_assignment(entry);
      for (TaskNumber i = 0; i < run->count; ++i) {
        chunk.assigned[first + run->offset + i] = assignment;
      }
    }
    return chunk;
  } catch (const Json::exception&) {
    return {};
  }
}

}  // namespace saddleslip::protocol

#include "protocol/task_records.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace saddleslip::protocol {

namespace {

// Fields of the record.
constexpr const char* kNextAttempt = "n";
constexpr const char* kDoneRuns = "d";  // [place, count]
// Adjacent tasks of one assignment: [place, count, machine, attempt, agent incarnation].
constexpr const char* kAssignedRuns = "h";

// Sizes in the record's encoding.
constexpr std::size_t kFrameBytes = 64;             // the object and the next attempt's number
constexpr std::size_t kAssignedPunctuation = 9;     // brackets, commas and quotes of an assignment
constexpr std::size_t kDonePunctuation = 4;         // the same of a run of tasks that are done
constexpr std::size_t kPlaceDigits = 3;             // at most, of a place or a count of tasks
constexpr std::size_t kExpectedAssignedBytes = 36;  // for planning; what is written is counted

std::size_t digits(std::uint64_t number) {
  return std::to_string(number).size();
}

// Places within a record.
struct Run {
  TaskNo place = 0;
  TaskNo count = 0;
};

// Throws Json::exception if the value is no run; none if the run does not fit into the record.
std::optional<Run> parse_run(const Json& value, TaskNo tasks) {
  const Run run{value.at(0).get<TaskNo>(), value.at(1).get<TaskNo>()};
  if (run.place > tasks || run.count > tasks - run.place) return {};
  return run;
}

Json done_runs(const std::vector<bool>& done) {
  Json runs = Json::array();
  for (std::size_t place = 0; place < done.size();) {
    if (!done[place]) {
      ++place;
      continue;
    }
    std::size_t count = 1;
    while (place + count < done.size() && done[place + count]) ++count;
    runs.push_back({place, count});
    place += count;
  }
  return runs;
}

Json assigned_runs(const std::map<TaskNo, Assignment>& assigned, TaskNo first) {
  Json runs = Json::array();
  for (auto task = assigned.begin(); task != assigned.end();) {
    const auto& [number, assignment] = *task;
    TaskNo count = 1;
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

Assignment parse_assignment(const Json& run) {
  return {MachineId(run.at(2).get<std::string>()), Attempt(run.at(3).get<std::uint64_t>()),
          AgentIncarnation(run.at(4).get<std::uint64_t>())};
}

}  // namespace

TaskNo ChunkRecord::done_count() const {
  return static_cast<TaskNo>(std::count(done.begin(), done.end(), true));
}

TaskNo chunk_size(TaskNo tasks, std::size_t partitions, std::size_t max_bytes) {
  constexpr TaskNo kMinChunk = 16;
  const std::size_t available = max_bytes > kFrameBytes ? max_bytes - kFrameBytes : 0;
  const std::size_t fitting = available / kExpectedAssignedBytes;
  const auto max_chunk = static_cast<TaskNo>(std::clamp<std::size_t>(fitting, 1, kMostChunk));
  const auto records = static_cast<TaskNo>(std::max<std::size_t>(1, partitions));
  const TaskNo wanted = (tasks + records - 1) / records;
  return std::clamp(wanted, std::min(kMinChunk, max_chunk), max_chunk);
}

std::size_t encoded_size_bound(const Assignment& assignment) {
  constexpr std::size_t kCountDigits = 1;  // counted as a run of its own
  return kAssignedPunctuation + kPlaceDigits + kCountDigits + assignment.machine.get().size() +
         digits(assignment.attempt.get()) + digits(assignment.agent_incarnation.get());
}

std::size_t encoded_size_bound(const ChunkRecord& chunk) {
  std::size_t bytes = kFrameBytes;
  for (const auto& [number, assignment] : chunk.assigned) bytes += encoded_size_bound(assignment);
  bool in_run = false;
  for (const bool done : chunk.done) {
    if (done && !in_run) bytes += kDonePunctuation + 2 * kPlaceDigits;
    in_run = done;
  }
  return bytes;
}

Json to_json(const ChunkRecord& chunk, TaskNo first) {
  return Json{{kNextAttempt, chunk.next.get()},
              {kDoneRuns, done_runs(chunk.done)},
              {kAssignedRuns, assigned_runs(chunk.assigned, first)}};
}

std::optional<ChunkRecord> parse_chunk(const Json& value, TaskNo first, TaskNo count) {
  ChunkRecord chunk;
  chunk.done.assign(count, false);
  if (value.is_null()) return chunk;
  try {
    chunk.next = Attempt(value.at(kNextAttempt).get<std::uint64_t>());
    for (const Json& entry : value.at(kDoneRuns)) {
      const auto run = parse_run(entry, count);
      if (!run) return {};
      std::fill_n(chunk.done.begin() + run->place, run->count, true);
    }
    for (const Json& entry : value.at(kAssignedRuns)) {
      const auto run = parse_run(entry, count);
      if (!run) return {};
      const Assignment assignment = parse_assignment(entry);
      for (TaskNo i = 0; i < run->count; ++i) {
        chunk.assigned[first + run->place + i] = assignment;
      }
    }
    return chunk;
  } catch (const Json::exception&) {
    return {};
  }
}

}  // namespace saddleslip::protocol

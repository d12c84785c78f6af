// Task records: which tasks of a job are done, and which are assigned to machines. Each record
// holds the tasks of one chunk of the job, or of one piece of a chunk.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// The maximum number of tasks per chunk, as a task record must fit into one value of the state
// service.
inline constexpr TaskNumber kMaxChunkTasks = 256;

// The assignment of a task to a machine: the attempt that runs, or may run, there.
struct Assignment {
  MachineId machine;
  Attempt attempt;
  AgentIncarnation agent_incarnation;  // the agent's incarnation when the attempt was assigned
  bool operator==(const Assignment&) const = default;
};

// The task record of a chunk or a piece.
struct ChunkRecord {
  // The next attempt number, which is higher than those of all attempts of this record's tasks.
  Attempt next_attempt{1};
  // Indexed by the number of the task minus the number of the first task in the record.
  std::vector<bool> done;
  std::map<TaskNumber, Assignment> assigned;  // by task number
  // Returns the number of tasks that are done.
  TaskNumber done_count() const;
};

// Returns the number of tasks per task record for a job of `tasks` tasks. It is small enough that
// there is a record for each of the partitions, and that a record fits into `max_bytes` even if
// every task is assigned to a different machine. A partition is the set of machines that one
// controller owns; controllers that write the same record conflict.
TaskNumber chunk_size(TaskNumber tasks, std::size_t partitions, std::size_t max_bytes);

// Returns an upper bound for the size of the encoded record in bytes.
std::size_t encoded_size_bound(const ChunkRecord& chunk);
// Returns an upper bound for the bytes that one more assignment adds to an encoded record.
std::size_t encoded_size_bound(const Assignment& assignment);

// Encodes a task record. `first` is the number of the first task in the record.
Json to_json(const ChunkRecord& chunk, TaskNumber first);
// Parses a task record of `count` tasks, the first of which has the number `first`. JSON null
// stands for a record that was never written. Returns nullopt if the value is malformed.
std::optional<ChunkRecord> parse_chunk(const Json& value, TaskNumber first, TaskNumber count);

}  // namespace saddleslip::protocol

// The records of a job's tasks: which are done, and which are assigned to machines. One record holds
// the tasks of a chunk, or of a piece of one.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

inline constexpr TaskNo kMostChunk = 256;  // its record must fit one value of the store

// The attempt of a task that runs, or may run, on a machine.
struct Assignment {
  MachineId machine;
  Attempt attempt;
  AgentIncarnation agent_incarnation;  // of the machine's agent when the attempt was assigned
  bool operator==(const Assignment&) const = default;
};

struct ChunkRecord {
  Attempt next{1};         // no attempt of this record's tasks has had this number or a higher one
  std::vector<bool> done;  // by place: the task's number less the record's first
  std::map<TaskNo, Assignment> assigned;  // by the task's number in the job
  TaskNo done_count() const;
};

// The number of tasks to a record. There are enough records that each of the partitions can have some
// of its own, since controllers that write the same record conflict; and no more tasks than fit into a
// value of `max_bytes` with each assigned to a machine of its own.
TaskNo chunk_size(TaskNo tasks, std::size_t partitions, std::size_t max_bytes);

// An upper bound of the bytes that the record takes in the store,
std::size_t encoded_size_bound(const ChunkRecord& chunk);
// and of what one more assignment adds to it.
std::size_t encoded_size_bound(const Assignment& assignment);

// `first`: the number of the record's first task.
Json to_json(const ChunkRecord& chunk, TaskNo first);
// `count`: the number of the record's tasks. A null value is a record that was never written. None if
// the value is malformed.
std::optional<ChunkRecord> parse_chunk(const Json& value, TaskNo first, TaskNo count);

}  // namespace saddleslip::protocol

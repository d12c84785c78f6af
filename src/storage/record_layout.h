#pragma once

#include <cstdint>

#include "storage/names.h"

namespace saddleslip::storage {

// A range of consecutive tasks of one job.
struct TaskRange {
  TaskNumber first = 0;
  TaskNumber count = 0;
  bool operator==(const TaskRange&) const = default;
};

// The layout of a job's tasks in its task records.
//
// Each task record covers a chunk of consecutive tasks. Once the chunks of a job are split, each
// record covers a piece of a chunk instead. The records of the unsplit chunks remain in the state
// service, and apply to the pieces that have no record of their own yet.
//
// Refers to the job's record, which must outlive this object.
class RecordLayout {
 public:
  explicit RecordLayout(const JobRecord& job) : job_(job) {}

  // Returns whether the chunks are split into pieces.
  bool is_split() const { return job_.piece_size != 0; }

  // Returns the number of task records in use, which are pieces if the chunks are split.
  std::uint32_t record_count() const;
  // Returns the tasks that a record in use covers.
  TaskRange tasks_of_record(std::uint32_t record) const;

  // Returns the number of chunks, whether they are split or not.
  std::uint32_t chunk_count() const;
  // Returns the tasks that a chunk covers, whether it is split or not.
  TaskRange tasks_of_chunk(std::uint32_t chunk) const;

  // Returns the number of the first piece of a chunk. Requires split chunks.
  std::uint32_t first_piece(std::uint32_t chunk) const;
  // Returns the number after the last piece of a chunk. Requires split chunks.
  std::uint32_t end_of_pieces(std::uint32_t chunk) const;

 private:
  const JobRecord& job_;
};

}  // namespace saddleslip::storage

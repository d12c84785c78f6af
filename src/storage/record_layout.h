#pragma once

#include <cstdint>

#include "storage/names.h"

namespace saddleslip::storage {

// A range of consecutive tasks of one job.
struct TaskRange {
  TaskNo first = 0;
  TaskNo count = 0;
  bool operator==(const TaskRange&) const = default;
};

// The layout of a job's tasks in its task records.
//
// Each task record covers a chunk of consecutive tasks. Once the chunks of a job are divided, each
// record covers a piece of a chunk instead. The records of the undivided chunks remain in the
// store, and apply to the pieces that have no record of their own yet.
//
// Refers to the job's record, which must outlive this object.
class RecordLayout {
 public:
  explicit RecordLayout(const JobRecord& job) : job_(job) {}

  // Returns whether the chunks are divided into pieces.
  bool is_divided() const { return job_.piece != 0; }

  // The task records in use, which are pieces if the chunks are divided: their number, and the
  // tasks that each of them covers.
  std::uint32_t record_count() const;
  TaskRange tasks_of_record(std::uint32_t record) const;

  // The chunks, divided or not: their number, and the tasks that each of them covers.
  std::uint32_t chunk_count() const;
  TaskRange tasks_of_chunk(std::uint32_t chunk) const;

  // Returns the number of the first piece of a chunk, and the number after its last piece. Requires
  // divided chunks.
  std::uint32_t first_piece(std::uint32_t chunk) const;
  std::uint32_t end_of_pieces(std::uint32_t chunk) const;

 private:
  const JobRecord& job_;
};

}  // namespace saddleslip::storage

#pragma once

#include <cstdint>

#include "storage/names.h"

namespace saddleslip::storage {

// Consecutive tasks of one job.
struct TaskRange {
  TaskNo first = 0;
  TaskNo count = 0;
  bool operator==(const TaskRange&) const = default;
};

// How the tasks of one job are spread over its task records.
//
// Each record covers a chunk of consecutive tasks. Once a job's chunks are divided, each record
// covers a piece of a chunk instead; the records of the undivided chunks stay in the store, and hold
// for the pieces that have no record of their own yet.
//
// A view of the job's record, which must outlive it.
class RecordLayout {
 public:
  explicit RecordLayout(const JobRecord& job) : job_(job) {}

  // Are the chunks divided into pieces?
  bool is_divided() const { return job_.piece != 0; }

  // The records in use: pieces if the chunks are divided, chunks if not.
  std::uint32_t record_count() const;
  TaskRange tasks_of_record(std::uint32_t record) const;

  // The chunks, divided or not.
  std::uint32_t chunk_count() const;
  TaskRange tasks_of_chunk(std::uint32_t chunk) const;

  // Where the chunk's pieces begin and end among the records in use. Requires divided chunks.
  std::uint32_t first_piece(std::uint32_t chunk) const;
  std::uint32_t end_of_pieces(std::uint32_t chunk) const;

 private:
  const JobRecord& job_;
};

}  // namespace saddleslip::storage

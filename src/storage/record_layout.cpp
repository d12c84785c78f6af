#include "storage/record_layout.h"

#include <algorithm>

namespace saddleslip::storage {

std::uint32_t RecordLayout::record_count() const {
  return static_cast<std::uint32_t>(job_.chunks());
}

TaskRange RecordLayout::tasks_of_record(std::uint32_t record) const {
  return {job_.first_task(record), job_.tasks_of(record)};
}

std::uint32_t RecordLayout::chunk_count() const {
  return (job_.spec.tasks + job_.chunk_size - 1) / job_.chunk_size;
}

TaskRange RecordLayout::tasks_of_chunk(std::uint32_t chunk) const {
  const TaskNumber first = chunk * job_.chunk_size;
  return {first, std::min(job_.chunk_size, job_.spec.tasks - first)};
}

std::uint32_t RecordLayout::first_piece(std::uint32_t chunk) const {
  return chunk * job_.pieces_of_chunk();
}

std::uint32_t RecordLayout::end_of_pieces(std::uint32_t chunk) const {
  // The last chunk may be shorter and then has fewer pieces.
  return std::min(first_piece(chunk + 1), record_count());
}

}  // namespace saddleslip::storage

#include "storage/job.h"

#include <utility>

namespace saddleslip::storage {

namespace {

// Returns the task records of a job before any of its tasks has started.
std::vector<Chunk> unstarted_chunks(const RecordLayout& layout) {
  std::vector<Chunk> chunks(layout.record_count());
  for (std::uint32_t number = 0; number < chunks.size(); ++number)
    chunks[number].record.done.assign(layout.tasks_of_record(number).count, false);
  return chunks;
}

}  // namespace

Job::Job(JobRecord job_record, Version record_version, Time now)
    : record(std::move(job_record)), version(record_version), first_seen_at(now) {
  const RecordLayout layout(record);
  chunks = unstarted_chunks(layout);
  if (layout.is_split()) unsplit_chunks.resize(layout.chunk_count());
}

std::vector<std::string> Job::task_record_keys() const {
  std::vector<std::string> keys;
  for (std::uint32_t number = 0; number < chunks.size(); ++number)
    keys.push_back(record.record_key(number));
  for (std::uint32_t number = 0; number < unsplit_chunks.size(); ++number)
    keys.push_back(protocol::chunk_record_key(record.spec.id, number));
  return keys;
}

void Job::update_record(JobRecord newer, Version newer_version) {
  if (newer.dependency_lists) newer.spec.dependencies = std::move(record.spec.dependencies);
  record = std::move(newer);
  version = newer_version;
}

void Job::replace_chunk(std::size_t number, Chunk chunk, Time now) {
  const ChunkRecord& old_record = chunks[number].record;
  assigned -= static_cast<TaskNumber>(old_record.assigned.size());
  done -= old_record.done_count();
  chunks[number] = std::move(chunk);
  const ChunkRecord& new_record = chunks[number].record;
  assigned += static_cast<TaskNumber>(new_record.assigned.size());
  done += new_record.done_count();
  last_progress_at = now;
}

void Job::split_chunks() {
  unsplit_chunks = std::move(chunks);
  chunks = unstarted_chunks(RecordLayout(record));
  assigned = 0;
  done = 0;
}

ChunkRecord Job::piece_of_unsplit_chunk(std::uint32_t piece) const {
  const RecordLayout layout(record);
  const std::uint32_t chunk = piece / record.pieces_of_chunk();
  const TaskRange tasks = layout.tasks_of_record(piece);
  const TaskNumber offset = tasks.first - layout.tasks_of_chunk(chunk).first;
  const ChunkRecord& chunk_record = unsplit_chunks[chunk].record;
  ChunkRecord piece_record;
  piece_record.next_attempt = chunk_record.next_attempt;
  piece_record.done.assign(chunk_record.done.begin() + offset,
                           chunk_record.done.begin() + offset + tasks.count);
  piece_record.assigned.insert(chunk_record.assigned.lower_bound(tasks.first),
                               chunk_record.assigned.lower_bound(tasks.first + tasks.count));
  return piece_record;
}

}  // namespace saddleslip::storage

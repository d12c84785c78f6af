// Tests of a job and of the state derived from its records.
#include "storage/job.h"

#include <gtest/gtest.h>

namespace saddleslip::storage {

namespace {

const MachineId kMachine("i-1");

// Returns the record of a job with 150 tasks in chunks of 100.
JobRecord record(TaskNumber piece_size = 0) {
  JobRecord result;
  result.spec.id = JobId("run-000001");
  result.spec.tasks = 150;
  result.chunk_size = 100;
  result.piece_size = piece_size;
  return result;
}

Chunk chunk(TaskNumber count, const std::vector<TaskNumber>& done,
            const std::vector<TaskNumber>& assigned) {
  Chunk result{{}, Version(2)};
  result.record.done.assign(count, false);
  for (const TaskNumber offset : done) result.record.done[offset] = true;
  for (const TaskNumber task : assigned)
    result.record.assigned[task] = {kMachine, Attempt(1), base::AgentIncarnation(1)};
  return result;
}

}  // namespace

TEST(Job, NewJobHasEveryTaskPending) {
  const Job job(record(), Version(1), Time{});
  EXPECT_EQ(job.chunks.size(), 2u);
  EXPECT_EQ(job.pending(), 150u);
  EXPECT_FALSE(job.is_done(149));
  EXPECT_EQ(job.assignment(149), nullptr);
}

TEST(Job, ReplacingAChunkUpdatesTheCounts) {
  Job job(record(), Version(1), Time{});
  job.replace_chunk(1, chunk(50, {0, 1}, {102}), Time{std::chrono::seconds(5)});
  EXPECT_EQ(job.pending(), 147u);
  EXPECT_TRUE(job.is_done(101));
  ASSERT_NE(job.assignment(102), nullptr);
  EXPECT_EQ(job.assignment(102)->machine, kMachine);
  EXPECT_EQ(job.last_progress_at, Time{std::chrono::seconds(5)});
  job.replace_chunk(1, chunk(50, {0, 1, 2}, {}), Time{});
  EXPECT_EQ(job.done, 3u);
  EXPECT_EQ(job.assigned, 0u);
}

TEST(Job, NothingIsPendingWhileBlockedOrCancelled) {
  Job job(record(), Version(1), Time{});
  job.blocked = true;
  EXPECT_EQ(job.pending(), 0u);
  job.blocked = false;
  job.cancellation_announced = true;
  EXPECT_EQ(job.pending(), 0u);
  EXPECT_TRUE(job.cancelled());
  EXPECT_FALSE(job.cancelled_on_record());
  job.dependency_cancelled = true;
  EXPECT_TRUE(job.cancelled_on_record());
}

TEST(Job, PiecesStartFromTheUnsplitChunk) {
  Job job(record(), Version(1), Time{});
  job.replace_chunk(1, chunk(50, {0, 41}, {142}), Time{});
  job.update_record(record(40), Version(3));
  ASSERT_TRUE(job.has_pending_split());
  job.split_chunks();
  EXPECT_FALSE(job.has_pending_split());
  EXPECT_EQ(job.chunks.size(), 5u);
  EXPECT_EQ(job.unsplit_chunks.size(), 2u);
  EXPECT_EQ(job.done, 0u);
  const ChunkRecord last = job.piece_of_unsplit_chunk(4);  // tasks 140 to 149
  EXPECT_EQ(last.done_count(), 1u);
  EXPECT_TRUE(last.done[1]);
  EXPECT_TRUE(last.assigned.contains(142));
}

TEST(Job, TaskRecordKeysIncludePiecesAndUnsplitChunks) {
  const Job job(record(40), Version(1), Time{});
  const auto keys = job.task_record_keys();
  ASSERT_EQ(keys.size(), 7u);
  EXPECT_EQ(keys.front(), protocol::piece_record_key(job.record.spec.id, 0));
  EXPECT_EQ(keys.back(), protocol::chunk_record_key(job.record.spec.id, 1));
}

// Dependencies that were read from separate lists are not part of any job record, so an update must
// keep them.
TEST(Job, UpdateKeepsDependenciesFromSeparateLists) {
  JobRecord first = record();
  first.dependency_lists = protocol::DependencyLists{"set", 1};
  Job job(first, Version(1), Time{});
  job.record.spec.dependencies = {JobId("run-000000")};
  job.update_record(first, Version(2));
  EXPECT_EQ(job.record.spec.dependencies.size(), 1u);
  EXPECT_EQ(job.version, Version(2));
}

}  // namespace saddleslip::storage

// Tests of the layout of a job's tasks in its task records.
#include "storage/record_layout.h"

#include <gtest/gtest.h>

namespace saddleslip::storage {

namespace {

// Returns a job of 150 tasks in chunks of 100, which are split into pieces if `piece_size` is not
// 0.
JobRecord job_of_two_chunks(TaskNumber piece_size) {
  JobRecord job;
  job.spec.tasks = 150;
  job.chunk_size = 100;
  job.piece_size = piece_size;
  return job;
}

}  // namespace

TEST(RecordLayout, UnsplitRecordsAreTheChunks) {
  const JobRecord job = job_of_two_chunks(0);
  const RecordLayout layout(job);
  EXPECT_FALSE(layout.is_split());
  EXPECT_EQ(layout.record_count(), 2u);
  EXPECT_EQ(layout.chunk_count(), 2u);
  EXPECT_EQ(layout.tasks_of_record(0), (TaskRange{0, 100}));
  EXPECT_EQ(layout.tasks_of_record(1), (TaskRange{100, 50}));
  EXPECT_EQ(layout.tasks_of_chunk(1), (TaskRange{100, 50}));
}

TEST(RecordLayout, PiecesDoNotCrossChunks) {
  const JobRecord job = job_of_two_chunks(40);  // pieces of 40 + 40 + 20 and 40 + 10 tasks
  const RecordLayout layout(job);
  EXPECT_TRUE(layout.is_split());
  EXPECT_EQ(layout.record_count(), 5u);
  EXPECT_EQ(layout.tasks_of_record(2), (TaskRange{80, 20}));
  EXPECT_EQ(layout.tasks_of_record(3), (TaskRange{100, 40}));
  EXPECT_EQ(layout.tasks_of_record(4), (TaskRange{140, 10}));
  EXPECT_EQ(layout.tasks_of_chunk(1), (TaskRange{100, 50}));
}

TEST(RecordLayout, ShortLastChunkHasFewerPieces) {
  const JobRecord job = job_of_two_chunks(40);
  const RecordLayout layout(job);
  EXPECT_EQ(layout.first_piece(0), 0u);
  EXPECT_EQ(layout.end_of_pieces(0), 3u);
  EXPECT_EQ(layout.first_piece(1), 3u);
  EXPECT_EQ(layout.end_of_pieces(1), 5u);
}

}  // namespace saddleslip::storage

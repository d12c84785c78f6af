// Tests of the finalization, splitting and garbage collection of job records.
#include <gtest/gtest.h>

#include "coordination/membership/view.h"
#include "coordination/records/finalization.h"
#include "coordination/records/garbage_collection.h"
#include "coordination/records/record_splitting.h"

namespace saddleslip::coordination {

namespace {

using base::TaskNumber;
using base::Time;
using base::Version;
using protocol::JobStatus;
using protocol::Json;

const Version kView(2);

class RecordMaintenance : public ::testing::Test {
 protected:
  RecordMaintenance() : cache_(settings_) {
    View view;
    view.epoch = Epoch(1);
    view.members = {self_};
    cache_.apply({protocol::kViewKey, to_json(view), kView}, Time{});
  }

  void add_job(const JobId& id, TaskNumber tasks, bool cancelled = false) {
    protocol::JobRecord record;
    record.spec.id = id;
    record.spec.job_class = "c";
    record.spec.team = "t";
    record.spec.image = "img";
    record.spec.tasks = tasks;
    record.spec.request.amounts = {1, 0, 1};
    record.chunk_size = tasks;
    record.cancelled = cancelled;
    cache_.apply({protocol::job_key(id), to_json(record), next_version()}, Time{});
    cache_.advance_to(base::Revision(version_));
  }
  void add_tasks(const JobId& id, std::vector<bool> done,
                 std::map<TaskNumber, protocol::Assignment> assigned = {}) {
    protocol::ChunkRecord record;
    record.done = std::move(done);
    record.assigned = std::move(assigned);
    cache_.apply({protocol::chunk_record_key(id, 0), to_json(record, 0), next_version()}, Time{});
  }
  Version next_version() { return Version(++version_); }
  void announce_format(std::uint64_t format) {
    cache_.apply({protocol::kFormatKey, Json(format), next_version()}, Time{});
  }
  std::optional<protocol::Transaction> finalize() const {
    return finalize_one_job(cache_, self_, settings_, 1000);
  }
  std::optional<protocol::Transaction> split() const {
    return split_one_record(cache_, self_, kView, settings_);
  }

  base::Settings settings_;
  storage::StateCache cache_;
  const ControllerIncarnation self_{MemberId("a"), base::Incarnation(1)};
  const ControllerIncarnation other_{MemberId("b"), base::Incarnation(1)};
  const JobId job_{"run-000001"};
  const protocol::Assignment assignment_{MachineId("i-1"), base::Attempt(1),
                                         base::AgentIncarnation(1)};
  std::uint64_t version_ = 2;
};

}  // namespace

TEST_F(RecordMaintenance, CompletedJob_IsReplacedByItsFinalState) {
  add_job(job_, 2);
  add_tasks(job_, {true, true});
  const auto transaction = finalize();
  ASSERT_TRUE(transaction);
  EXPECT_EQ(transaction->preconditions.at(protocol::job_key(job_)), cache_.job(job_)->version);
  EXPECT_TRUE(transaction->preconditions.contains(protocol::chunk_record_key(job_, 0)));
  cache_.apply(*transaction, base::Revision(version_ + 1), Time{});
  EXPECT_EQ(cache_.job(job_), nullptr);
  EXPECT_EQ(cache_.final_state(job_)->status, JobStatus::kDone);
  EXPECT_EQ(cache_.final_state(job_)->recorded_at, 1000);
}

TEST_F(RecordMaintenance, JobWithUnfinishedTask_IsNotFinalized) {
  add_job(job_, 2);
  add_tasks(job_, {true, false});
  EXPECT_FALSE(finalize());
}

// Tasks on a machine count towards the team's quota, also those of a cancelled job, so the job must
// stay until they end.
TEST_F(RecordMaintenance, CancelledJobWithAssignedTask_IsFinalizedOnceTheTaskEnds) {
  add_job(job_, 2, true);
  add_tasks(job_, {false, false}, {{0, assignment_}});
  EXPECT_FALSE(finalize());
  add_tasks(job_, {false, false});
  const auto transaction = finalize();
  ASSERT_TRUE(transaction);
  cache_.apply(*transaction, base::Revision(version_ + 1), Time{});
  EXPECT_EQ(cache_.final_state(job_)->status, JobStatus::kCancelled);
}

TEST_F(RecordMaintenance, JobOfAnotherHomeController_IsNotFinalized) {
  add_job(job_, 1);
  add_tasks(job_, {true});
  EXPECT_FALSE(finalize_one_job(cache_, other_, settings_, 1000));
}

TEST_F(RecordMaintenance, RecordsOverTheValueLimit_AreSplitIntoPiecesThatFit) {
  settings_.value_bytes = 4096;
  add_job(job_, 200);
  EXPECT_FALSE(split());  // without a recorded format, some controller may be unable to read pieces
  announce_format(protocol::kFormatWithPieces);
  EXPECT_FALSE(split_one_record(cache_, other_, kView, settings_));
  const auto transaction = split();
  ASSERT_TRUE(transaction);
  EXPECT_EQ(transaction->preconditions.at(protocol::kViewKey), kView);
  cache_.apply(*transaction, base::Revision(version_ + 1), Time{});
  const TaskNumber piece_size = cache_.job(job_)->record.piece_size;
  EXPECT_EQ(piece_size, protocol::chunk_size(200, 1, settings_.value_bytes));
  EXPECT_FALSE(split());
}

TEST_F(RecordMaintenance, RecordsThatFitOrBelongToCancelledJobs_AreNotSplit) {
  settings_.value_bytes = 4096;
  announce_format(protocol::kFormatWithPieces);
  add_job(job_, 4);
  add_job(JobId("run-000002"), 200, true);
  EXPECT_FALSE(split());
}

TEST_F(RecordMaintenance, OrphanedRecords_AreRemovedUpToTheTransactionLimit) {
  settings_.max_transaction_writes = 2;
  for (const char* id : {"run-000001", "run-000002", "run-000003"}) add_tasks(JobId(id), {true});
  EXPECT_FALSE(collect_garbage(cache_, other_, settings_));
  const auto transaction = collect_garbage(cache_, self_, settings_);
  ASSERT_TRUE(transaction);
  ASSERT_EQ(transaction->writes.size(), 2u);
  for (const auto& write : transaction->writes) {
    EXPECT_FALSE(write.value);
    EXPECT_TRUE(transaction->preconditions.contains(write.key));
  }
  // The precondition protects the records of a job that the state cache has not received yet.
  EXPECT_EQ(transaction->preconditions.at(protocol::job_key(job_)), Version(0));
  cache_.apply(*transaction, base::Revision(version_ + 1), Time{});
  EXPECT_EQ(cache_.orphans().size(), 1u);
}

}  // namespace saddleslip::coordination

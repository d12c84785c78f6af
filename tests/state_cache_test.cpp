// Tests of the state cache, which is updated by the watch, by commits and by single reads.
#include "storage/state_cache.h"

#include <gtest/gtest.h>

#include "coordination/membership/view.h"

namespace saddleslip::storage {

namespace {

protocol::JobRecord job(const std::string& id, TaskNumber tasks) {
  protocol::JobRecord job_record;
  job_record.spec.id = JobId(id);
  job_record.spec.job_class = std::string(1, 'c');
  job_record.spec.team = std::string(1, 't');
  job_record.spec.image = std::string(1, 'i');
  job_record.spec.tasks = tasks;
  job_record.spec.request.amounts = {2, 0, 1};
  job_record.chunk_size = 16;
  return job_record;
}

Item item(const protocol::JobRecord& job_record, std::uint64_t version) {
  return {protocol::job_key(job_record.spec.id), to_json(job_record), Version(version)};
}

}  // namespace

TEST(StateCache, LateReadDoesNotRestoreARemovedJob) {
  const base::Settings settings;
  StateCache cache(settings);
  const auto job_record = job("run-000001", 4);
  cache.apply(item(job_record, 5), Time{});
  cache.apply({protocol::job_key(job_record.spec.id), protocol::Json(), Version(8)}, Time{});
  cache.advance_to(Revision(9));
  // This read was answered before the removal and is applied after it.
  EXPECT_FALSE(cache.apply(item(job_record, 5), Time{}));
  EXPECT_EQ(cache.job(job_record.spec.id), nullptr);
}

// A full read lists jobs before task records. A job that is accepted in between is delivered by the
// watch, and its task record, which was read before it, must not be lost.
TEST(StateCache, TaskRecordReadBeforeItsJobIsAppliedFromTheWatch) {
  const base::Settings settings;
  StateCache cache(settings);
  const auto job_record = job("run-000001", 4);
  ChunkRecord task_record;
  task_record.done.assign(4, false);
  task_record.assigned = {{0, {MachineId("i-1"), Attempt(1), base::AgentIncarnation(1)}}};
  const Item record{protocol::chunk_record_key(job_record.spec.id, 0), to_json(task_record, 0),
                    Version(7)};
  cache.apply(record, Time{});
  EXPECT_EQ(cache.orphans().size(), 1u);
  cache.advance_to(Revision(4));
  cache.apply(item(job_record, 5), Time{});
  EXPECT_TRUE(cache.orphans().empty());
  EXPECT_TRUE(cache.apply(record, Time{}));
  EXPECT_EQ(cache.job(job_record.spec.id)->assigned, 1u);
}

TEST(StateCache, DerivedCountsFollowTheRecords) {
  const base::Settings settings;
  StateCache cache(settings);
  const auto job_record = job("run-000001", 40);
  cache.apply(item(job_record, 1), Time{});
  ASSERT_EQ(cache.job(job_record.spec.id)->chunks.size(), 3u);
  const auto apply_chunk = [&](std::uint32_t number, std::map<TaskNumber, Assignment> assignment,
                               std::uint64_t version) {
    ChunkRecord task_record;
    task_record.done.assign(cache.job(job_record.spec.id)->chunk_size(number), false);
    task_record.assigned = std::move(assignment);
    cache.apply({protocol::chunk_record_key(job_record.spec.id, number),
                 to_json(task_record, number * 16), Version(version)},
                Time{});
  };
  const Assignment first_assignment{MachineId("i-1"), Attempt(1), base::AgentIncarnation(1)};
  const Assignment second_assignment{MachineId("i-2"), Attempt(1), base::AgentIncarnation(1)};
  EXPECT_EQ(cache.assignment_stamp(first_assignment.machine), 0u);
  apply_chunk(0, {{0, first_assignment}, {1, first_assignment}}, 2);
  apply_chunk(2, {{33, second_assignment}}, 3);
  EXPECT_EQ(cache.job(job_record.spec.id)->assigned, 3u);
  EXPECT_EQ(cache.team_use("t").cores(), 6);
  EXPECT_EQ(cache.assignments_on(first_assignment.machine).size(), 2u);
  const auto before = cache.assignment_stamp(first_assignment.machine),
             second_stamp = cache.assignment_stamp(second_assignment.machine);
  apply_chunk(0, {{1, first_assignment}}, 4);
  EXPECT_NE(cache.assignment_stamp(first_assignment.machine), before);
  EXPECT_EQ(cache.assignment_stamp(second_assignment.machine), second_stamp);
  // A cancellation changes which tasks should run on each machine with a task of the job.
  auto cancelled = job_record;
  cancelled.cancelled = true;
  cache.apply(item(cancelled, 5), Time{});
  EXPECT_NE(cache.assignment_stamp(second_assignment.machine), second_stamp);
  apply_chunk(0, {}, 6);
  EXPECT_EQ(cache.assignment_stamp(first_assignment.machine), 0u);
  EXPECT_EQ(cache.team_use("t").cores(), 2);
}

// Hundreds of machines may boot at once, and the state service has refused a value over its size
// limit. The record must therefore be cut to the limit.
TEST(Records, BootingMachinesFitIntoTheValueLimit) {
  std::vector<protocol::BootingMachine> fleet;
  fleet.reserve(3000);
  for (int i = 0; i < 3000; ++i) {
    const int rental = i / 50;
    fleet.push_back({MachineId("i-" + std::to_string(100000 + i)), rental % 2 ? "small" : "big",
                     "zone-" + std::to_string(rental % 3), false, 1700000000.25 + rental});
  }
  const auto value = to_json(fleet, 16u << 10);
  EXPECT_LE(value.dump().size(), 16u * 1024);
  const auto kept = protocol::parse_fleet(value);
  ASSERT_FALSE(kept.empty());
  // The latest machines are kept; the cloud's list shows the others.
  EXPECT_EQ(kept.back().id, fleet.back().id);
  EXPECT_EQ(kept.front().id, fleet[fleet.size() - kept.size()].id);
  EXPECT_EQ(kept.front().rented_at, fleet[fleet.size() - kept.size()].rented_at);
  const std::vector<protocol::BootingMachine> smaller_fleet(fleet.begin(), fleet.begin() + 400);
  EXPECT_EQ(protocol::parse_fleet(to_json(smaller_fleet, 16u << 10)).size(), 400u);
}

// A controller that loses contact with its workers hands over all of them: one view must hold
// hundreds of overrides and still fit into its value.
TEST(Records, ViewHoldsHundredsOfOwnershipOverrides) {
  const protocol::ControllerIncarnation first_member{MemberId("stall-0"), base::Incarnation(1)},
      second_member{MemberId("stall-1"), base::Incarnation(2)};
  const std::map<MemberId, protocol::Member> members{{first_member.member, {first_member, true}},
                                                     {second_member.member, {second_member, true}}};
  for (const int claim_count : {700, 5000}) {
    std::map<MachineId, protocol::ControllerIncarnation> claims;
    for (int i = 0; i < claim_count; ++i)
      claims[MachineId("i-" + std::to_string(100000 + i))] = second_member;
    const auto view = coordination::next_view(
        members, {}, {}, claims, [](const MachineId&) { return false; }, 16u << 10);
    ASSERT_TRUE(view);
    EXPECT_LE(to_json(*view).dump().size(), 16u * 1024);
    EXPECT_GE(view->overrides.size(), 700u);
    EXPECT_EQ(protocol::parse_view(to_json(*view)), view);
    // Overrides of released machines are removed with the next view, but are not a reason for one.
    const auto unchanged_view = coordination::next_view(
        members, view, {}, {}, [](const MachineId&) { return true; }, 16u << 10);
    EXPECT_FALSE(unchanged_view);
  }
}

namespace {

// Returns the record of a job with 150 tasks in chunks of 100, which are split into pieces of 40
// if `split` is set.
Item large_job(bool split, std::uint64_t version) {
  protocol::JobRecord record = job("run-000077", 150);
  record.chunk_size = 100;
  record.piece_size = split ? 40 : 0;
  return item(record, version);
}

// Returns a record of `count` tasks from `first` on, of which the tasks in `assignment` are each
// assigned to a machine of their own.
Item tasks_record(const std::string& key, TaskNumber first, TaskNumber count, std::uint64_t next,
                  const std::vector<TaskNumber>& assignment, std::uint64_t version) {
  ChunkRecord record;
  record.next_attempt = base::Attempt(next);
  record.done.assign(count, false);
  record.done[0] = true;
  for (const TaskNumber task : assignment) {
    record.assigned[task] = {MachineId("i-" + std::to_string(task)), base::Attempt(1),
                             base::AgentIncarnation(1)};
  }
  return {key, to_json(record, first), Version(version)};
}

}  // namespace

TEST(StateCache, SplitChunkIsReadFromItsPieces) {
  base::Settings settings;
  StateCache cache(settings);
  const JobId id("run-000077");
  cache.apply(large_job(false, 1), Time{});
  cache.apply(tasks_record(protocol::chunk_record_key(id, 0), 0, 100, 5, {39, 40, 99}, 2), Time{});
  cache.apply(tasks_record(protocol::chunk_record_key(id, 1), 100, 50, 6, {149}, 3), Time{});
  cache.apply(large_job(true, 4), Time{});
  const Job* job = cache.job(id);
  ASSERT_EQ(job->chunks.size(), 5u);  // pieces of 40 + 40 + 20 and 40 + 10 tasks
  EXPECT_EQ(job->chunk_first(2), 80u);
  EXPECT_EQ(job->chunk_size(2), 20u);
  EXPECT_EQ(job->chunk_first(4), 140u);
  EXPECT_EQ(job->chunk_size(4), 10u);
  EXPECT_EQ(job->assigned, 4u);
  EXPECT_EQ(job->done, 2u);
  EXPECT_TRUE(job->is_done(100));
  EXPECT_EQ(job->chunks[1].record.next_attempt, base::Attempt(5));
  EXPECT_EQ(job->chunks[4].record.next_attempt, base::Attempt(6));
  EXPECT_EQ(cache.assignments_on(MachineId("i-40")).size(), 1u);
  // The piece now has its own record. The other pieces are still taken from the record of their
  // unsplit chunk.
  cache.apply(tasks_record(protocol::piece_record_key(id, 1), 40, 40, 7, {}, 5), Time{});
  EXPECT_TRUE(cache.assignments_on(MachineId("i-40")).empty());
  cache.apply(tasks_record(protocol::chunk_record_key(id, 0), 0, 100, 5, {40}, 6), Time{});
  EXPECT_TRUE(cache.assignments_on(MachineId("i-40")).empty())
      << "the chunk's record is older than the piece's own record";
  EXPECT_TRUE(cache.assignments_on(MachineId("i-39")).empty());
  EXPECT_EQ(job->assigned, 1u);
  // All its records become orphans once the job is finished.
  cache.apply({protocol::job_key(id), protocol::Json(), Version(7)}, Time{});
  EXPECT_EQ(cache.orphans().size(), 3u);
  EXPECT_TRUE(cache.assignments_by_machine().empty());
}

// A full read is done page by page. If a chunk is split meanwhile, the records of its pieces must
// not be lost.
TEST(StateCache, PieceReadBeforeItsChunkIsSplitIsAppliedAgain) {
  base::Settings settings;
  StateCache cache(settings);
  const JobId id("run-000077");
  cache.apply(large_job(false, 1), Time{});
  const Item piece = tasks_record(protocol::piece_record_key(id, 0), 0, 40, 9, {3}, 6);
  cache.apply(piece, Time{});
  EXPECT_EQ(cache.job(id)->assigned, 0u);
  cache.apply(large_job(true, 5), Time{});
  EXPECT_TRUE(cache.apply(piece, Time{}));
  EXPECT_EQ(cache.job(id)->chunks[0].version, Version(6));
  EXPECT_EQ(cache.job(id)->assigned, 1u);
}

}  // namespace saddleslip::storage

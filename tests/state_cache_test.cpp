// This process's copy of the store, fed from several sides at once.
#include "storage/state_cache.h"

#include <gtest/gtest.h>

#include "coordination/membership/view.h"

namespace saddleslip::storage {

namespace {

protocol::JobRecord job(const std::string& id, TaskNo tasks) {
  protocol::JobRecord j;
  j.spec.id = JobId(id);
  j.spec.job_class = std::string(1, 'c');
  j.spec.team = std::string(1, 't');
  j.spec.image = std::string(1, 'i');
  j.spec.tasks = tasks;
  j.spec.request.v = {2, 0, 1};
  j.chunk = 16;
  return j;
}

Item item(const protocol::JobRecord& j, std::uint64_t version) {
  return {protocol::job_key(j.spec.id), to_json(j), Version(version)};
}

}  // namespace

TEST(StateCache, AReadOvertakenByARemovalBringsNothingBack) {
  const base::Settings settings;
  StateCache cache(settings);
  const auto j = job("run-000001", 4);
  cache.apply(item(j, 5), Time{});
  cache.apply({protocol::job_key(j.spec.id), protocol::Json(), Version(8)}, Time{});
  cache.advance_to(Revision(9));
  // Answered before the removal, taken in after it.
  EXPECT_FALSE(cache.apply(item(j, 5), Time{}));
  EXPECT_EQ(cache.job(j.spec.id), nullptr);
}

// Jobs are read before the records of their tasks: a job that is accepted in between comes with the
// watch, and its record, which was read already, must not be lost with it.
TEST(StateCache, ARecordReadBeforeItsJobIsTakenWithTheWatch) {
  const base::Settings settings;
  StateCache cache(settings);
  const auto j = job("run-000001", 4);
  ChunkRecord r;
  r.done.assign(4, false);
  r.assigned = {{0, {MachineId("i-1"), Attempt(1), base::AgentIncarnation(1)}}};
  const Item record{protocol::chunk_key(j.spec.id, 0), to_json(r, 0), Version(7)};
  cache.apply(record, Time{});
  EXPECT_EQ(cache.orphans().size(), 1u);
  cache.advance_to(Revision(4));
  cache.apply(item(j, 5), Time{});
  EXPECT_TRUE(cache.orphans().empty());
  EXPECT_TRUE(cache.apply(record, Time{}));
  EXPECT_EQ(cache.job(j.spec.id)->assigned, 1u);
}

TEST(StateCache, KeepsItsFiguresWithTheRecords) {
  const base::Settings settings;
  StateCache cache(settings);
  const auto j = job("run-000001", 40);
  cache.apply(item(j, 1), Time{});
  ASSERT_EQ(cache.job(j.spec.id)->chunks.size(), 3u);
  const auto chunk = [&](std::uint32_t c, std::map<TaskNo, Assignment> assignment,
                         std::uint64_t version) {
    ChunkRecord r;
    r.done.assign(cache.job(j.spec.id)->chunk_size(c), false);
    r.assigned = std::move(assignment);
    cache.apply({protocol::chunk_key(j.spec.id, c), to_json(r, c * 16), Version(version)}, Time{});
  };
  const Assignment one{MachineId("i-1"), Attempt(1), base::AgentIncarnation(1)};
  const Assignment two{MachineId("i-2"), Attempt(1), base::AgentIncarnation(1)};
  EXPECT_EQ(cache.stamp(one.machine), 0u);
  chunk(0, {{0, one}, {1, one}}, 2);
  chunk(2, {{33, two}}, 3);
  EXPECT_EQ(cache.job(j.spec.id)->assigned, 3u);
  EXPECT_EQ(cache.team_use("t").cores(), 6);
  EXPECT_EQ(cache.assignments_on(one.machine).size(), 2u);
  const auto before = cache.stamp(one.machine), other = cache.stamp(two.machine);
  chunk(0, {{1, one}}, 4);
  EXPECT_NE(cache.stamp(one.machine), before);
  EXPECT_EQ(cache.stamp(two.machine), other);
  // A cancellation changes what is wanted on each machine that holds a task.
  auto cancelled = j;
  cancelled.cancelled = true;
  cache.apply(item(cancelled, 5), Time{});
  EXPECT_NE(cache.stamp(two.machine), other);
  chunk(0, {}, 6);
  EXPECT_EQ(cache.stamp(one.machine), 0u);
  EXPECT_EQ(cache.team_use("t").cores(), 2);
}

// Hundreds of machines boot at once; the state service refuses a value over its limit, and did.
TEST(Records, BootingMachinesFitTheirValue) {
  std::vector<protocol::Booting> fleet;
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
  EXPECT_EQ(kept.back().id, fleet.back().id);  // the latest: the machine list shows the others
  EXPECT_EQ(kept.front().id, fleet[fleet.size() - kept.size()].id);
  EXPECT_EQ(kept.front().rented, fleet[fleet.size() - kept.size()].rented);
  const std::vector<protocol::Booting> few(fleet.begin(), fleet.begin() + 400);
  EXPECT_EQ(protocol::parse_fleet(to_json(few, 16u << 10)).size(), 400u);
}

// A node that loses its workers hands over all of them: one view carries hundreds, and fits its value.
TEST(Records, AViewCarriesHundredsOfPins) {
  const protocol::ControllerIncarnation a{MemberId("stall-0"), base::Incarnation(1)},
      b{MemberId("stall-1"), base::Incarnation(2)};
  const std::map<MemberId, protocol::Member> members{{a.member, {a, true}}, {b.member, {b, true}}};
  for (const int n : {700, 5000}) {
    std::map<MachineId, protocol::ControllerIncarnation> claims;
    for (int i = 0; i < n; ++i) claims[MachineId("i-" + std::to_string(100000 + i))] = b;
    const auto view = coordination::next_view(
        members, {}, {}, claims, [](const MachineId&) { return false; }, 16u << 10);
    ASSERT_TRUE(view);
    EXPECT_LE(to_json(*view).dump().size(), 16u * 1024);
    EXPECT_GE(view->overrides.size(), 700u);
    EXPECT_EQ(protocol::parse_view(to_json(*view)), view);
    // What is gone leaves with the next view, and is no reason for one.
    const auto same = coordination::next_view(
        members, view, {}, {}, [](const MachineId&) { return true; }, 16u << 10);
    EXPECT_FALSE(same);
  }
}

namespace {

// A job of 150 tasks in chunks of 100, divided into pieces of 40 or not.
Item large_job(bool divided, std::uint64_t version) {
  protocol::JobRecord record = job("run-000077", 150);
  record.chunk = 100;
  record.piece = divided ? 40 : 0;
  return item(record, version);
}

// The record of tasks from `first` on, with these held by a machine each.
Item tasks_record(const std::string& key, TaskNo first, TaskNo count, std::uint64_t next,
                  const std::vector<TaskNo>& assignment, std::uint64_t version) {
  ChunkRecord record;
  record.next = base::Attempt(next);
  record.done.assign(count, false);
  record.done[0] = true;
  for (const TaskNo no : assignment) {
    record.assigned[no] = {MachineId("i-" + std::to_string(no)), base::Attempt(1),
                           base::AgentIncarnation(1)};
  }
  return {key, to_json(record, first), Version(version)};
}

}  // namespace

TEST(StateCache, ADividedChunkIsReadByPieces) {
  base::Settings settings;
  StateCache cache(settings);
  const JobId id("run-000077");
  cache.apply(large_job(false, 1), Time{});
  cache.apply(tasks_record(protocol::chunk_key(id, 0), 0, 100, 5, {39, 40, 99}, 2), Time{});
  cache.apply(tasks_record(protocol::chunk_key(id, 1), 100, 50, 6, {149}, 3), Time{});
  cache.apply(large_job(true, 4), Time{});
  const Job* job = cache.job(id);
  ASSERT_EQ(job->chunks.size(), 5u);  // 40 + 40 + 20, 40 + 10
  EXPECT_EQ(job->chunk_first(2), 80u);
  EXPECT_EQ(job->chunk_size(2), 20u);
  EXPECT_EQ(job->chunk_first(4), 140u);
  EXPECT_EQ(job->chunk_size(4), 10u);
  EXPECT_EQ(job->assigned, 4u);
  EXPECT_EQ(job->done, 2u);
  EXPECT_TRUE(job->is_done(100));
  EXPECT_EQ(job->chunks[1].record.next, base::Attempt(5));
  EXPECT_EQ(job->chunks[4].record.next, base::Attempt(6));
  EXPECT_EQ(cache.assignments_on(MachineId("i-40")).size(), 1u);
  // A piece of its own record; the others are still as the chunk's record says.
  cache.apply(tasks_record(protocol::piece_key(id, 1), 40, 40, 7, {}, 5), Time{});
  EXPECT_TRUE(cache.assignments_on(MachineId("i-40")).empty());
  cache.apply(tasks_record(protocol::chunk_key(id, 0), 0, 100, 5, {40}, 6), Time{});
  EXPECT_TRUE(cache.assignments_on(MachineId("i-40")).empty())
      << "an older record than the piece's";
  EXPECT_TRUE(cache.assignments_on(MachineId("i-39")).empty());
  EXPECT_EQ(job->assigned, 1u);
  // All of its records go once it is over.
  cache.apply({protocol::job_key(id), protocol::Json(), Version(7)}, Time{});
  EXPECT_EQ(cache.orphans().size(), 3u);
  EXPECT_TRUE(cache.assigned().empty());
}

// All is read page by page: a chunk that is divided meanwhile must not lose its pieces' records.
TEST(StateCache, APieceThatIsReadBeforeItsChunkIsDividedComesAgain) {
  base::Settings settings;
  StateCache cache(settings);
  const JobId id("run-000077");
  cache.apply(large_job(false, 1), Time{});
  const Item piece = tasks_record(protocol::piece_key(id, 0), 0, 40, 9, {3}, 6);
  cache.apply(piece, Time{});
  EXPECT_EQ(cache.job(id)->assigned, 0u);
  cache.apply(large_job(true, 5), Time{});
  EXPECT_TRUE(cache.apply(piece, Time{}));
  EXPECT_EQ(cache.job(id)->chunks[0].version, Version(6));
  EXPECT_EQ(cache.job(id)->assigned, 1u);
}

}  // namespace saddleslip::storage

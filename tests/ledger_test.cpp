// This process's copy of the store, fed from several sides at once.
#include "bookkeeping/ledger.h"

#include <gtest/gtest.h>

namespace saddleslip::bookkeeping {

namespace {

protocol::JobRecord job(const std::string& id, TaskNo tasks) {
  protocol::JobRecord j;
  j.spec.id = JobId(id);
  j.spec.job_class = std::string(1, 'c');
  j.spec.team = std::string(1, 't');
  j.spec.image = std::string(1, 'i');
  j.spec.tasks = tasks;
  j.spec.need.v = {2, 0, 1};
  j.chunk = 16;
  return j;
}

Item item(const protocol::JobRecord& j, std::uint64_t version) {
  return {protocol::job_key(j.spec.id), to_json(j), Version(version)};
}

}  // namespace

TEST(Ledger, AReadOvertakenByARemovalBringsNothingBack) {
  const base::Settings settings;
  Ledger ledger(settings);
  const auto j = job("run-000001", 4);
  ledger.apply(item(j, 5), Time{});
  ledger.apply({protocol::job_key(j.spec.id), protocol::Json(), Version(8)}, Time{});
  ledger.caught_up(Revision(9));
  // Answered before the removal, taken in after it.
  EXPECT_FALSE(ledger.apply(item(j, 5), Time{}));
  EXPECT_EQ(ledger.job(j.spec.id), nullptr);
}

TEST(Ledger, KeepsItsFiguresWithTheRecords) {
  const base::Settings settings;
  Ledger ledger(settings);
  const auto j = job("run-000001", 40);
  ledger.apply(item(j, 1), Time{});
  ASSERT_EQ(ledger.job(j.spec.id)->chunks.size(), 3u);
  const auto chunk = [&](std::uint32_t c, std::map<TaskNo, Held> held, std::uint64_t version) {
    ChunkRecord r;
    r.done.assign(ledger.job(j.spec.id)->chunk_size(c), false);
    r.held = std::move(held);
    ledger.apply({protocol::chunk_key(j.spec.id, c), to_json(r, c * 16), Version(version)}, Time{});
  };
  const Held one{MachineId("i-1"), Attempt(1), base::Session(1)};
  const Held two{MachineId("i-2"), Attempt(1), base::Session(1)};
  EXPECT_EQ(ledger.stamp(one.machine), 0u);
  chunk(0, {{0, one}, {1, one}}, 2);
  chunk(2, {{33, two}}, 3);
  EXPECT_EQ(ledger.job(j.spec.id)->held, 3u);
  EXPECT_EQ(ledger.team_use("t").cores(), 6);
  EXPECT_EQ(ledger.held_by(one.machine).size(), 2u);
  const auto before = ledger.stamp(one.machine), other = ledger.stamp(two.machine);
  chunk(0, {{1, one}}, 4);
  EXPECT_NE(ledger.stamp(one.machine), before);
  EXPECT_EQ(ledger.stamp(two.machine), other);
  // A withdrawal changes what is wanted on each machine that holds a task.
  auto withdrawn = j;
  withdrawn.withdrawn = true;
  ledger.apply(item(withdrawn, 5), Time{});
  EXPECT_NE(ledger.stamp(two.machine), other);
  chunk(0, {}, 6);
  EXPECT_EQ(ledger.stamp(one.machine), 0u);
  EXPECT_EQ(ledger.team_use("t").cores(), 2);
}

}  // namespace saddleslip::bookkeeping

// Tests how the peers' statuses are assembled from deltas.
#include "coordination/machines/peer_registry.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

namespace {

using base::JobId;
using base::MachineId;
using base::MemberId;
using base::Seconds;
using base::Time;

const MemberId kMember("n1");
const Time kNow(std::chrono::seconds(1000));

// Returns a delta from `base_revision` to `revision`, or a full status if `base_revision` is 0.
protocol::MemberStatus status(std::uint64_t incarnation, std::uint64_t base_revision,
                              std::uint64_t revision) {
  protocol::MemberStatus out;
  out.from = {kMember, base::Incarnation(incarnation)};
  out.base_revision = base_revision;
  out.revision = revision;
  return out;
}

protocol::MachineStatus machine(const std::string& id, std::uint32_t tasks) {
  protocol::MachineStatus out;
  out.id = MachineId(id);
  out.tasks = tasks;
  return out;
}

}  // namespace

TEST(PeerRegistry, DeltaToAnUnknownRevisionIsRefused) {
  PeerRegistry peers;
  EXPECT_FALSE(peers.update(status(7, 3, 5), kNow));
  EXPECT_EQ(peers.find(kMember), peers.end());
  EXPECT_TRUE(peers.update(status(7, 0, 5), kNow));
  EXPECT_TRUE(peers.update(status(7, 5, 6), kNow));
  EXPECT_FALSE(peers.update(status(7, 5, 8), kNow));  // the copy is at revision 6, not 5
  EXPECT_FALSE(
      peers.update(status(9, 6, 8), kNow));  // another incarnation numbers its own revisions
  EXPECT_EQ(peers.at(kMember).revision, 6U);
}

TEST(PeerRegistry, RemovedPeerMustSendItsFullStatus) {
  PeerRegistry peers;
  ASSERT_TRUE(peers.update(status(7, 0, 5), kNow));
  peers.forget(kMember);
  EXPECT_FALSE(peers.update(status(7, 5, 6), kNow));
  EXPECT_TRUE(peers.update(status(7, 0, 6), kNow));
}

TEST(PeerRegistry, DeltaReplacesAddsAndRemovesMachines) {
  PeerRegistry peers;
  auto full = status(7, 0, 5);
  full.machines = {machine("kept", 1), machine("changed", 1), machine("gone", 1)};
  ASSERT_TRUE(peers.update(full, kNow));
  auto delta = status(7, 5, 8);
  delta.machines = {machine("changed", 2), machine("new", 0)};
  delta.departed_machines = {MachineId("gone")};
  ASSERT_TRUE(peers.update(delta, kNow));
  const auto& machines = peers.at(kMember).machines;
  EXPECT_EQ(machines.size(), 3U);
  EXPECT_EQ(machines.at(MachineId("kept")).tasks, 1U);
  EXPECT_EQ(machines.at(MachineId("changed")).tasks, 2U);
  EXPECT_TRUE(machines.contains(MachineId("new")));
}

TEST(PeerRegistry, FullStatusReplacesAllMachines) {
  PeerRegistry peers;
  auto full = status(7, 0, 5);
  full.machines = {machine("old", 1)};
  ASSERT_TRUE(peers.update(full, kNow));
  full = status(9, 0, 1);
  full.machines = {machine("new", 1)};
  ASSERT_TRUE(peers.update(full, kNow));
  EXPECT_EQ(peers.at(kMember).machines.size(), 1U);
  EXPECT_TRUE(peers.at(kMember).machines.contains(MachineId("new")));
}

TEST(PeerRegistry, OldStatusesAreIgnored) {
  PeerRegistry peers;
  auto full = status(7, 0, 5);
  full.has_lease = true;
  full.crash_looping_jobs = {JobId("j")};
  ASSERT_TRUE(peers.update(full, kNow));
  EXPECT_TRUE(peers.any_has_lease(base::after(kNow, Seconds(2.4))));
  EXPECT_FALSE(peers.any_has_lease(base::after(kNow, Seconds(2.5))));
  EXPECT_TRUE(peers.any_sees_crash_loop(JobId("j"), base::after(kNow, Seconds(4.9))));
  EXPECT_FALSE(peers.any_sees_crash_loop(JobId("j"), base::after(kNow, Seconds(5.0))));
  EXPECT_FALSE(peers.any_sees_crash_loop(JobId("other"), kNow));
}

}  // namespace saddleslip::coordination

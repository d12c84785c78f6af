// Tests which machines the next view assigns to other members.
#include "coordination/membership/ownership_transfers.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

class OwnershipTransfersTest : public ::testing::Test {
 protected:
  using NewOwners = OwnershipTransfers::NewOwners;

  OwnershipTransfersTest() {
    settings_.heartbeat_interval = base::Seconds(2);
    authority_.begin_incarnation(self_, start_);
    const View view{Epoch(1), {self_, other_}, {{machine_, other_.member}}};
    cache_.apply({protocol::kViewKey, to_json(view), base::Version(1)}, start_);
  }
  // Applies a status of the other member.
  void report_peer(protocol::WorkerContact contact, std::vector<MachineId> claims,
                   bool heartbeat_overdue, double seconds) {
    protocol::MachineStatus machine;
    machine.id = machine_;
    machine.heartbeat_overdue = heartbeat_overdue;
    protocol::MemberStatus status;
    status.from = other_;
    status.revision = 1;
    status.machines = {machine};
    status.worker_contact = contact;
    status.ownership_claims = std::move(claims);
    ASSERT_TRUE(peers_.update(status, at(seconds)));
  }
  NewOwners due(const MemberReport& own, double seconds) {
    return transfers_.due_transfers(
        own, [this](const MachineId& id) { return released_.contains(id); }, at(seconds));
  }
  base::Time at(double seconds) const { return base::after(start_, base::Seconds(seconds)); }

  base::Settings settings_;
  const base::Time start_{std::chrono::seconds(1000)};
  const ControllerIncarnation self_{MemberId("n0"), base::Incarnation(7)};
  const ControllerIncarnation other_{MemberId("n1"), base::Incarnation(8)};
  const MachineId machine_{"i-1"};
  std::set<MachineId> released_;
  storage::StateCache cache_{settings_};
  AuthorityLease authority_{settings_, cache_};
  Ownership ownership_{cache_, authority_};
  PeerRegistry peers_;
  OwnershipTransfers transfers_{{settings_, cache_, authority_, ownership_, peers_}};
};

TEST_F(OwnershipTransfersTest, ClaimsAreCollectedBeforeTheyAreDue) {
  const MemberReport own{{machine_}, protocol::WorkerContact::kGood, {}};
  EXPECT_EQ(NewOwners{}, due(own, 0));
  EXPECT_EQ(NewOwners{}, due(own, 1.9));
  EXPECT_EQ((NewOwners{{machine_, self_}}), due(own, 2));
  EXPECT_EQ(NewOwners{}, due(own, 2.1));  // the collection time starts again for the next view
}

TEST_F(OwnershipTransfersTest, WithdrawnClaimRestartsTheCollectionTime) {
  const MemberReport own{{machine_}, protocol::WorkerContact::kGood, {}};
  due(own, 0);
  EXPECT_EQ(NewOwners{}, due({}, 1));
  EXPECT_EQ(NewOwners{}, due(own, 2));
}

TEST_F(OwnershipTransfersTest, StoredClaimIsDueAtOnce) {
  cache_.apply({protocol::claim_key(machine_), to_json(self_), base::Version(2)}, start_);
  EXPECT_EQ((NewOwners{{machine_, self_}}), due({}, 0));
}

TEST_F(OwnershipTransfersTest, ClaimToAnOwnedOrReleasedMachineIsIgnored) {
  report_peer(protocol::WorkerContact::kGood, {machine_}, false, 0);
  due({}, 0);
  EXPECT_EQ(NewOwners{}, due({}, 2));
  const MemberReport own{{machine_}, protocol::WorkerContact::kGood, {}};
  released_.insert(machine_);
  due(own, 2);
  EXPECT_EQ(NewOwners{}, due(own, 4));
}

TEST_F(OwnershipTransfersTest, SilentMachinesOfAMemberThatLostContactMoveAtOnce) {
  const MemberReport own{{}, protocol::WorkerContact::kGood, {}};
  report_peer(protocol::WorkerContact::kLost, {}, false, 0);
  EXPECT_EQ(NewOwners{}, due(own, 0));  // the machine isn't late
  report_peer(protocol::WorkerContact::kLost, {}, true, 1);
  EXPECT_EQ((NewOwners{{machine_, self_}}), due(own, 1));
  EXPECT_EQ(NewOwners{}, due(own, 4));  // the status is too old
}

TEST_F(OwnershipTransfersTest, OwnSilentMachinesMoveToAMemberWithGoodContact) {
  const MemberReport own{{}, protocol::WorkerContact::kLost, {MachineId("i-2")}};
  report_peer(protocol::WorkerContact::kUnknown, {}, false, 0);
  EXPECT_EQ(NewOwners{}, due(own, 0));
  report_peer(protocol::WorkerContact::kGood, {}, false, 1);
  EXPECT_EQ((NewOwners{{MachineId("i-2"), other_}}), due(own, 1));
}

}  // namespace saddleslip::coordination

// Machines that boot, that the cloud can't give, that are to be released, cordoned or drained.
#include <gtest/gtest.h>

#include "coordination/fleet/booting_machines.h"
#include "coordination/fleet/capacity_backoff.h"
#include "coordination/fleet/member_requests.h"
#include "coordination/fleet/pending_releases.h"

namespace saddleslip::coordination {

namespace {

using base::MemberId;

const MachineKind kKind{"small", "a", true};
const MachineId kFirst("i-1"), kSecond("i-2");
const MemberId kSelf("a"), kOther("b");

class FleetMachines : public ::testing::Test {
 protected:
  FleetMachines() : cache_(settings_), booting_(cache_) {
    fleet_.now = base::after(Time{}, Seconds(500));
    fleet_.wall_now = 1000;
    fleet_.self = kSelf;
    fleet_.is_released = [this](const MachineId& id) { return released_.contains(id); };
  }

  void advance(double s) {
    fleet_.now = base::after(fleet_.now, Seconds(s));
    fleet_.wall_now += s;
  }
  void report(const MachineId& id, bool unsure = false) {
    status_.id = id;
    status_.unsure = unsure;
    fleet_.partitions = {{kOther, {&status_}}};
  }
  std::size_t likely() const { return booting_.likely(fleet_.now, fleet_.wall_now).size(); }

  base::Settings settings_;
  storage::StateCache cache_;  // without a catalogue: 30 s is the usual boot time
  BootingMachines booting_;
  PendingReleases releases_;
  FleetStatus fleet_;
  MachineStatus status_;
  std::set<MachineId> released_;
};

}  // namespace

TEST(CapacityBackoff, RefusalsInARow_DoubleTheWaitUpToABound) {
  CapacityBackoff backoff;
  const Time now = base::after(Time{}, Seconds(500));
  for (const double wait : {8.0, 16.0, 32.0, 64.0, 64.0}) {
    backoff.record_refusal(kKind, now);
    EXPECT_EQ(backoff.retry_at().at(kKind), base::after(now, Seconds(wait)));
  }
  backoff.record_success(kKind);
  backoff.record_refusal(kKind, now);
  EXPECT_EQ(backoff.retry_at().at(kKind), base::after(now, Seconds(8)));
}

TEST(MemberRequests, TakenByTheirMember_AreGivenOnce) {
  MemberRequests requests;
  requests.add_cordon(kOther, kFirst);
  requests.add_drain(kOther, kSecond);
  EXPECT_TRUE(requests.take(kSelf).cordon.empty());
  const MachineRequests taken = requests.take(kOther);
  EXPECT_EQ(taken.cordon, std::vector{kFirst});
  EXPECT_EQ(taken.drain, std::vector{kSecond});
  EXPECT_TRUE(requests.take(kOther).cordon.empty());
  EXPECT_TRUE(requests.take(kOther).drain.empty());
}

TEST_F(FleetMachines, BootingMachineReportsOrIsReleased_IsForgotten) {
  booting_.add(kFirst, kKind, fleet_.wall_now);
  booting_.add(kSecond, kKind, fleet_.wall_now);
  EXPECT_EQ(likely(), 2u);
  report(kFirst);
  EXPECT_TRUE(booting_.remove_finished_boots(fleet_).empty());
  EXPECT_EQ(likely(), 1u);
  released_.insert(kSecond);
  EXPECT_TRUE(booting_.remove_finished_boots(fleet_).empty());
  EXPECT_TRUE(booting_.all().empty());
}

TEST_F(FleetMachines, BootingForTooLong_IsNotCountedOnThenReleased) {
  booting_.add(kFirst, kKind, fleet_.wall_now);
  advance(70);
  EXPECT_EQ(likely(), 0u);
  EXPECT_TRUE(booting_.remove_finished_boots(fleet_).empty());
  advance(70);
  EXPECT_EQ(booting_.remove_finished_boots(fleet_), std::vector{kFirst});
  EXPECT_TRUE(booting_.all().empty());
}

TEST_F(FleetMachines, RentalOfAnotherIncarnation_IsAdoptedWhileItMayComeUp) {
  CloudMachine machine{kFirst, "small", "a", true, protocol::CloudState::kStarting, Seconds(20)};
  EXPECT_TRUE(booting_.adopt(machine, fleet_.wall_now));
  ASSERT_EQ(booting_.all().size(), 1u);
  EXPECT_EQ(booting_.all()[0].rented, fleet_.wall_now - 20);
  machine.age = Seconds(90);
  EXPECT_FALSE(booting_.adopt(machine, fleet_.wall_now));
  machine = {kSecond, "small", "a", true, protocol::CloudState::kRunning, Seconds(20)};
  EXPECT_FALSE(booting_.adopt(machine, fleet_.wall_now));
}

TEST_F(FleetMachines, MachineReportsElsewhere_IsReleasedOnlyIfItsConnectionIsHalfOpen) {
  const ReleaseRequests requests{{kFirst, kSecond}, {kFirst}};
  EXPECT_EQ(releases_.due(requests, fleet_), std::vector{kSecond});
  // Its owner hears it and is not heard: the connection is half-open.
  report(kFirst, true);
  EXPECT_EQ(releases_.due(requests, fleet_), (std::vector{kFirst, kSecond}));
  released_.insert(kSecond);
  EXPECT_EQ(releases_.due(requests, fleet_), std::vector{kFirst});
}

TEST_F(FleetMachines, MachineUnheardUnderOneViewForTheLimit_IsReleased) {
  const auto is_due = [&] { return !releases_.due({}, fleet_).empty(); };
  releases_.record_unreported(kFirst, fleet_, Seconds(50));
  advance(40);
  fleet_.view_installed_at = fleet_.now;
  advance(40);
  releases_.record_unreported(kFirst, fleet_, Seconds(50));
  EXPECT_FALSE(is_due());
  advance(11);
  releases_.record_unreported(kFirst, fleet_, Seconds(50));
  EXPECT_TRUE(is_due());
  releases_.remove(kFirst);
  EXPECT_FALSE(is_due());
}

TEST_F(FleetMachines, MachineReportedOrLeftTheList_LimitStartsAnew) {
  releases_.record_unreported(kFirst, fleet_, Seconds(50));
  releases_.record_unreported(kSecond, fleet_, Seconds(50));
  releases_.record_reporting(kFirst);
  releases_.forget_unlisted({kFirst});
  advance(60);
  releases_.record_unreported(kFirst, fleet_, Seconds(50));
  releases_.record_unreported(kSecond, fleet_, Seconds(50));
  EXPECT_TRUE(releases_.due({}, fleet_).empty());
}

}  // namespace saddleslip::coordination

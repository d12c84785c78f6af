// Tests of booting machines, of the backoff for kinds without capacity, and of requests to release,
// cordon or drain machines.
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

  void advance(double seconds) {
    fleet_.now = base::after(fleet_.now, Seconds(seconds));
    fleet_.wall_now += seconds;
  }
  void report(const MachineId& id, bool has_unacknowledged_response = false) {
    status_.id = id;
    status_.has_unacknowledged_response = has_unacknowledged_response;
    fleet_.partitions = {{kOther, {&status_}}};
  }
  std::size_t count_likely_to_boot() const {
    return booting_.likely_to_boot(fleet_.now, fleet_.wall_now).size();
  }

  base::Settings settings_;
  storage::StateCache cache_;  // without a catalogue, the usual boot time is 30 s
  BootingMachines booting_;
  PendingReleases releases_;
  FleetStatus fleet_;
  MachineStatus status_;
  std::set<MachineId> released_;
};

}  // namespace

TEST(CapacityBackoff, ConsecutiveRefusals_DoubleTheDelayUpToALimit) {
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

TEST(MemberRequests, TakenByTheMember_AreReturnedOnce) {
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

TEST_F(FleetMachines, BootingMachineReportsOrIsReleased_IsRemoved) {
  booting_.add(kFirst, kKind, fleet_.wall_now);
  booting_.add(kSecond, kKind, fleet_.wall_now);
  EXPECT_EQ(count_likely_to_boot(), 2u);
  report(kFirst);
  EXPECT_TRUE(booting_.remove_finished_boots(fleet_).empty());
  EXPECT_EQ(count_likely_to_boot(), 1u);
  released_.insert(kSecond);
  EXPECT_TRUE(booting_.remove_finished_boots(fleet_).empty());
  EXPECT_TRUE(booting_.all().empty());
}

TEST_F(FleetMachines, BootingForTooLong_IsNotCountedAndThenReleased) {
  booting_.add(kFirst, kKind, fleet_.wall_now);
  advance(70);
  EXPECT_EQ(count_likely_to_boot(), 0u);
  EXPECT_TRUE(booting_.remove_finished_boots(fleet_).empty());
  advance(70);
  EXPECT_EQ(booting_.remove_finished_boots(fleet_), std::vector{kFirst});
  EXPECT_TRUE(booting_.all().empty());
}

TEST_F(FleetMachines, RentalOfAnotherIncarnation_IsAdoptedWhileBooting) {
  CloudMachine machine{kFirst, "small", "a", true, protocol::CloudState::kStarting, Seconds(20)};
  EXPECT_TRUE(booting_.adopt(machine, fleet_.wall_now));
  ASSERT_EQ(booting_.all().size(), 1u);
  EXPECT_EQ(booting_.all()[0].rented_at, fleet_.wall_now - 20);
  machine.age = Seconds(90);
  EXPECT_FALSE(booting_.adopt(machine, fleet_.wall_now));
  machine = {kSecond, "small", "a", true, protocol::CloudState::kRunning, Seconds(20)};
  EXPECT_FALSE(booting_.adopt(machine, fleet_.wall_now));
}

TEST_F(FleetMachines, MachineReportsToAnotherMember_IsReleasedOnlyIfHalfOpen) {
  const ReleaseRequests requests{{kFirst, kSecond}, {kFirst}};
  EXPECT_EQ(releases_.machines_to_release(requests, fleet_), std::vector{kSecond});
  // The owner receives its heartbeats but its responses are lost: the connection is half-open.
  report(kFirst, true);
  EXPECT_EQ(releases_.machines_to_release(requests, fleet_), (std::vector{kFirst, kSecond}));
  released_.insert(kSecond);
  EXPECT_EQ(releases_.machines_to_release(requests, fleet_), std::vector{kFirst});
}

TEST_F(FleetMachines, MachineUnreportedForTheLimitUnderOneView_IsReleased) {
  const auto is_due = [&] { return !releases_.machines_to_release({}, fleet_).empty(); };
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

TEST_F(FleetMachines, MachineReportedOrUnlisted_LimitStartsAgain) {
  releases_.record_unreported(kFirst, fleet_, Seconds(50));
  releases_.record_unreported(kSecond, fleet_, Seconds(50));
  releases_.record_reporting(kFirst);
  releases_.forget_unlisted({kFirst});
  advance(60);
  releases_.record_unreported(kFirst, fleet_, Seconds(50));
  releases_.record_unreported(kSecond, fleet_, Seconds(50));
  EXPECT_TRUE(releases_.machines_to_release({}, fleet_).empty());
}

}  // namespace saddleslip::coordination

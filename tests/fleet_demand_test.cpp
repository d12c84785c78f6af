// Tests of the demand for machines, from waiting tasks and from services that are expected to
// arrive.
#include <gtest/gtest.h>

#include "coordination/fleet/demand_estimator.h"
#include "coordination/fleet/service_arrivals.h"

namespace saddleslip::coordination {

namespace {

using base::JobId;
using protocol::JobRecord;
using protocol::Kind;

class FleetDemand : public ::testing::Test {
 protected:
  FleetDemand() : cache_(settings_), priorities_(settings_, cache_) {
    settings_.teams["t"];
    settings_.teams["limited"].max_cores = 6;
    priorities_.set_time_of_day(now_, 1000);
    MachineType slow, fast;
    slow.name = "slow";
    slow.boot = Seconds(30);
    fast.name = "fast";
    fast.boot = Seconds(10);
    cache_.apply({protocol::kCatalogueKey, to_json(std::vector{slow, fast}), next_version()}, now_);
  }

  static JobRecord job(const std::string& id, Kind kind, base::TaskNumber tasks) {
    JobRecord record;
    record.spec.id = JobId(id);
    record.spec.job_class = std::string("c");
    record.spec.team = std::string("t");
    record.spec.kind = kind;
    record.spec.tasks = tasks;
    record.spec.request.amounts = {2, 0, 1};
    record.spec.image = "img";
    record.spec.estimate = Seconds(100);
    record.submitted_at = 1000;
    return record;
  }
  void add(const JobRecord& record, Time now) {
    cache_.apply({protocol::job_key(record.spec.id), to_json(record), next_version()}, now);
    priorities_.update(now_);
  }
  base::Version next_version() { return base::Version(++version_); }
  std::vector<Demand> waiting(const JobPredicate& is_crash_looping = [](const JobId&) {
    return false;
  }) const {
    return DemandEstimator(settings_, cache_, priorities_).waiting_demand(is_crash_looping, now_);
  }
  Time after(double seconds) const { return base::after(now_, Seconds(seconds)); }

  base::Settings settings_;
  storage::StateCache cache_;
  JobPriorities priorities_;
  const Time now_ = base::after(Time{}, Seconds(500));
  std::uint64_t version_ = 0;
};

}  // namespace

TEST_F(FleetDemand, CrashLoopingJob_HasNoDemand) {
  add(job("run-000001", Kind::kService, 3), now_);
  ASSERT_EQ(waiting().size(), 1u);
  EXPECT_EQ(waiting()[0].count, 3u);
  EXPECT_TRUE(waiting([](const JobId&) { return true; }).empty());
}

// The jobs of a team share its quota in the order of their ids.
TEST_F(FleetDemand, TeamWithQuota_OnlyTasksWithinItAreCounted) {
  JobRecord first = job("run-000001", Kind::kService, 2);
  JobRecord second = job("run-000002", Kind::kService, 2);
  JobRecord third = job("run-000003", Kind::kService, 2);
  for (JobRecord* record : {&first, &second, &third}) {
    record->spec.team = "limited";
    add(*record, now_);
  }
  const std::vector<Demand> demand = waiting();
  ASSERT_EQ(demand.size(), 2u);
  EXPECT_EQ(demand[0].count, 2u);
  EXPECT_EQ(demand[1].count, 1u);
}

// Tasks that can run one after another before the deadline do not need separate machines.
TEST_F(FleetDemand, ArrayWithDeadline_DemandGrowsAsDeadlineGetsCloser) {
  JobRecord array = job("run-000001", Kind::kArray, 30);
  array.spec.deadline = Seconds(1000);
  add(array, now_);
  ASSERT_EQ(waiting().size(), 1u);
  EXPECT_EQ(waiting()[0].count, 10u);
  array.spec.deadline = Seconds(150);
  add(array, now_);
  EXPECT_EQ(waiting()[0].count, 30u);
}

TEST_F(FleetDemand, ShortestBootTime_IsFromTheFastestType) {
  EXPECT_EQ(DemandEstimator(settings_, cache_, priorities_).shortest_boot_time(), Seconds(10));
}

TEST_F(FleetDemand, ServicesArriveSteadily_ExpectedDemandFollowsRecentRate) {
  ServiceArrivals arrivals;
  const ServiceArrivals::ForecastParameters forecast{now_, Seconds(10), 0.5};
  add(job("run-000001", Kind::kService, 50), now_);
  arrivals.update(cache_, now_);
  // Services that existed when counting started are not arrivals.
  EXPECT_TRUE(arrivals.expected_demand(forecast, after(60)).empty());
  add(job("run-000002", Kind::kService, 60), after(30));
  add(job("run-000003", Kind::kArray, 60), after(30));
  arrivals.update(cache_, after(60));
  arrivals.update(cache_, after(60));
  const std::vector<Demand> expected = arrivals.expected_demand(forecast, after(60));
  ASSERT_EQ(expected.size(), 1u);
  // One task per second arrives. Boots of up to 15 s and a headroom of one half give 8 tasks.
  EXPECT_EQ(expected[0].count, 8u);
  arrivals.update(cache_, after(200));
  EXPECT_TRUE(arrivals.expected_demand(forecast, after(200)).empty());
}

}  // namespace saddleslip::coordination

// Tests of the autoscaler: which actions it plans, and when.
#include "coordination/fleet/autoscaler.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

namespace {

using base::MemberId;
using protocol::ControllerIncarnation;

const MemberId kSelf("a"), kOther("b");
const MachineId kOwnMachine("i-1"), kOtherMachine("i-2");

class AutoscalerTest : public ::testing::Test {
 protected:
  AutoscalerTest()
      : cache_(settings_),
        priorities_(settings_, cache_),
        autoscaler_(settings_, cache_, priorities_) {
    settings_.teams["t"];
    settings_.controller_zones = {"a"};
    MachineType small_type;
    small_type.name = "small";
    small_type.size.amounts = {4, 0, 16};
    small_type.price = 0.4;
    small_type.spot_price = 0.2;
    small_type.boot = Seconds(10);
    small_type.zones = {"a"};
    apply(protocol::kCatalogueKey, to_json(std::vector{small_type}));
    protocol::View view;
    view.epoch = base::Epoch(1);
    view.members = {ControllerIncarnation{kSelf, base::Incarnation(1)},
                    ControllerIncarnation{kOther, base::Incarnation(1)}};
    apply(protocol::kViewKey, to_json(view));
    fleet_.self = kSelf;
    fleet_.is_released = [](const MachineId&) { return false; };
    advance(500);
    autoscaler_.become_leader(fleet_.now);
    fleet_.partitions = {{kSelf, {}}, {kOther, {}}};
  }

  void apply(const std::string& key, const protocol::Json& value) {
    cache_.apply({key, value, base::Version(++version_)}, fleet_.now);
  }
  void add_service() {
    protocol::JobRecord record;
    record.spec.id = base::JobId("run-000001");
    record.spec.job_class = "c";
    record.spec.team = "t";
    record.spec.kind = protocol::Kind::kService;
    record.spec.tasks = 1;
    record.spec.request.amounts = {2, 0, 1};
    record.spec.image = "img";
    apply(protocol::job_key(record.spec.id), to_json(record));
    priorities_.update(fleet_.now);
  }
  void advance(double seconds) {
    fleet_.now = base::after(fleet_.now, Seconds(seconds));
    fleet_.wall_now += seconds;
  }
  ScalingActions plan(const ReleaseRequests& requests = {}) {
    return autoscaler_.plan(fleet_, requests, [](const base::JobId&) { return false; });
  }
  // Returns the status of a machine that has been idle since the start of the test.
  static MachineStatus idle_machine(const MachineId& id) {
    MachineStatus status;
    status.id = id;
    status.type = "small";
    status.zone = "a";
    status.open = true;
    return status;
  }

  base::Settings settings_;
  storage::StateCache cache_;
  JobPriorities priorities_;
  Autoscaler autoscaler_;
  FleetStatus fleet_;
  std::uint64_t version_ = 0;
};

}  // namespace

// While the machines of a partition are unknown, waiting tasks may have capacity there. Renting for
// them then would pay for the capacity twice.
TEST_F(AutoscalerTest, PartitionUnknown_RentsNothing) {
  add_service();
  EXPECT_TRUE(plan().plan.scale_out.empty());
  advance(60);
  fleet_.partitions.pop_back();
  EXPECT_TRUE(plan().plan.scale_out.empty());
  fleet_.partitions.push_back({kOther, {}});
  const ScalingActions actions = plan();
  ASSERT_EQ(actions.plan.scale_out.size(), 1u);
  EXPECT_EQ(actions.plan.scale_out[0].kind.type, "small");
}

TEST_F(AutoscalerTest, RentedMachineBooting_CountsAsCapacity) {
  add_service();
  advance(60);
  autoscaler_.record_rented({"small", "a", false}, {kOwnMachine}, fleet_.wall_now);
  EXPECT_TRUE(plan().plan.scale_out.empty());
  EXPECT_EQ(autoscaler_.booting_record().writes.at(0).key, protocol::kFleetKey);
}

TEST_F(AutoscalerTest, KindOutOfCapacity_IsNotRentedUntilBackoffEnds) {
  add_service();
  advance(60);
  autoscaler_.record_out_of_capacity({"small", "a", false}, fleet_.now);
  EXPECT_TRUE(plan().plan.scale_out.empty());
  advance(9);
  EXPECT_EQ(plan().plan.scale_out.size(), 1u);
}

// Each owner cordons its own machines: this member at once, other members in reply to their next
// status report.
TEST_F(AutoscalerTest, IdleMachines_OwnersAreAskedToCordonThem) {
  advance(60);
  const MachineStatus own_machine = idle_machine(kOwnMachine),
                      other_machine = idle_machine(kOtherMachine);
  fleet_.partitions = {{kSelf, {&own_machine}}, {kOther, {&other_machine}}};
  EXPECT_EQ(plan().own_machine_requests.cordon, std::vector{kOwnMachine});
  EXPECT_EQ(autoscaler_.take_requests(kOther).cordon, std::vector{kOtherMachine});
}

TEST_F(AutoscalerTest, OwnerRequestsRelease_IsReleasedBeforeRentingIsAllowed) {
  EXPECT_EQ(plan({{kOtherMachine}, {}}).release, std::vector{kOtherMachine});
}

TEST_F(AutoscalerTest, FailedMachineListed_ReleaseIsRequestedUntilRecorded) {
  const CloudMachine failed{kOwnMachine, "small", "a", false, protocol::CloudState::kFailed,
                            Seconds(5)};
  autoscaler_.review_list({failed}, fleet_);
  EXPECT_EQ(plan().release, std::vector{kOwnMachine});
  autoscaler_.record_released({kOwnMachine});
  EXPECT_TRUE(plan().release.empty());
}

TEST_F(AutoscalerTest, BootingMachineListed_CountsAsCapacity) {
  add_service();
  advance(60);
  autoscaler_.review_list(
      {{kOwnMachine, "small", "a", false, protocol::CloudState::kStarting, Seconds(5)}}, fleet_);
  EXPECT_TRUE(plan().plan.scale_out.empty());
}

}  // namespace saddleslip::coordination

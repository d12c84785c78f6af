// Tests of which machines a scaling plan rents for waiting tasks.
#include "coordination/fleet/scaling_plan.h"

#include <gtest/gtest.h>

#include "makers.h"

namespace saddleslip::coordination {

using testing::make_machine_type;
using testing::make_resources;

class ScalingPlanTest : public ::testing::Test {
 protected:
  ScalingPlanTest() {
    input_.catalogue = &machine_types_;
    input_.now = testing::at_seconds(0);
  }

  // Sets the demand to this number of waiting tasks with one core and 1 GB each.
  void set_demand(const protocol::JobSpec& spec, std::size_t tasks) {
    input_.demand = {{make_resources(1, 1), tasks, 0, &spec}};
  }
  // Records that the cloud had no capacity for on-demand machines of the big type.
  void record_big_type_refused() {
    input_.retry_at[{"big", "a", false}] = base::after(input_.now, Seconds(5));
  }

  static protocol::JobSpec make_spec(bool spot) {
    protocol::JobSpec spec;
    spec.request = make_resources(1, 1);
    spec.spot = spot;
    return spec;
  }

  const std::vector<MachineType> machine_types_ = {
      make_machine_type("small", make_resources(4, 16), 0.4, 0.16),
      make_machine_type("big", make_resources(8, 32), 0.7, 0.3)};
  const protocol::JobSpec on_demand_spec_ = make_spec(false), spot_spec_ = make_spec(true);
  ScalingInput input_;
};

TEST_F(ScalingPlanTest, DemandForOneMachineRentsTheCheapestKind) {
  set_demand(on_demand_spec_, 8);
  const auto plan = plan_scaling(input_);
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_EQ(plan.scale_out[0].kind, (MachineKind{"big", "a", false}));
  EXPECT_EQ(plan.scale_out[0].count, 1);
}

TEST_F(ScalingPlanTest, BootingMachineWithCapacityRentsNothing) {
  set_demand(on_demand_spec_, 8);
  input_.booting = {{MachineId("i-1"), "big", "a", false, 0}};
  EXPECT_TRUE(plan_scaling(input_).scale_out.empty());
}

TEST_F(ScalingPlanTest, RefusedCheapestKindRentsTheNextCheapest) {
  set_demand(on_demand_spec_, 8);
  record_big_type_refused();
  const auto plan = plan_scaling(input_);
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_EQ(plan.scale_out[0].kind.type, "small");
}

TEST_F(ScalingPlanTest, JobThatAllowsSpotRentsASpotMachine) {
  set_demand(spot_spec_, 4);
  record_big_type_refused();
  const auto plan = plan_scaling(input_);
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_TRUE(plan.scale_out[0].kind.spot);
}

}  // namespace saddleslip::coordination

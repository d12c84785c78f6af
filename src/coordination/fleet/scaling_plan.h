// Scaling plan of the autoscaler: how many machines of which kind to rent, and which machines to
// drain or cordon. The plan is a pure function of its input.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

using base::MachineId;
using base::Seconds;
using base::Time;
using protocol::CloudMachine;
using protocol::MachineStatus;
using protocol::MachineType;
using protocol::Resources;

// A kind of machine that the cloud rents: a machine type in one zone, as a spot instance or on
// demand.
struct MachineKind {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

// Tasks with equal requests that wait, or that are expected to arrive.
struct Demand {
  Resources request;  // resources of each task
  std::size_t count = 0;
  int tier = 0;                             // lower tiers are packed first
  const protocol::JobSpec* spec = nullptr;  // restricts where they run; null: anywhere
  bool spot_only = false;                   // whether only spot instances may be rented for them
};

// The input of a scaling plan.
struct ScalingInput {
  std::vector<Demand> demand;
  std::vector<const MachineStatus*> machines;     // all that report to a member
  std::vector<protocol::BootingMachine> booting;  // rented machines that are likely to report soon
  const std::vector<MachineType>* catalogue = nullptr;
  std::map<MachineKind, Time> retry_at;  // kinds without capacity: not rented before this time
  // The services on each machine; only filled if machines may be drained.
  std::map<MachineId, std::vector<const protocol::JobSpec*>> movable_services;
  bool may_drain = false;
  Seconds idle_return{40};  // machines that are idle for longer are cordoned
  double spot_share = 1.0;  // 0: no spot instances are rented
  std::set<std::string> controller_zones;
  Time now{};
};

// A number of machines of one kind to rent.
struct ScaleOut {
  MachineKind kind;
  int count = 0;
};

// The result of planning: machines to rent, to drain and to cordon.
struct ScalingPlan {
  std::vector<ScaleOut> scale_out;  // the most urgent first
  // Machines to drain and then release: their services fit on other machines that hold their
  // images.
  std::vector<MachineId> drain;
  // Idle machines without demand: their owners cordon them, then they are released.
  std::vector<MachineId> cordon;
};

// Computes the scaling plan. The plan is empty if the machine catalogue is empty.
ScalingPlan plan_scaling(const ScalingInput& input);

// Returns whether tasks of the job may run on a machine of this type and zone, spot or on demand.
bool may_run(const protocol::JobSpec& spec, const std::string& type, const std::string& zone,
             bool spot);

}  // namespace saddleslip::coordination

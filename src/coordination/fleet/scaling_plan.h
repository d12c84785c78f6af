// How many machines of which kind: what to rent, what to give back. Run by the leader.
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

struct MachineKind {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

// Tasks that wait, or are expected, and are alike.
struct Demand {
  Resources request;
  std::size_t count = 0;
  int tier = 0;
  const protocol::JobSpec* spec = nullptr;  // where it may run
  bool spot_only = false;                   // not worth an ordinary machine of its own
};

struct ScalingInput {
  std::vector<Demand> demand;
  std::vector<const MachineStatus*> machines;  // all that report to any controller
  std::vector<protocol::Booting> booting;      // rented, not heard of yet
  const std::vector<MachineType>* catalogue = nullptr;
  std::map<MachineKind, Time> refused;  // the cloud had none; not asked again before this
  // Services on each machine that runs nothing else but arrays, which end by themselves.
  std::map<MachineId, std::vector<const protocol::JobSpec*>> movable;
  bool calm = false;  // nothing had to be rented, or waited, for a while
  Seconds idle_return{40};
  double spot_share = 1.0;
  std::set<std::string> controller_zones;
  Time now{};
};

struct ScaleOut {
  MachineKind kind;
  int count = 0;
};

struct ScalingPlan {
  std::vector<ScaleOut> scale_out;  // the most urgent first
  // Machines whose services fit elsewhere, where their images are: to be emptied.
  std::vector<MachineId> drain;
  std::vector<MachineId>
      cordon;  // idle and not needed: to be closed by their owners, then released
};

ScalingPlan plan_scaling(const ScalingInput& in);

bool may_run(const protocol::JobSpec& spec, const std::string& type, const std::string& zone,
             bool spot);

}  // namespace saddleslip::coordination

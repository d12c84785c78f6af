// One plan of the autoscaler: how many machines of which kind to rent, and
// which ones to empty or to cordon. A pure function of its input.
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

// What the cloud rents: machines of one type, in one zone, spot instances or
// not.
struct MachineKind {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

// Tasks that are alike, and that wait or are expected.
struct Demand {
  Resources request;  // of each task
  std::size_t count = 0;
  int tier = 0;                             // lower ones are packed first
  const protocol::JobSpec* spec = nullptr;  // where they may run; none: anywhere
  bool spot_only = false;                   // no on-demand machine is rented for them
};

struct ScalingInput {
  std::vector<Demand> demand;
  std::vector<const MachineStatus*> machines;  // all that report to any member
  std::vector<protocol::Booting> booting;      // rented, and likely to report soon
  const std::vector<MachineType>* catalogue = nullptr;
  std::map<MachineKind, Time> retry_at;  // out of capacity: not to be rented before then
  // The services on each machine, if machines may be drained.
  std::map<MachineId, std::vector<const protocol::JobSpec*>> movable_services;
  bool may_drain = false;
  Seconds idle_return{40};  // a machine that is idle for longer is cordoned
  double spot_share = 1.0;  // 0: no spot instances
  std::set<std::string> controller_zones;
  Time now{};
};

// So many machines of one kind are to be rented.
struct ScaleOut {
  MachineKind kind;
  int count = 0;
};

struct ScalingPlan {
  std::vector<ScaleOut> scale_out;  // the most urgent first
  // Machines whose services fit on others that have their images: to be
  // emptied, then released.
  std::vector<MachineId> drain;
  // Idle and not needed: to be cordoned by their owners, then released.
  std::vector<MachineId> cordon;
};

// Returns an empty plan without a catalogue.
ScalingPlan plan_scaling(const ScalingInput& input);

// May tasks of the job run on such a machine?
bool may_run(const protocol::JobSpec& spec, const std::string& type, const std::string& zone,
             bool spot);

}  // namespace saddleslip::coordination

// What the autoscaler is told about the fleet: the machines that members know,
// and what their owners ask for. Plain data, made anew for each plan.
#pragma once

#include <functional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "protocol/records.h"

namespace saddleslip::coordination {

using MachinePredicate = std::function<bool(const base::MachineId&)>;
using JobPredicate = std::function<bool(const base::JobId&)>;

// The machines that one member owns, as it last told. The pointers hold as long
// as the plan is made.
struct OwnedMachines {
  base::MemberId owner;
  std::vector<const protocol::MachineStatus*> machines;
};

struct FleetStatus {
  base::Time now{};
  double wall_now = 0;                    // seconds since the epoch, by which rentals are dated
  base::MemberId self;                    // the member that plans
  base::Time view_installed_at{};         // when the owners of machines last changed
  std::vector<OwnedMachines> partitions;  // of the members that were heard from lately
  MachinePredicate is_released;           // has the cloud released it already?

  // The machines that report to any of these members.
  std::set<base::MachineId> reporting() const;
};

// What the owners of machines ask of the leader.
struct ReleaseRequests {
  std::set<base::MachineId> requested;  // to be released, since they are silent, idle or faulty
  // Machines that report to a member that does not own them: alive, whatever
  // their owner says.
  std::set<base::MachineId> misdirected;
};

// Machines that an owner is to take out of service.
struct MachineRequests {
  std::vector<base::MachineId> cordon;  // to be cordoned if idle, then released
  std::vector<base::MachineId> drain;   // to be emptied by moving their services, then released
};

}  // namespace saddleslip::coordination

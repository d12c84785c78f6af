// The input of the autoscaler: the machines that report to members, and the requests of their
// owners. Plain data, built for each plan.
#pragma once

#include <functional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "protocol/records.h"

namespace saddleslip::coordination {

// Returns whether a condition holds for a machine.
using MachinePredicate = std::function<bool(const base::MachineId&)>;
// Returns whether a condition holds for a job.
using JobPredicate = std::function<bool(const base::JobId&)>;

// The machines of one member, according to its last status report. The pointers must stay valid
// until the plan is complete.
struct OwnedMachines {
  base::MemberId owner;
  std::vector<const protocol::MachineStatus*> machines;
};

// The state of the fleet at the time of a plan.
struct FleetStatus {
  base::Time now{};
  double wall_now = 0;                    // in seconds since the epoch, for times of rentals
  base::MemberId self;                    // the leader, which makes the plan
  base::Time view_installed_at{};         // when the ownership of machines last changed
  std::vector<OwnedMachines> partitions;  // of members with a recent status report
  MachinePredicate is_released;           // whether the cloud has released the machine

  // Returns the machines that report to any of these members.
  std::set<base::MachineId> reporting_machines() const;
};

// Requests of the owners of machines to the leader.
struct ReleaseRequests {
  std::set<base::MachineId> requested;  // silent, idle or faulty machines to release
  // Machines that report to a member other than their owner. They are alive even if their owner
  // considers them silent.
  std::set<base::MachineId> misdirected;
};

// Machines that their owner is asked to take out of service.
struct MachineRequests {
  std::vector<base::MachineId> cordon;  // to cordon if idle, and then to release
  std::vector<base::MachineId> drain;   // to empty by moving their services, and then to release
};

}  // namespace saddleslip::coordination

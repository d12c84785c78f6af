// Rented machines that have not reported to any member yet.
//
// Holds state only; takes the time as an argument. The time of a rental is a time of day
// (`wall_now`, in seconds since the epoch), because rentals outlast a process. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/boot_tracker.h"
#include "coordination/fleet/fleet_status.h"
#include "coordination/fleet/scaling_plan.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// The list of booting machines, which the leader keeps and stores for the next leader.
class BootingMachines {
 public:
  explicit BootingMachines(const storage::StateCache& cache) : cache_(cache) {}

  // Loads the list of booting machines that the previous leader stored.
  void load() { machines_ = cache_.booting(); }
  // Adds a machine that this member has just rented.
  void add(const MachineId& id, const MachineKind& kind, double wall_now);
  // Adds a machine of the cloud's list that another incarnation rented, if it is still booting.
  // Returns false, and adds nothing, if it is not booting or has been booting for too long.
  bool adopt(const CloudMachine& machine, double wall_now);
  // Removes the machines that have reported, were released, or have taken too long to boot. Returns
  // the last group, which is to be released.
  std::vector<MachineId> remove_finished_boots(const FleetStatus& fleet);
  // Returns the machines that are likely to come up, and so count as future capacity.
  std::vector<protocol::BootingMachine> likely_to_boot(Time now, double wall_now) const;
  // Returns all booting machines, also those that are overdue.
  const std::vector<protocol::BootingMachine>& all() const { return machines_; }

 private:
  // Returns the usual boot time from the machine catalogue, or a default for a type that is not in
  // the catalogue.
  Seconds usual_boot_time(const std::string& type) const;

  const storage::StateCache& cache_;
  std::vector<protocol::BootingMachine> machines_;
  BootTracker boots_;
};

}  // namespace saddleslip::coordination

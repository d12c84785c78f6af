// Machines that were rented and have not reported to any member yet.
//
// Holds state only; takes the time as an argument. Rentals are dated by the
// time of day (`wall_now`, seconds since the epoch), since they outlast a
// process. Not safe for use from several threads at once.
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

class BootingMachines {
 public:
  explicit BootingMachines(const storage::StateCache& cache) : cache_(cache) {}

  // Takes over the machines that the last leader has put on record as booting.
  void load() { machines_ = cache_.booting(); }
  // This member rented a machine.
  void add(const MachineId& id, const MachineKind& kind, double wall_now);
  // Counts on a machine of the cloud's list, rented by another incarnation, if
  // it is still booting. False: it has been booting for too long, or is not
  // booting.
  bool adopt(const CloudMachine& machine, double wall_now);
  // Forgets the machines that report by now or were released. Returns those
  // that take so long that they are to be released, and forgets them too.
  std::vector<MachineId> remove_booted(const FleetStatus& fleet);
  // The machines that are likely to come up: their capacity can be counted on.
  std::vector<protocol::Booting> likely(Time now, double wall_now) const;
  const std::vector<protocol::Booting>& all() const { return machines_; }

 private:
  // By the catalogue; a guess for a type that it lacks.
  Seconds usual_boot_time(const std::string& type) const;

  const storage::StateCache& cache_;
  std::vector<protocol::Booting> machines_;
  BootTracker boots_;
};

}  // namespace saddleslip::coordination

#include "coordination/fleet/fleet_status.h"

namespace saddleslip::coordination {

std::set<base::MachineId> FleetStatus::reporting_machines() const {
  std::set<base::MachineId> machine_ids;
  for (const OwnedMachines& partition : partitions) {
    for (const protocol::MachineStatus* machine : partition.machines)
      machine_ids.insert(machine->id);
  }
  return machine_ids;
}

}  // namespace saddleslip::coordination

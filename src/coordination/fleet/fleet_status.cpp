#include "coordination/fleet/fleet_status.h"

namespace saddleslip::coordination {

std::set<base::MachineId> FleetStatus::reporting() const {
  std::set<base::MachineId> reporting_machines;
  for (const OwnedMachines& partition : partitions) {
    for (const protocol::MachineStatus* machine : partition.machines)
      reporting_machines.insert(machine->id);
  }
  return reporting_machines;
}

}  // namespace saddleslip::coordination

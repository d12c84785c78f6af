#include "coordination/fleet/fleet_status.h"

namespace saddleslip::coordination {

std::set<base::MachineId> FleetStatus::reporting() const {
  std::set<base::MachineId> out;
  for (const OwnedMachines& partition : partitions) {
    for (const protocol::MachineStatus* machine : partition.machines) out.insert(machine->id);
  }
  return out;
}

}  // namespace saddleslip::coordination

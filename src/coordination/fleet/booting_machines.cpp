#include "coordination/fleet/booting_machines.h"

#include <algorithm>

#include "base/log.h"

namespace saddleslip::coordination {

using protocol::BootingMachine;

namespace {

// A machine rented by another incarnation is adopted up to this factor times its usual boot time.
constexpr double kMaxAdoptedAgeFactor = 3;
constexpr Seconds kUnknownBootTime{30.0};

MachineKind kind_of(const BootingMachine& machine) {
  return {machine.type, machine.zone, machine.spot};
}

Seconds age_of(const BootingMachine& machine, double wall_now) {
  return Seconds(wall_now - machine.rented_at);
}

}  // namespace

void BootingMachines::add(const MachineId& id, const MachineKind& kind, double wall_now) {
  machines_.push_back({id, kind.type, kind.zone, kind.spot, wall_now});
}

bool BootingMachines::adopt(const CloudMachine& machine, double wall_now) {
  if (machine.state != protocol::CloudState::kStarting ||
      machine.age >= usual_boot_time(machine.type) * kMaxAdoptedAgeFactor) {
    return false;
  }
  spdlog::info("machine is booting, rented by another incarnation: machine={} type={}",
               machine.id.get(), machine.type);
  machines_.push_back(
      {machine.id, machine.type, machine.zone, machine.spot, wall_now - machine.age.count()});
  return true;
}

std::vector<MachineId> BootingMachines::remove_finished_boots(const FleetStatus& fleet) {
  const std::set<MachineId> reporting = fleet.reporting_machines();
  std::vector<MachineId> failed_boots;
  std::erase_if(machines_, [&](const BootingMachine& machine) {
    const MachineKind kind = kind_of(machine);
    const Seconds age = age_of(machine, fleet.wall_now);
    if (reporting.contains(machine.id)) {
      boots_.record_boot(kind, age, fleet.now);
      return true;
    }
    if (fleet.is_released(machine.id)) return true;
    if (!boots_.has_failed_to_boot(kind, age, usual_boot_time(machine.type), fleet.now))
      return false;
    spdlog::info("machine never came up, to be released: machine={} age_s={:.0f}", machine.id.get(),
                 age.count());
    failed_boots.push_back(machine.id);
    return true;
  });
  return failed_boots;
}

std::vector<BootingMachine> BootingMachines::likely_to_boot(Time now, double wall_now) const {
  std::map<std::string, BootingCount> by_type;
  for (const BootingMachine& machine : machines_) {
    if (BootTracker::is_overdue(age_of(machine, wall_now), usual_boot_time(machine.type)))
      ++by_type[machine.type].overdue;
  }
  std::vector<BootingMachine> likely_machines;
  for (const BootingMachine& machine : machines_) {
    if (boots_.is_likely_to_boot(kind_of(machine), age_of(machine, wall_now),
                                 usual_boot_time(machine.type), by_type[machine.type], now))
      likely_machines.push_back(machine);
  }
  return likely_machines;
}

Seconds BootingMachines::usual_boot_time(const std::string& type_name) const {
  const MachineType* type = cache_.type(type_name);
  return type ? type->boot : kUnknownBootTime;
}

}  // namespace saddleslip::coordination

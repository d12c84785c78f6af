#include "simulation/simulated_cloud.h"

namespace saddleslip::testing {

std::vector<base::MachineId> SimulatedCloud::rent(const std::string& rental_name,
                                                  const coordination::MachineKind& kind,
                                                  int count) {
  if (rentals_.contains(rental_name)) failures_.add("rental name is used twice: " + rental_name);
  auto& rented = rentals_[rental_name];
  const bool is_offered = !kind.spot || spot_offered_;
  for (int i = 0; is_offered && i < count && capacity_[kind.type] > 0; ++i) {
    --capacity_[kind.type];
    const std::string id = "i-" + std::to_string(next_machine_++);
    workers_.add(id, kind.type, kind.zone, kind.spot, clock_.seconds() + boot_time_s_);
    rented.emplace_back(id);
  }
  return rented;
}

void SimulatedCloud::release(const base::MachineId& machine) {
  workers_.remove(machine.get());
  ++release_count_;
}

}  // namespace saddleslip::testing

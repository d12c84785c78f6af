// The cloud provider of a simulated cluster: its free capacity by machine type, the machines' boot
// time, and the rental and release of machines.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "coordination/fleet/scaling_plan.h"
#include "simulation/failure_log.h"
#include "simulation/simulated_clock.h"
#include "simulation/simulated_workers.h"

namespace saddleslip::testing {

// Rents machines, which it adds to the simulated workers, and releases them, which removes them.
class SimulatedCloud {
 public:
  SimulatedCloud(const SimulatedClock& clock, SimulatedWorkers& workers, FailureLog& failures)
      : clock_(clock), workers_(workers), failures_(failures) {}

  // Starts or ends an outage, during which controllers neither rent nor release machines.
  void set_down(bool down) { down_ = down; }
  bool is_down() const { return down_; }
  // Sets whether spot machines can be rented.
  void set_spot_offered(bool offered) { spot_offered_ = offered; }
  // Sets how many more machines of this type can be rented.
  void set_capacity(const std::string& type, int machines) { capacity_[type] = machines; }
  // Sets the boot time of machines that are rented from now on.
  void set_boot_time(double seconds) { boot_time_s_ = seconds; }
  // Makes the machines that are rented from now on never finish booting.
  void set_never_boots() { boot_time_s_ = kNeverBootsSeconds; }

  // Rents up to `count` machines, as far as the capacity allows. Reports a failure if the rental's
  // name was used before.
  std::vector<base::MachineId> rent(const std::string& rental_name,
                                    const coordination::MachineKind& kind, int count);
  // Ends a machine, with all tasks on it.
  void release(const base::MachineId& machine);
  // Returns how many machines were released so far.
  int release_count() const { return release_count_; }

 private:
  static constexpr double kNeverBootsSeconds = 1e9;

  const SimulatedClock& clock_;
  SimulatedWorkers& workers_;
  FailureLog& failures_;
  bool down_ = false;
  bool spot_offered_ = true;
  double boot_time_s_ = 5;
  std::map<std::string, int> capacity_;
  std::map<std::string, std::vector<base::MachineId>> rentals_;
  int next_machine_ = 1;
  int release_count_ = 0;
};

}  // namespace saddleslip::testing

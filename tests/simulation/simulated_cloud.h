// The cloud of a simulated cluster: which machines can be rented, and how long they take to boot.
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

class SimulatedCloud {
 public:
  SimulatedCloud(const SimulatedClock& clock, SimulatedWorkers& workers, FailureLog& failures)
      : clock_(clock), workers_(workers), failures_(failures) {}

  void set_down(bool down) { down_ = down; }
  bool is_down() const { return down_; }
  void set_spot_offered(bool offered) { spot_offered_ = offered; }
  void set_capacity(const std::string& type, int machines) { capacity_[type] = machines; }
  // Of machines that are rented from now on.
  void set_boot_time(double seconds) { boot_time_s_ = seconds; }
  void set_boots_never() { boot_time_s_ = kNever; }

  // Rents as many machines as there are, up to `count`. The name of a rental must be new.
  std::vector<base::MachineId> rent(const std::string& rental,
                                    const coordination::MachineKind& kind, int count);
  void release(const base::MachineId& machine);
  int releases() const { return releases_; }

 private:
  static constexpr double kNever = 1e9;

  const SimulatedClock& clock_;
  SimulatedWorkers& workers_;
  FailureLog& failures_;
  bool down_ = false;
  bool spot_offered_ = true;
  double boot_time_s_ = 5;
  std::map<std::string, int> capacity_;
  std::map<std::string, std::vector<base::MachineId>> rentals_;
  int next_machine_ = 1;
  int releases_ = 0;
};

}  // namespace saddleslip::testing

// Tracks faults that excuse waiting jobs in a simulated cluster: cut links, an outage of the state
// service, delayed commits, watch lags, and controllers that are down, loading or frozen.
#pragma once

#include "simulation/simulated_clock.h"
#include "simulation/simulated_controllers.h"
#include "simulation/simulated_network.h"
#include "simulation/simulated_state_service.h"

namespace saddleslip::testing {

// Detects these faults from the state of the network, the state service and the controllers.
class TroubleTracker {
 public:
  TroubleTracker(const SimulatedClock& clock, const SimulatedNetwork& network,
                 const SimulatedStateService& state, const SimulatedControllers& controllers)
      : clock_(clock), network_(network), state_(state), controllers_(controllers) {}

  // Returns whether the cluster currently has a fault that excuses waiting.
  bool has_active_fault() const;
  // Records the current time if the cluster has such a fault. Must be called regularly.
  void update() {
    if (has_active_fault()) last_fault_at_ = clock_.seconds();
  }
  // Returns when `update` last saw a fault, in seconds since the start of the scenario; 0 if never.
  double last_fault_at() const { return last_fault_at_; }

 private:
  const SimulatedClock& clock_;
  const SimulatedNetwork& network_;
  const SimulatedStateService& state_;
  const SimulatedControllers& controllers_;
  double last_fault_at_ = 0;
};

}  // namespace saddleslip::testing

// Whether a simulated cluster has troubles that excuse waiting: cuts, outages, lags, controllers away.
#pragma once

#include "simulation/simulated_clock.h"
#include "simulation/simulated_controllers.h"
#include "simulation/simulated_network.h"
#include "simulation/simulated_state_service.h"

namespace saddleslip::testing {

class TroubleTracker {
 public:
  TroubleTracker(const SimulatedClock& clock, const SimulatedNetwork& network,
                 const SimulatedStateService& state, const SimulatedControllers& controllers)
      : clock_(clock), network_(network), state_(state), controllers_(controllers) {}

  bool is_troubled() const;
  // To be called regularly: notes the time if there are troubles.
  void update() {
    if (is_troubled()) last_troubled_at_ = clock_.seconds();
  }
  // Seconds of the scenario; 0: never.
  double last_troubled_at() const { return last_troubled_at_; }

 private:
  const SimulatedClock& clock_;
  const SimulatedNetwork& network_;
  const SimulatedStateService& state_;
  const SimulatedControllers& controllers_;
  double last_troubled_at_ = 0;
};

}  // namespace saddleslip::testing

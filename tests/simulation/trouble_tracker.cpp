#include "simulation/trouble_tracker.h"

namespace saddleslip::testing {

bool TroubleTracker::is_troubled() const {
  if (state_.is_down() || network_.has_cuts() || state_.has_announced_delays() ||
      controllers_.any_watch_lags()) {
    return true;
  }
  for (std::size_t n = 0; n < controllers_.count(); ++n) {
    if (!controllers_.is_serving(n) || controllers_.is_frozen(n)) return true;
  }
  return false;
}

}  // namespace saddleslip::testing

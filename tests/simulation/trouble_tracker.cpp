#include "simulation/trouble_tracker.h"

namespace saddleslip::testing {

bool TroubleTracker::has_active_fault() const {
  if (state_.is_down() || network_.has_cuts() || state_.has_pending_commit_delays() ||
      controllers_.has_watch_lag()) {
    return true;
  }
  for (std::size_t controller = 0; controller < controllers_.count(); ++controller) {
    if (!controllers_.is_serving(controller) || controllers_.is_frozen(controller)) return true;
  }
  return false;
}

}  // namespace saddleslip::testing

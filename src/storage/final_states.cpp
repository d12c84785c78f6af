#include "storage/final_states.h"

namespace saddleslip::storage {

using base::JobId;
using protocol::FinalState;

bool FinalStates::remember(const JobId& id, const FinalState& state) {
  if (!states_.emplace(id, state).second) return false;
  oldest_first_.push_back(id);
  if (oldest_first_.size() > capacity_) {
    states_.erase(oldest_first_.front());
    oldest_first_.pop_front();
  }
  return true;
}

std::optional<FinalState> FinalStates::find(const JobId& id) const {
  const auto at = states_.find(id);
  if (at == states_.end()) return {};
  return at->second;
}

}  // namespace saddleslip::storage

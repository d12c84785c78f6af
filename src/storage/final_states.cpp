#include "storage/final_states.h"

namespace saddleslip::storage {

using base::JobId;
using protocol::FinalState;

bool FinalStates::add(const JobId& id, const FinalState& state) {
  if (!states_.emplace(id, state).second) return false;
  insertion_order_.push_back(id);
  if (insertion_order_.size() > capacity_) {
    states_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
  return true;
}

std::optional<FinalState> FinalStates::find(const JobId& id) const {
  const auto found = states_.find(id);
  if (found == states_.end()) return {};
  return found->second;
}

}  // namespace saddleslip::storage

// The clock of the small world, and its steps.
#include "simulation/simulated_cluster.h"

#include <algorithm>
#include <sstream>

#include "simulation/simulation_internal.h"

namespace saddleslip::testing {

void SimulatedCluster::step() {
  clock_.advance();
  state_.step();
  for (std::size_t i = 0; i < late_.size();) {
    const auto w = workers_.find(late_[i].machine);
    const bool hung = w != workers_.end() && w->second.hung;
    if (hung || (late_[i].at >= 0 && clock_.seconds() < late_[i].at)) {
      ++i;
      continue;
    }
    const Late l = late_[i];
    late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(i));
    deliver(l.order, l.from);
  }
  for (std::size_t i = 0; i < late_heartbeats_.size();) {
    if (clock_.seconds() < late_heartbeats_[i].at) {
      ++i;
      continue;
    }
    const LateHeartbeat late = late_heartbeats_[i];
    late_heartbeats_.erase(late_heartbeats_.begin() + static_cast<std::ptrdiff_t>(i));
    for (SimulatedController& node : nodes_) {
      if (!node.up || !node.loaded) continue;
      node.controller->handle_heartbeat(late.heartbeat, clock_.now());
      node.round_due = true;
    }
  }
  step_workers();
  for (std::size_t n = 0; n < nodes_.size(); ++n) step_node(n);
  if (clock_.seconds() >= next_poll_) poll();
  check_rules();
}

std::vector<std::string> SimulatedCluster::run(const std::string& text) {
  std::istringstream in(text);
  std::string line;
  int number = 0;
  while (failures_.empty() && std::getline(in, line)) {
    ++number;
    if (line.empty() || line[0] == '#') continue;
    command(line);
    if (!failures_.empty()) failures_.add_position(number, line);
  }
  if (failures_.empty()) check_served(kServedWithin);
  if (starts_ == 0 && failures_.empty()) failures_.add("nothing_ran");
  return failures_.lines();
}

}  // namespace saddleslip::testing

// The clock of the small world, and its steps.
#include "simulation/simulated_cluster.h"

#include <algorithm>
#include <sstream>

#include "simulation/simulation_internal.h"

namespace saddleslip::testing {

std::string node_name(std::size_t n) {
  std::string name("n");
  name += std::to_string(n);
  return name;
}

Time SimulatedCluster::now() const {
  return Time(std::chrono::duration_cast<base::SteadyClock::duration>(base::Seconds(1000 + t_)));
}

void SimulatedCluster::broken(const std::string& what) {
  std::ostringstream out;
  out.precision(4);
  out << "at " << t_ << ": " << what;
  failures_.push_back(out.str());
}

bool SimulatedCluster::cut(const std::string& a, const std::string& b) const {
  return cuts_.contains({a, b}) || cuts_.contains({b, a});
}

void SimulatedCluster::step() {
  t_ += kStep;
  expire_leases();
  for (std::size_t i = 0; i < late_commits_.size();) {
    if (t_ < late_commits_[i].first) {
      ++i;
      continue;
    }
    apply(late_commits_[i].second);
    late_commits_.erase(late_commits_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  for (std::size_t i = 0; i < late_.size();) {
    const auto w = workers_.find(late_[i].machine);
    const bool hung = w != workers_.end() && w->second.hung;
    if (hung || (late_[i].at >= 0 && t_ < late_[i].at)) {
      ++i;
      continue;
    }
    const Late l = late_[i];
    late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(i));
    deliver(l.order, l.from);
  }
  for (std::size_t i = 0; i < late_heartbeats_.size();) {
    if (t_ < late_heartbeats_[i].at) {
      ++i;
      continue;
    }
    const LateHeartbeat late = late_heartbeats_[i];
    late_heartbeats_.erase(late_heartbeats_.begin() + static_cast<std::ptrdiff_t>(i));
    for (SimulatedController& node : nodes_) {
      if (!node.up || !node.loaded) continue;
      node.controller->handle_heartbeat(late.heartbeat, now());
      node.round_due = true;
    }
  }
  step_workers();
  for (std::size_t n = 0; n < nodes_.size(); ++n) step_node(n);
  if (t_ >= next_poll_) poll();
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
    if (!failures_.empty()) failures_.push_back("in line " + std::to_string(number) + ": " + line);
  }
  if (failures_.empty()) check_served(kServedWithin);
  if (starts_ == 0 && failures_.empty()) broken("nothing_ran");
  return failures_;
}

}  // namespace saddleslip::testing

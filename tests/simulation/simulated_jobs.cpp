#include "simulation/simulated_jobs.h"

#include <algorithm>
#include <vector>

namespace saddleslip::testing {

const SimulatedJob* SimulatedJobs::find(const JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

SimulatedJob* SimulatedJobs::find(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool SimulatedJobs::dependencies_are_done(const SimulatedJob& job) const {
  const auto is_done = [this](const JobId& id) {
    const SimulatedJob* dependency = find(id);
    const auto* record = state_.find(protocol::tombstone_key(id));
    return dependency && dependency->completed_tasks.size() == dependency->spec.tasks && record &&
           record->value["f"] == "d";
  };
  return std::all_of(job.spec.dependencies.begin(), job.spec.dependencies.end(), is_done);
}

std::optional<double> SimulatedJobs::dependency_cancelled_at(const SimulatedJob& job) const {
  std::optional<double> earliest_cancelled_at;
  std::set<JobId> visited;
  std::vector<JobId> to_visit = job.spec.dependencies;
  while (!to_visit.empty()) {
    const JobId id = to_visit.back();
    to_visit.pop_back();
    const SimulatedJob* dependency = find(id);
    if (!dependency || !visited.insert(id).second) continue;
    const auto& cancelled_at = dependency->cancelled_at;
    if (cancelled_at && (!earliest_cancelled_at || *cancelled_at < *earliest_cancelled_at))
      earliest_cancelled_at = cancelled_at;
    const auto& next_dependencies = dependency->spec.dependencies;
    to_visit.insert(to_visit.end(), next_dependencies.begin(), next_dependencies.end());
  }
  return earliest_cancelled_at;
}

bool SimulatedJobs::is_cancellation_expected(const SimulatedJob& job) const {
  return job.is_cancellation_requested || dependency_cancelled_at(job);
}

}  // namespace saddleslip::testing

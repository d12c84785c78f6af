#include "simulation/simulated_jobs.h"

#include <algorithm>
#include <vector>

namespace saddleslip::testing {

const SimulatedJob* SimulatedJobs::find(const JobId& id) const {
  const auto at = jobs_.find(id);
  return at == jobs_.end() ? nullptr : &at->second;
}

SimulatedJob* SimulatedJobs::find(const JobId& id) {
  const auto at = jobs_.find(id);
  return at == jobs_.end() ? nullptr : &at->second;
}

bool SimulatedJobs::dependencies_are_done(const SimulatedJob& job) const {
  const auto is_done = [this](const JobId& id) {
    const SimulatedJob* dependency = find(id);
    const auto* record = state_.find(protocol::final_key(id));
    return dependency && dependency->done.size() == dependency->spec.tasks && record &&
           record->value["f"] == "d";
  };
  return std::all_of(job.spec.dependencies.begin(), job.spec.dependencies.end(), is_done);
}

std::optional<double> SimulatedJobs::dependency_cancelled_at(const SimulatedJob& job) const {
  std::optional<double> first;
  std::set<JobId> seen;
  std::vector<JobId> open = job.spec.dependencies;
  while (!open.empty()) {
    const JobId id = open.back();
    open.pop_back();
    const SimulatedJob* dependency = find(id);
    if (!dependency || !seen.insert(id).second) continue;
    const auto& cancelled_at = dependency->cancelled_at;
    if (cancelled_at && (!first || *cancelled_at < *first)) first = cancelled_at;
    const auto& further = dependency->spec.dependencies;
    open.insert(open.end(), further.begin(), further.end());
  }
  return first;
}

bool SimulatedJobs::is_cancellation_asked(const SimulatedJob& job) const {
  return job.is_cancel_asked || dependency_cancelled_at(job);
}

}  // namespace saddleslip::testing

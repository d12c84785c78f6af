#include "coordination/scheduling/partition_capacity.h"

#include <algorithm>
#include <cmath>

#include "coordination/fleet/scaling_plan.h"

namespace saddleslip::coordination {

using protocol::JobSpec;
using protocol::MachineStatus;
using protocol::Resources;

namespace {

constexpr double kUnlimitedTasks = 1e9;  // how many tasks fit if the job requests no resources
constexpr double kRoundingError = 1e-9;

}  // namespace

bool PartitionCapacity::Candidate::may_run(const JobSpec& spec) const {
  return coordination::may_run(spec, machine->type, machine->zone, machine->spot);
}

bool PartitionCapacity::Candidate::fits_by_preemption(const Resources& request) const {
  Resources available = free;
  available += preemptible;
  return available.fits(request);
}

std::size_t PartitionCapacity::Candidate::tasks_that_fit(const Resources& request) const {
  double fitting_tasks = kUnlimitedTasks;
  for (std::size_t i = 0; i < free.amounts.size(); ++i) {
    if (request.amounts[i] > 0)
      fitting_tasks =
          std::min(fitting_tasks, free.amounts[i] / request.amounts[i] + kRoundingError);
  }
  return static_cast<std::size_t>(std::max(0.0, std::floor(fitting_tasks)));
}

PartitionFit PartitionCapacity::fit(const JobSpec& spec,
                                    const std::set<std::string>& controller_zones,
                                    bool may_preempt) const {
  PartitionFit fit;
  for (const Candidate& candidate : candidates_) {
    if ((!may_preempt && !candidate.free.fits(spec.request)) || !candidate.may_run(spec)) continue;
    const MachineStatus& machine = *candidate.machine;
    const std::size_t tasks = candidate.tasks_that_fit(spec.request);
    // Evaluated only if it affects the result, since the image lookup is expensive.
    const bool has_image =
        (tasks > 0 || !fit.fits_by_preemption_with_image) && machine.has_image(spec.image);
    if (tasks > 0) {
      const bool in_controller_zone = controller_zones.contains(machine.zone);
      fit.tasks_that_fit += tasks;
      fit.has_image |= has_image;
      fit.in_controller_zone |= in_controller_zone;
      fit.has_image_in_controller_zone |= has_image && in_controller_zone;
    }
    const bool may_improve =
        !fit.fits_by_preemption || (has_image && !fit.fits_by_preemption_with_image);
    if (may_preempt && may_improve && candidate.fits_by_preemption(spec.request)) {
      fit.fits_by_preemption = true;
      fit.fits_by_preemption_with_image |= has_image;
    }
  }
  return fit;
}

void PartitionCapacity::deduct_free(const JobSpec& spec, std::size_t tasks) {
  for (Candidate& candidate : candidates_) {
    if (tasks == 0) return;
    if (!candidate.free.fits(spec.request) || !candidate.may_run(spec)) continue;
    while (tasks > 0 && candidate.free.fits(spec.request)) {
      candidate.free -= spec.request;
      free_cores_ -= spec.request.cores();
      --tasks;
    }
  }
}

void PartitionCapacity::deduct_preemptible(const JobSpec& spec) {
  const auto candidate = std::find_if(
      candidates_.begin(), candidates_.end(),
      [&](const Candidate& c) { return c.fits_by_preemption(spec.request) && c.may_run(spec); });
  if (candidate != candidates_.end()) candidate->preemptible -= spec.request;
}

}  // namespace saddleslip::coordination

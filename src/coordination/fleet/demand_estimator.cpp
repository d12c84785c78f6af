#include "coordination/fleet/demand_estimator.h"

#include <algorithm>
#include <cmath>

namespace saddleslip::coordination {

using base::JobId;
using protocol::JobSpec;
using protocol::Kind;
using storage::Job;

namespace {

constexpr double kRunTimeMargin = 1.2;  // factor on the estimated run time
// Boots take up to this factor times the usual boot time.
constexpr double kBootMargin = 1.5;
// Factor on the run time of tasks that run one after another on the same cores.
constexpr double kWaveMargin = 1.3;
// The maximum number of tasks planned to run one after another on the same cores.
constexpr double kMaxWaves = 3;
// The share of a running task's run time that is assumed to remain.
constexpr double kRemainingShareOfRunning = 0.6;
constexpr double kMinCores = 0.01;  // for a task that requests no cores
// Tolerance for rounding errors in sums of fractional cores.
constexpr double kQuotaTolerance = 1e-9;

double cores_of(const JobSpec& spec) {
  return std::max(kMinCores, spec.request.cores());
}

bool is_array_with_deadline(const JobSpec& spec) {
  return spec.kind == Kind::kArray && spec.deadline.has_value();
}

}  // namespace

std::vector<Demand> DemandEstimator::waiting_demand(const JobPredicate& is_crash_looping,
                                                    Time now) const {
  std::vector<Demand> demands;
  std::map<JobId, std::size_t> timely_counts = timely_tasks(is_crash_looping, now);
  QuotaByTeam remaining_quota;
  for (const auto& [id, job] : cache_.jobs()) {
    const JobSpec& spec = job.record.spec;
    if (job.pending() == 0 || is_crash_looping(id)) continue;
    std::size_t count = within_quota(spec, job.pending(), remaining_quota);
    if (count > 0 && is_array_with_deadline(spec)) count = std::min(count, timely_counts[id]);
    if (count == 0) continue;
    Demand demand;
    demand.request = spec.request;
    demand.count = count;
    demand.tier = priorities_.tier(job);
    demand.spec = &spec;
    demand.spot_only = priorities_.is_best_effort(job);
    demands.push_back(demand);
    if (demand.spot_only && priorities_.starving_tasks(job, now)) {
      // The job has waited too long for spare capacity: request one on-demand machine for one of
      // its tasks.
      demand.count = 1;
      demand.spot_only = false;
      demands.push_back(demand);
    }
  }
  return demands;
}

std::map<MachineId, std::vector<const JobSpec*>> DemandEstimator::movable_services() const {
  std::map<MachineId, std::vector<const JobSpec*>> services_by_machine;
  for (const auto& [machine, tasks] : cache_.assignments_by_machine()) {
    for (const auto& [task, assignment] : tasks) {
      const Job* job = cache_.job(task.job);
      if (job && job->record.spec.kind == Kind::kService && !job->cancelled()) {
        services_by_machine[machine].push_back(&job->record.spec);
      }
    }
  }
  return services_by_machine;
}

Seconds DemandEstimator::shortest_boot_time() const {
  Seconds shortest{0};
  for (const MachineType& type : cache_.catalogue()) {
    if (shortest.count() == 0 || type.boot < shortest) shortest = type.boot;
  }
  return shortest;
}

std::vector<DemandEstimator::DueArray> DemandEstimator::due_arrays(
    const JobPredicate& is_crash_looping, Time now) const {
  std::vector<DueArray> arrays;
  for (const auto& [id, job] : cache_.jobs()) {
    const JobSpec& spec = job.record.spec;
    if (!is_array_with_deadline(spec) || job.cancelled() || job.done >= spec.tasks ||
        is_crash_looping(id)) {
      continue;
    }
    arrays.push_back({due_time(job, now), &job});
  }
  std::stable_sort(arrays.begin(), arrays.end(),
                   [](const DueArray& a, const DueArray& b) { return a.due < b.due; });
  return arrays;
}

double DemandEstimator::due_time(const Job& job, Time now) const {
  const JobSpec& spec = job.record.spec;
  const double due = priorities_.due_time(job, now);
  const auto start_within = priorities_.start_within(spec);
  if (!start_within) return due;
  // All tasks should start within the time that the objectives give, while that can still be met.
  const double latest_start = job.startable_since() + start_within->count();
  if (latest_start <= priorities_.time_of_day(now)) return due;
  return std::min(due, latest_start + priorities_.run_time(spec).count());
}

// Processes the arrays in the order of their due times. For each due time, the cores needed are the
// work due by then divided by the time until then; the result is the maximum over all due times.
double DemandEstimator::missing_cores(const std::vector<DueArray>& arrays, Time now) const {
  const double boot_time = shortest_boot_time().count();
  double core_seconds = 0, running_cores = 0, needed_cores = 0;
  for (const auto& [due, job] : arrays) {
    const JobSpec& spec = job->record.spec;
    const double run_time = priorities_.run_time(spec).count() * kRunTimeMargin;
    const double cores = cores_of(spec);
    const double available_time = due - priorities_.time_of_day(now) - boot_time * kBootMargin;
    const double waves =
        std::clamp(std::floor(available_time / (run_time * kWaveMargin)), 1.0, kMaxWaves);
    core_seconds += (job->pending() + kRemainingShareOfRunning * job->assigned) * run_time * cores;
    running_cores += job->assigned * cores;
    needed_cores = std::max(needed_cores, core_seconds / (waves * run_time));
  }
  return std::max(0.0, needed_cores - running_cores);
}

// Returns for each array how many of its waiting tasks need capacity now so that all arrays finish
// in time. Tasks that can wait for others to end need no additional machines.
std::map<JobId, std::size_t> DemandEstimator::timely_tasks(const JobPredicate& is_crash_looping,
                                                           Time now) const {
  const std::vector<DueArray> arrays = due_arrays(is_crash_looping, now);
  double missing = missing_cores(arrays, now);
  std::map<JobId, std::size_t> tasks;
  for (const auto& [due, job] : arrays) {
    const double cores = cores_of(job->record.spec);
    const double count = std::min(static_cast<double>(job->pending()), std::ceil(missing / cores));
    tasks[job->record.spec.id] = static_cast<std::size_t>(count);
    missing = std::max(0.0, missing - count * cores);
  }
  return tasks;
}

std::size_t DemandEstimator::within_quota(const JobSpec& spec, std::size_t waiting,
                                          QuotaByTeam& remaining) const {
  if (!cache_.has_quota_limit(spec.team)) return waiting;
  const base::Team& team = settings_.teams.at(spec.team);
  const auto [entry, is_new] = remaining.try_emplace(spec.team);
  Resources& remaining_quota = entry->second;
  if (is_new) {
    remaining_quota.amounts = {team.max_cores, team.max_gpus, 0};
    remaining_quota -= cache_.team_use(spec.team);
  }
  std::size_t count = waiting;
  if (team.max_cores > 0 && spec.request.cores() > 0) {
    const double fit = remaining_quota.cores() / spec.request.cores() + kQuotaTolerance;
    count = std::min(count, static_cast<std::size_t>(std::max(0.0, fit)));
  }
  remaining_quota -= spec.request * static_cast<double>(count);
  return count;
}

}  // namespace saddleslip::coordination

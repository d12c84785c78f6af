#include "coordination/fleet/demand_estimator.h"

#include <algorithm>
#include <cmath>

namespace saddleslip::coordination {

using base::JobId;
using protocol::JobSpec;
using protocol::Kind;
using storage::Job;

namespace {

constexpr double kRunTimeMargin = 1.2;    // of an estimated run time
constexpr double kBootMargin = 1.5;       // boots take up to so many times as long
constexpr double kWaveMargin = 1.3;       // of a run, before another fits after it
constexpr double kMostWaves = 3;          // runs one after the other that are counted on
constexpr double kLeftOfRunning = 0.6;    // the share of a running task that is still to come
constexpr double kLeastCores = 0.01;      // of a task that asks for none
constexpr double kQuotaTolerance = 1e-9;  // for sums of fractions of cores

double cores_of(const JobSpec& spec) {
  return std::max(kLeastCores, spec.request.cores());
}

bool is_array_with_deadline(const JobSpec& spec) {
  return spec.kind == Kind::kArray && spec.deadline.has_value();
}

}  // namespace

std::vector<Demand> DemandEstimator::waiting(const JobPredicate& is_crash_looping, Time now) const {
  std::vector<Demand> out;
  std::map<JobId, std::size_t> timely = timely_tasks(is_crash_looping, now);
  QuotaByTeam remaining_quota;
  for (const auto& [id, job] : cache_.jobs()) {
    const JobSpec& spec = job.record.spec;
    if (job.pending() == 0 || is_crash_looping(id)) continue;
    std::size_t count = within_quota(spec, job.pending(), remaining_quota);
    if (count > 0 && is_array_with_deadline(spec)) count = std::min(count, timely[id]);
    if (count == 0) continue;
    Demand demand;
    demand.request = spec.request;
    demand.count = count;
    demand.tier = priorities_.tier(job);
    demand.spec = &spec;
    demand.spot_only = priorities_.is_spare_time(job);
    out.push_back(demand);
    if (demand.spot_only && priorities_.starving_tasks(job, now)) {
      // It has waited too long for capacity that others leave over: one task,
      // on any machine.
      demand.count = 1;
      demand.spot_only = false;
      out.push_back(demand);
    }
  }
  return out;
}

std::map<MachineId, std::vector<const JobSpec*>> DemandEstimator::movable_services() const {
  std::map<MachineId, std::vector<const JobSpec*>> out;
  for (const auto& [machine, tasks] : cache_.assigned()) {
    for (const auto& [task, assignment] : tasks) {
      const Job* job = cache_.job(task.job);
      if (job && job->record.spec.kind == Kind::kService && !job->cancelled()) {
        out[machine].push_back(&job->record.spec);
      }
    }
  }
  return out;
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
  const double due = priorities_.due(job, now);
  const auto start_within = priorities_.start_within(spec);
  if (!start_within) return due;
  // All tasks should have started within what the objectives say, while that
  // can still be met.
  const double latest_start = job.startable_since() + start_within->count();
  if (latest_start <= priorities_.time_of_day(now)) return due;
  return std::min(due, latest_start + priorities_.run_time(spec).count());
}

// In the order in which the arrays are due: the work that is due by then, over
// the time until then, is the capacity that all of them up to there must have.
double DemandEstimator::missing_cores(const std::vector<DueArray>& arrays, Time now) const {
  const double boot_time = shortest_boot_time().count();
  double core_seconds = 0, running_cores = 0, needed_cores = 0;
  for (const auto& [due, job] : arrays) {
    const JobSpec& spec = job->record.spec;
    const double run_time = priorities_.run_time(spec).count() * kRunTimeMargin;
    const double cores = cores_of(spec);
    const double left = due - priorities_.time_of_day(now) - boot_time * kBootMargin;
    const double waves = std::clamp(std::floor(left / (run_time * kWaveMargin)), 1.0, kMostWaves);
    core_seconds += (job->pending() + kLeftOfRunning * job->assigned) * run_time * cores;
    running_cores += job->assigned * cores;
    needed_cores = std::max(needed_cores, core_seconds / (waves * run_time));
  }
  return std::max(0.0, needed_cores - running_cores);
}

// How many of each array's waiting tasks need capacity now, so that all arrays
// are complete when they are due. Tasks that may wait for others to end need no
// machines of their own.
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
  const auto [at, is_new] = remaining.try_emplace(spec.team);
  Resources& left = at->second;
  if (is_new) {
    left.v = {team.max_cores, team.max_gpus, 0};
    left -= cache_.team_use(spec.team);
  }
  std::size_t count = waiting;
  if (team.max_cores > 0 && spec.request.cores() > 0) {
    const double fit = left.cores() / spec.request.cores() + kQuotaTolerance;
    count = std::min(count, static_cast<std::size_t>(std::max(0.0, fit)));
  }
  left -= spec.request * static_cast<double>(count);
  return count;
}

}  // namespace saddleslip::coordination

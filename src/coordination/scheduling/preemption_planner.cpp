#include "coordination/scheduling/preemption_planner.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "coordination/fleet/scaling_plan.h"

namespace saddleslip::coordination {

using base::Seconds;
using base::TaskId;
using base::Time;
using protocol::JobSpec;
using protocol::Resources;
using storage::Job;
using storage::Machine;

namespace {

// The minimum time between evictions for the same job, in which its victims can end.
constexpr Seconds kPreemptionInterval{6.0};
// If preemption has not freed a machine with the image within this time, the image is fetched
// elsewhere.
constexpr Seconds kPreferPreemptionDuration{1.5};
constexpr double kCoresRoundingError = 1e-6;

}  // namespace

// Returns the cores of tasks that are being evicted and have not ended yet, by team.
std::map<std::string, double> PreemptionPlanner::stopping_cores() const {
  std::map<std::string, double> cores;
  for (const auto& [id, machine] : std::as_const(machines_)) {
    for (const TaskId& task : machine.tasks_to_evict) {
      const Job* job = cache_.job(task.job);
      if (job && job->assignment(task.no)) {
        cores[job->record.spec.team] += job->record.spec.request.cores();
      }
    }
  }
  return cores;
}

// Returns by how many cores one more task of the job would exceed its team's maximum.
double PreemptionPlanner::cores_over_quota(const JobSpec& spec) const {
  if (!cache_.has_quota_limit(spec.team)) return 0;
  const base::Team& team = settings_.teams.at(spec.team);
  Resources usage = cache_.team_use(spec.team);
  usage += spec.request;
  return team.max_cores > 0 ? std::max(0.0, usage.cores() - team.max_cores) : 0;
}

// Returns the resources of tasks on the machine that are being evicted and have not ended yet.
Resources PreemptionPlanner::stopping_resources(const Machine& machine) const {
  Resources resources;
  const auto& assignments = cache_.assignments_on(machine.last_heartbeat.machine);
  for (const TaskId& task : machine.tasks_to_evict) {
    const auto assignment = assignments.find(task);
    const Job* job = cache_.job(task.job);
    if (job && assignment != assignments.end() &&
        !machine.reported_ended(task, assignment->second)) {
      resources += job->record.spec.request;
    }
  }
  return resources;
}

bool PreemptionPlanner::is_candidate(const Machine& machine, const JobSpec& spec, Time now) const {
  const auto& heartbeat = machine.last_heartbeat;
  return !machine.cordoned && machines_.is_schedulable(machine, now) &&
         may_run(spec, heartbeat.type, heartbeat.zone, heartbeat.spot);
}

bool PreemptionPlanner::prefers_preemption(const Job& job, Time now) const {
  const JobSpec& spec = job.record.spec;
  if (spec.rank > protocol::Rank::kUrgent || !priorities_.start_within(spec)) return false;
  const auto preemption = last_preemption_at_.find(spec.id);
  if (preemption != last_preemption_at_.end() &&
      base::between(preemption->second, now) > kPreferPreemptionDuration) {
    return false;
  }
  const auto& machines = std::as_const(machines_);
  return std::any_of(machines.begin(), machines.end(), [&](const auto& entry) {
    const Machine& machine = entry.second;
    if (!is_candidate(machine, spec, now) || !machine.has_image(spec.image)) return false;
    Resources available = capacity_.of(machine).free;
    available += capacity_.of(machine).preemptible;
    available += stopping_resources(machine);
    return available.fits(spec.request);
  });
}

bool PreemptionPlanner::may_preempt(const Preemptor& preemptor, const Job& other) const {
  const JobSpec& spec = preemptor.spec();
  const JobSpec& other_spec = other.record.spec;
  const bool is_over_quota = preemptor.cores_over_quota > kCoresRoundingError;
  // If the team is at its maximum, only lower-ranking tasks of the same team can be preempted.
  if (is_over_quota && other_spec.team != spec.team) return false;
  // The victim's inherited rank is compared with the preemptor's own rank. A victim therefore never
  // preempts the job that it was stopped for.
  if (priorities_.rank(other) > spec.rank) return true;
  if (is_over_quota) return false;
  if (!priorities_.is_guaranteed(*preemptor.job) || other_spec.team == spec.team ||
      other_spec.kind == protocol::Kind::kService || priorities_.is_guaranteed(other)) {
    return false;
  }
  return exceeds_guarantee(preemptor, other_spec.team);
}

// Returns whether the team still uses more than its guarantee once all tasks that are being stopped
// have ended. Guaranteed jobs preempt only the excess: a victim within its team's guarantee would
// be entitled to preempt other tasks in turn, without end.
bool PreemptionPlanner::exceeds_guarantee(const Preemptor& preemptor,
                                          const std::string& team_name) const {
  const auto team = settings_.teams.find(team_name);
  if (team == settings_.teams.end()) return false;
  const auto stopping = preemptor.stopping_cores.find(team_name);
  const double stopping_cores = stopping == preemptor.stopping_cores.end() ? 0 : stopping->second;
  return cache_.team_use(team_name).cores() - stopping_cores >
         team->second.guaranteed_cores + kCoresRoundingError;
}

// Returns the tasks on the machine that may be preempted, in ascending order of the work lost.
std::vector<PreemptionPlanner::Victim> PreemptionPlanner::victims_on(const Preemptor& preemptor,
                                                                     const Machine& machine,
                                                                     Time now) const {
  std::vector<Victim> victims;
  for (const auto& [task, assignment] : cache_.assignments_on(machine.last_heartbeat.machine)) {
    const Job* job = cache_.job(task.job);
    if (!job || job->cancelled() || machine.tasks_to_evict.contains(task) ||
        machine.reported_ended(task, assignment) || !may_preempt(preemptor, *job)) {
      continue;
    }
    const auto started_at = machine.running_since.find(task);
    const Seconds work_lost = started_at == machine.running_since.end()
                                  ? Seconds(0)
                                  : base::between(started_at->second, now);
    victims.push_back({task, job->record.spec.request, work_lost});
  }
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) { return a.work_lost < b.work_lost; });
  return victims;
}

// Returns the tasks to evict from this machine so that one task of the job fits there, or nullopt
// if evictions cannot free enough capacity.
std::optional<PreemptionPlanner::EvictionPlan> PreemptionPlanner::plan_eviction(
    const Preemptor& preemptor, const Machine& machine, Time now) const {
  const Resources& request = preemptor.spec().request;
  Resources available = capacity_.of(machine).free;
  available += stopping_resources(machine);
  const auto claimed = preemptor.claimed.find(machine.last_heartbeat.machine);
  if (claimed != preemptor.claimed.end()) available -= claimed->second;
  // Skips the search for victims if they could not free enough. This does not hold for guaranteed
  // jobs, which may preempt more than the lower-ranking tasks that `preemptible` counts.
  if (!priorities_.is_guaranteed(*preemptor.job)) {
    Resources maximum = available;
    maximum += capacity_.of(machine).preemptible;
    if (!maximum.fits(request)) return {};
  }
  EvictionPlan plan;
  double cores_over_quota = preemptor.cores_over_quota;
  for (const Victim& victim : victims_on(preemptor, machine, now)) {
    if (available.fits(request) && cores_over_quota < kCoresRoundingError) break;
    cores_over_quota -= victim.request.cores();
    available += victim.request;
    plan.lost_core_seconds += victim.work_lost.count() * victim.request.cores();
    plan.tasks.push_back(victim.task);
  }
  if (!available.fits(request) || cores_over_quota > kCoresRoundingError) return {};
  return plan;
}

// Evicts tasks for one task of the job, on the machine on which this loses the least work. Returns
// false if there is no machine on which evictions can free enough capacity.
bool PreemptionPlanner::preempt_for_one_task(Preemptor& preemptor, Time now) {
  const JobSpec& spec = preemptor.spec();
  const bool needs_image = prefers_preemption(*preemptor.job, now);
  Machine* best = nullptr;
  EvictionPlan best_plan;
  for (auto& [id, machine] : machines_) {
    if (!is_candidate(machine, spec, now) || (needs_image && !machine.has_image(spec.image)) ||
        reservations_.is_reserved_for_other(id, spec.id)) {
      continue;
    }
    std::optional<EvictionPlan> plan = plan_eviction(preemptor, machine, now);
    if (!plan || (best && plan->lost_core_seconds >= best_plan.lost_core_seconds)) continue;
    best = &machine;
    best_plan = std::move(*plan);
  }
  if (!best) return false;
  evict(preemptor, *best, best_plan, now);
  return true;
}

void PreemptionPlanner::evict(Preemptor& preemptor, Machine& machine, const EvictionPlan& plan,
                              Time now) {
  const JobSpec& spec = preemptor.spec();
  const base::MachineId& id = machine.last_heartbeat.machine;
  preemptor.claimed[id] += spec.request;
  // Without the reservation the victims would be restarted on this machine and preempted again.
  reservations_.reserve_preempted_capacity(id, spec.id, base::after(now, kPreemptionInterval));
  for (const TaskId& victim : plan.tasks) {
    spdlog::info("task preempted: task={}/{} machine={} for_job={}", victim.job.get(), victim.no,
                 id.get(), spec.id.get());
    machine.tasks_to_evict.insert(victim);
    const Job* job = cache_.job(victim.job);
    if (job) {
      preemptor.stopping_cores[job->record.spec.team] += job->record.spec.request.cores();
    }
  }
  last_preemption_at_[spec.id] = now;
}

void PreemptionPlanner::preempt(const std::vector<UnplacedJob>& jobs, Time now) {
  std::erase_if(last_preemption_at_, [&](const auto& entry) {
    return base::between(entry.second, now) > kPreemptionInterval || !cache_.job(entry.first);
  });
  std::map<std::string, double> stopping;
  // The stopping cores are used only for guaranteed jobs.
  if (std::any_of(jobs.begin(), jobs.end(), [&](const UnplacedJob& unplaced) {
        return priorities_.is_guaranteed(*unplaced.job);
      })) {
    stopping = stopping_cores();
  }
  for (const UnplacedJob& unplaced : jobs) {
    const JobSpec& spec = unplaced.job->record.spec;
    if (!priorities_.may_preempt(*unplaced.job) || last_preemption_at_.contains(spec.id)) continue;
    Preemptor preemptor{unplaced.job, cores_over_quota(spec), std::move(stopping), {}};
    for (std::size_t remaining = unplaced.tasks; remaining > 0; --remaining) {
      if (!preempt_for_one_task(preemptor, now)) break;
    }
    stopping = std::move(preemptor.stopping_cores);
  }
}

}  // namespace saddleslip::coordination

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
// The number of machines that one call of preempt() may examine.
constexpr std::size_t kMaxExaminedMachines = 50'000;

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

bool PreemptionPlanner::prefers_preemption(const Job& job, Time now) {
  const JobSpec& spec = job.record.spec;
  if (spec.rank > protocol::Rank::kUrgent || !priorities_.start_within(spec)) return false;
  const auto preemption = last_preemption_at_.find(spec.id);
  if (preemption != last_preemption_at_.end() &&
      base::between(preemption->second, now) > kPreferPreemptionDuration) {
    return false;
  }
  if (has_machine_at_ != now) has_machine_.clear();
  has_machine_at_ = now;
  const auto [entry, is_new] = has_machine_.try_emplace(Requirement(spec), false);
  if (is_new) entry->second = has_machine_for_preemption(spec, now);
  return entry->second;
}

// Returns whether a machine with the job's image would have room for a task if all lower-ranking
// tasks on it were evicted. An eviction does not change this: it makes preemptible resources
// resources that are being freed.
bool PreemptionPlanner::has_machine_for_preemption(const JobSpec& spec, Time now) const {
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

const PreemptionPlanner::MachineVictims& PreemptionPlanner::victims_for_rank(
    const Preemptor& preemptor, const Machine& machine, Time now) {
  auto& by_machine = victims_by_rank_[preemptor.spec().rank];
  const auto [entry, is_new] = by_machine.try_emplace(machine.last_heartbeat.machine);
  if (is_new) entry->second = find_victims(preemptor, machine, now);
  return entry->second;
}

PreemptionPlanner::MachineVictims PreemptionPlanner::find_victims(const Preemptor& preemptor,
                                                                  const Machine& machine,
                                                                  Time now) const {
  MachineVictims found;
  found.available = capacity_.of(machine).free;
  found.available += stopping_resources(machine);
  found.victims = victims_on(preemptor, machine, now);
  return found;
}

bool PreemptionPlanner::depends_on_team(const Preemptor& preemptor) const {
  return priorities_.is_guaranteed(*preemptor.job) ||
         preemptor.cores_over_quota > kCoresRoundingError;
}

// Returns the tasks to evict from this machine so that one task of the job fits there, or nullopt
// if evictions cannot free enough capacity.
std::optional<PreemptionPlanner::EvictionPlan> PreemptionPlanner::plan_eviction(
    const Preemptor& preemptor, const Machine& machine, Time now) {
  const Resources& request = preemptor.spec().request;
  // Victims that depend on the team change with each eviction.
  MachineVictims victims_of_team;
  if (depends_on_team(preemptor)) victims_of_team = find_victims(preemptor, machine, now);
  const MachineVictims& found =
      depends_on_team(preemptor) ? victims_of_team : victims_for_rank(preemptor, machine, now);
  Resources available = found.available;
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
  for (const Victim& victim : found.victims) {
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
  examined_machines_ += machines_.size();
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
    for (auto& [rank, by_machine] : victims_by_rank_) by_machine.erase(id);
    const Job* job = cache_.job(victim.job);
    if (job) {
      preemptor.stopping_cores[job->record.spec.team] += job->record.spec.request.cores();
    }
  }
  last_preemption_at_[spec.id] = now;
}

bool PreemptionPlanner::preempt_for_job(Preemptor& preemptor, std::size_t tasks, Time now) {
  // A search that failed for one job fails for each other job of equal rank and requirement, since
  // evictions only reduce what can be preempted.
  const std::pair search{preemptor.spec().rank, Requirement(preemptor.spec())};
  if (failed_searches_.contains(search)) return true;
  for (std::size_t remaining = tasks; remaining > 0; --remaining) {
    if (examined_machines_ > kMaxExaminedMachines) return false;
    if (preempt_for_one_task(preemptor, now)) continue;
    if (preemptor.claimed.empty() && !depends_on_team(preemptor)) failed_searches_.insert(search);
    return true;
  }
  return true;
}

void PreemptionPlanner::preempt(const std::vector<UnplacedJob>& jobs, Time now) {
  victims_by_rank_.clear();
  failed_searches_.clear();
  examined_machines_ = 0;
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
  std::vector<UnplacedJob> order = jobs;
  const auto first = std::find_if(order.begin(), order.end(), [this](const UnplacedJob& unplaced) {
    return next_job_ && unplaced.job->record.spec.id == *next_job_;
  });
  if (first != order.end()) std::rotate(order.begin(), first, order.end());
  next_job_.reset();
  for (const UnplacedJob& unplaced : order) {
    const JobSpec& spec = unplaced.job->record.spec;
    if (!priorities_.may_preempt(*unplaced.job) || last_preemption_at_.contains(spec.id)) continue;
    Preemptor preemptor{unplaced.job, cores_over_quota(spec), std::move(stopping), {}};
    if (!preempt_for_job(preemptor, unplaced.tasks, now)) {
      next_job_ = spec.id;
      return;
    }
    stopping = std::move(preemptor.stopping_cores);
  }
}

}  // namespace saddleslip::coordination

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
    available += evictable_tasks_.stopping_resources(machine);
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
  if (!preemptor.is_guaranteed || other_spec.team == spec.team ||
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

bool PreemptionPlanner::may_preempt(Search& search, const Job& other) const {
  const auto [entry, is_new] = search.preemptible_jobs.try_emplace(&other, false);
  if (is_new) entry->second = may_preempt(search.preemptor, other);
  return entry->second;
}

bool PreemptionPlanner::depends_on_team(const Preemptor& preemptor) const {
  return preemptor.is_guaranteed || preemptor.cores_over_quota > kCoresRoundingError;
}

// Sets `plan` to the tasks to evict from this machine so that one task of the job fits there.
// Returns false if evictions cannot free enough capacity.
bool PreemptionPlanner::plan_eviction(Search& search, const Machine& machine, Time now,
                                      EvictionPlan& plan) {
  const Preemptor& preemptor = search.preemptor;
  const Resources& request = preemptor.spec().request;
  const MachineEvictableTasks& evictable = evictable_tasks_.on(machine, now);
  Resources available = evictable.available;
  const auto claimed = preemptor.claimed.find(machine.last_heartbeat.machine);
  if (claimed != preemptor.claimed.end()) available -= claimed->second;
  // Skips the search for victims if they could not free enough. This does not hold for guaranteed
  // jobs, which may preempt more than the lower-ranking tasks that `preemptible` counts.
  if (!preemptor.is_guaranteed) {
    Resources maximum = available;
    maximum += evictable.preemptible;
    if (!maximum.fits(request)) return false;
  }
  plan.tasks.clear();
  plan.lost_core_seconds = 0;
  double cores_over_quota = preemptor.cores_over_quota;
  for (const EvictableTask& task : evictable.tasks) {
    if (available.fits(request) && cores_over_quota < kCoresRoundingError) break;
    if (!may_preempt(search, *task.job)) continue;
    const Resources& freed = task.job->record.spec.request;
    cores_over_quota -= freed.cores();
    available += freed;
    plan.lost_core_seconds += task.work_lost.count() * freed.cores();
    plan.tasks.push_back(task);
  }
  return available.fits(request) && cores_over_quota <= kCoresRoundingError;
}

// Evicts tasks for one task of the job, on the machine on which this loses the least work. Returns
// false if there is no machine on which evictions can free enough capacity.
bool PreemptionPlanner::preempt_for_one_task(Preemptor& preemptor, Time now) {
  const JobSpec& spec = preemptor.spec();
  Search search{preemptor, prefers_preemption(*preemptor.job, now), {}};
  Machine* best = nullptr;
  EvictionPlan best_plan;
  EvictionPlan plan;
  examined_machines_ += machines_.size();
  for (auto& [id, machine] : machines_) {
    if (!is_candidate(machine, spec, now)) continue;
    if (search.needs_image && !machine.has_image(spec.image)) continue;
    if (!plan_eviction(search, machine, now, plan)) continue;
    if (best && plan.lost_core_seconds >= best_plan.lost_core_seconds) continue;
    if (reservations_.is_reserved_for_other(id, spec.id)) continue;
    best = &machine;
    std::swap(best_plan, plan);
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
  for (const EvictableTask& victim : plan.tasks) {
    spdlog::info("task preempted: task={}/{} machine={} for_job={}", victim.id->job.get(),
                 victim.id->no, id.get(), spec.id.get());
    machine.tasks_to_evict.insert(*victim.id);
    const JobSpec& victim_spec = victim.job->record.spec;
    preemptor.stopping_cores[victim_spec.team] += victim_spec.request.cores();
  }
  evictable_tasks_.forget(machine);
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
  failed_searches_.clear();
  examined_machines_ = 0;
  std::erase_if(last_preemption_at_, [&](const auto& entry) {
    return base::between(entry.second, now) > kPreemptionInterval || !cache_.job(entry.first);
  });
  std::vector<UnplacedJob> order = jobs;
  const auto first = std::find_if(order.begin(), order.end(), [this](const UnplacedJob& unplaced) {
    return next_job_ && unplaced.job->record.spec.id == *next_job_;
  });
  if (first != order.end()) std::rotate(order.begin(), first, order.end());
  next_job_ = preempt_in_order(order, now);
  evictable_tasks_.clear();
}

std::optional<base::JobId> PreemptionPlanner::preempt_in_order(
    const std::vector<UnplacedJob>& order, Time now) {
  std::map<std::string, double> stopping;
  // The stopping cores are used only for guaranteed jobs.
  if (std::any_of(order.begin(), order.end(), [&](const UnplacedJob& unplaced) {
        return priorities_.is_guaranteed(*unplaced.job);
      })) {
    stopping = stopping_cores();
  }
  for (const UnplacedJob& unplaced : order) {
    const JobSpec& spec = unplaced.job->record.spec;
    if (!priorities_.may_preempt(*unplaced.job) || last_preemption_at_.contains(spec.id)) continue;
    Preemptor preemptor{unplaced.job,
                        priorities_.is_guaranteed(*unplaced.job),
                        cores_over_quota(spec),
                        std::move(stopping),
                        {}};
    if (!preempt_for_job(preemptor, unplaced.tasks, now)) return spec.id;
    stopping = std::move(preemptor.stopping_cores);
  }
  return {};
}

}  // namespace saddleslip::coordination

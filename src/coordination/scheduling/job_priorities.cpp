#include "coordination/scheduling/job_priorities.h"

#include <algorithm>

namespace saddleslip::coordination {

using base::Seconds;
using base::Time;
using protocol::Rank;
using protocol::Resources;
using storage::Job;

namespace {

constexpr Seconds kUpdateInterval{0.5};  // between updates while no jobs are added or removed
// One in this many pending tasks of a starving job is placed before all other jobs.
constexpr std::size_t kPendingPerStarving = 4;
constexpr double kNoDeadlineDue = 1e15;      // later than the due times of all jobs with a deadline
constexpr double kMissedDeadlineDue = 1e14;  // later than all due times that can still be met
constexpr double kUnlimitedMemory = 1e12;    // guarantees cover cores and GPUs only
constexpr double kLearningRate = 0.05;       // weight of a new run time in its class's ratio
constexpr double kMinRunTimeRatio = 0.2, kMaxRunTimeRatio = 5.0;
constexpr Seconds kMinRunTime{1.0};
// Seconds between the end of a job and the start of its dependent: a scheduling round, an image
// fetch and the commit of a record.
constexpr double kDependentStartDelay = 3.0;

}  // namespace

void JobPriorities::set_time_of_day(Time now, double seconds) {
  time_of_day_offset_ = seconds - base::between(Time{}, now).count();
}

double JobPriorities::time_of_day(Time now) const {
  return base::between(Time{}, now).count() + time_of_day_offset_;
}

void JobPriorities::update(Time now) {
  // Added and removed jobs take effect at once, other changes after the update interval.
  if (updated_at_job_changes_ == cache_.job_changes() &&
      base::between(updated_at_, now) < kUpdateInterval)
    return;
  updated_at_job_changes_ = cache_.job_changes();
  updated_at_ = now;
  update_guarantees();
  update_inherited(now);
}

void JobPriorities::update_guarantees() {
  guaranteed_.clear();
  const auto has_guarantee = [](const base::Team& team) {
    return team.guaranteed_cores > 0 || team.guaranteed_gpus > 0;
  };
  if (std::none_of(settings_.teams.begin(), settings_.teams.end(),
                   [&](const auto& entry) { return has_guarantee(entry.second); })) {
    return;
  }
  std::map<std::string, std::vector<const Job*>> by_team;
  for (const auto& [id, job] : cache_.jobs()) {
    // Blocked jobs cannot start yet, so they use up none of the guarantee.
    if (!job.cancelled() && !job.blocked) by_team[job.record.spec.team].push_back(&job);
  }
  for (auto& [name, jobs] : by_team) {
    const auto team = settings_.teams.find(name);
    if (team != settings_.teams.end() && has_guarantee(team->second))
      mark_guaranteed_jobs(team->second, jobs);
  }
}

std::vector<const Job*> JobPriorities::jobs_in_dependency_order() const {
  const auto& dependency_graph = cache_.dependency_graph();
  // The number of unfinished dependencies of each job that are not in `order` yet.
  std::map<base::JobId, std::size_t> live_dependencies;
  std::vector<const Job*> order;
  for (const auto& [dependency, dependents] : dependency_graph.dependents_by_dependency()) {
    const Job* job = cache_.job(dependency);
    if (job && !job->blocked) order.push_back(job);
  }
  for (const auto& [id, dependencies] : dependency_graph.dependencies_by_waiting_job()) {
    live_dependencies[id] = static_cast<std::size_t>(std::count_if(
        dependencies.begin(), dependencies.end(),
        [this](const auto& dependency) { return cache_.job(dependency) != nullptr; }));
  }
  for (std::size_t i = 0; i < order.size(); ++i) {
    for (const base::JobId& id : dependency_graph.dependents(order[i]->record.spec.id)) {
      const Job* job = cache_.job(id);
      if (--live_dependencies[id] == 0 && job) order.push_back(job);
    }
  }
  return order;
}

void JobPriorities::update_inherited(Time now) {
  inherited_.clear();
  const auto& dependency_graph = cache_.dependency_graph();
  const std::vector<const Job*> order = jobs_in_dependency_order();
  // Forward pass: the earliest start and end of each job.
  std::map<base::JobId, double> earliest_start, earliest_end;
  for (const Job* job : order) {
    const base::JobId& id = job->record.spec.id;
    const double start = std::max(time_of_day(now), earliest_start[id]);
    const double end = start + run_time(job->record.spec).count();
    earliest_end[id] = end;
    for (const base::JobId& dependent : dependency_graph.dependents(id)) {
      double& dependent_start = earliest_start[dependent];
      dependent_start = std::max(dependent_start, end + kDependentStartDelay);
    }
  }
  // Backward pass: the rank and due time that each job inherits from its dependents.
  const std::vector<const Job*> reverse_order(order.rbegin(), order.rend());
  for (const Job* job_pointer : reverse_order) {
    const Job& job = *job_pointer;
    const base::JobId& id = job.record.spec.id;
    InheritedPriority priority{job.record.spec.rank, own_due_time(job, earliest_end[id])};
    for (const base::JobId& dependent : dependency_graph.dependents(id)) {
      const auto dependent_priority = inherited_.find(dependent);
      const Job* dependent_job = cache_.job(dependent);
      if (dependent_priority == inherited_.end() || dependent_job->cancelled()) continue;
      priority.rank = std::min(priority.rank, dependent_priority->second.rank);
      priority.due_time =
          std::min(priority.due_time, dependent_priority->second.due_time -
                                          run_time(dependent_job->record.spec).count() -
                                          kDependentStartDelay);
    }
    inherited_[id] = priority;
  }
}

void JobPriorities::mark_guaranteed_jobs(const base::Team& team, std::vector<const Job*>& jobs) {
  std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
    const double a_since = a->startable_since(), b_since = b->startable_since();
    return a_since != b_since ? a_since < b_since : a->record.spec.id < b->record.spec.id;
  });
  Resources remaining;
  remaining.amounts = {team.guaranteed_cores, team.guaranteed_gpus, kUnlimitedMemory};
  for (const Job* job : jobs) {
    const auto& spec = job->record.spec;
    const Resources unfinished = spec.request * static_cast<double>(spec.tasks - job->done);
    if (!remaining.fits(unfinished)) break;
    remaining -= unfinished;
    guaranteed_.insert(spec.id);
  }
}

bool JobPriorities::is_guaranteed(const Job& job) const {
  return guaranteed_.contains(job.record.spec.id);
}

Rank JobPriorities::rank(const Job& job) const {
  const auto inherited = inherited_.find(job.record.spec.id);
  return inherited == inherited_.end() ? job.record.spec.rank : inherited->second.rank;
}

int JobPriorities::tier(const Job& job) const {
  return static_cast<int>(rank(job)) * 2 + (is_guaranteed(job) ? 0 : 1);
}

bool JobPriorities::is_urgent(const Job& job) const {
  return rank(job) <= Rank::kUrgent;
}

double JobPriorities::due_time(const Job& job, Time now) const {
  const auto inherited = inherited_.find(job.record.spec.id);
  if (inherited != inherited_.end()) return inherited->second.due_time;
  return own_due_time(job, time_of_day(now) + run_time(job.record.spec).count());
}

double JobPriorities::own_due_time(const Job& job, double earliest_completion) const {
  const auto& spec = job.record.spec;
  if (!spec.deadline) return kNoDeadlineDue + job.startable_since();
  // The earliest of the deadline and the objectives' later deadlines that can still be met.
  double earliest = 0;
  const auto consider_deadline = [&](double seconds_after_submission) {
    const double due_time = job.record.submitted_at + seconds_after_submission;
    if (due_time > earliest_completion && (earliest == 0 || due_time < earliest))
      earliest = due_time;
  };
  consider_deadline(spec.deadline->count());
  for (const base::Objective& objective : settings_.objectives) {
    if (objective.job_class != spec.job_class) continue;
    if (objective.kind == base::ObjectiveKind::kDeadline)
      consider_deadline(spec.deadline->count() * objective.times);
    if (objective.kind == base::ObjectiveKind::kFinished) consider_deadline(objective.within_s);
  }
  return earliest > 0 ? earliest : kMissedDeadlineDue + job.record.submitted_at;
}

std::optional<Seconds> JobPriorities::start_within(const protocol::JobSpec& spec) const {
  for (const base::Objective& objective : settings_.objectives) {
    if (objective.kind == base::ObjectiveKind::kWait && objective.job_class == spec.job_class)
      return Seconds(objective.within_s);
  }
  return {};
}

bool JobPriorities::may_preempt(const Job& job) const {
  // Only the job's own rank counts: an inherited rank gives precedence, but no right to preempt.
  return job.record.spec.rank <= Rank::kUrgent || is_guaranteed(job);
}

bool JobPriorities::is_best_effort(const Job& job) const {
  const auto& spec = job.record.spec;
  const auto inherited = inherited_.find(spec.id);
  if (inherited != inherited_.end() && inherited->second.due_time < kNoDeadlineDue) return false;
  return rank(job) == Rank::kIdle && !spec.deadline &&
         std::none_of(settings_.objectives.begin(), settings_.objectives.end(),
                      [&](const base::Objective& objective) {
                        return objective.job_class == spec.job_class;
                      });
}

std::optional<std::size_t> JobPriorities::starving_tasks(const Job& job, Time now) const {
  if (job.pending() == 0) return {};
  // A job without any started task has waited since it could start, also before this process first
  // saw it.
  const bool has_started = job.assigned > 0 || job.done > 0;
  const double waited_seconds = has_started ? base::between(job.last_progress_at, now).count()
                                            : time_of_day(now) - job.startable_since();
  if (waited_seconds < settings_.tuning.longest_wait.count()) return {};
  return std::max<std::size_t>(1, job.pending() / kPendingPerStarving);
}

Seconds JobPriorities::run_time(const protocol::JobSpec& spec) const {
  const auto ratio = run_time_ratio_.find(spec.job_class);
  return std::max(kMinRunTime,
                  spec.estimate * (ratio == run_time_ratio_.end() ? 1.0 : ratio->second));
}

// Run time estimates of users are often wrong by a similar factor for all jobs of a class.
void JobPriorities::learn_run_time(const protocol::JobSpec& spec, Seconds ran) {
  if (spec.estimate.count() <= 0 || ran.count() <= 0) return;
  const double ratio = std::clamp(ran / spec.estimate, kMinRunTimeRatio, kMaxRunTimeRatio);
  double& learned_ratio = run_time_ratio_.try_emplace(spec.job_class, 1.0).first->second;
  learned_ratio += kLearningRate * (ratio - learned_ratio);
}

}  // namespace saddleslip::coordination

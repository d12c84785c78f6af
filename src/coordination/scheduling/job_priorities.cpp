#include "coordination/scheduling/job_priorities.h"

#include <algorithm>

namespace saddleslip::coordination {

using base::Seconds;
using base::Time;
using protocol::Rank;
using protocol::Resources;
using storage::Job;

namespace {

constexpr Seconds kUpdateInterval{0.5};    // unless jobs were added or removed
constexpr std::size_t kStarvingShare = 4;  // one in so many tasks of a starving job goes first
constexpr double kNoDeadline = 1e15;       // due after everything with a deadline
constexpr double kDeadlineLost = 1e14;     // due after all that can still be in time
constexpr double kAnyMemory = 1e12;        // guarantees are of cores and GPUs only
constexpr double kLearningRate = 0.05;     // of run times, by class
constexpr double kLeastRatio = 0.2, kMostRatio = 5.0;
constexpr Seconds kShortestRun{1.0};
constexpr double kStepOverhead =
    3.0;  // seconds between a job and its dependent: a round, an image fetch, a record

}  // namespace

void JobPriorities::set_time_of_day(Time now, double seconds) {
  time_of_day_offset_ = seconds - base::between(Time{}, now).count();
}

double JobPriorities::time_of_day(Time now) const {
  return base::between(Time{}, now).count() + time_of_day_offset_;
}

void JobPriorities::update(Time now) {
  // A new job must be known at once.
  if (updated_for_ == cache_.job_changes() && base::between(updated_at_, now) < kUpdateInterval)
    return;
  updated_for_ = cache_.job_changes();
  updated_at_ = now;
  update_guarantees();
  update_inherited(now);
}

void JobPriorities::update_guarantees() {
  guaranteed_.clear();
  const auto has_guarantee = [](const base::Team& t) {
    return t.guaranteed_cores > 0 || t.guaranteed_gpus > 0;
  };
  if (std::none_of(settings_.teams.begin(), settings_.teams.end(),
                   [&](const auto& t) { return has_guarantee(t.second); })) {
    return;
  }
  std::map<std::string, std::vector<const Job*>> by_team;
  for (const auto& [id, job] : cache_.jobs()) {
    // A blocked job takes no part of the guarantee yet.
    if (!job.cancelled() && !job.blocked) by_team[job.record.spec.team].push_back(&job);
  }
  for (auto& [name, jobs] : by_team) {
    const auto team = settings_.teams.find(name);
    if (team != settings_.teams.end() && has_guarantee(team->second))
      guarantee_jobs_of(team->second, jobs);
  }
}

std::vector<const Job*> JobPriorities::jobs_in_dependency_order() const {
  const auto& dependency_graph = cache_.dependency_graph();
  std::map<base::JobId, std::size_t> live_dependencies;  // that are not in the order yet
  std::vector<const Job*> order;
  for (const auto& [dependency, dependents] : dependency_graph.waited_for()) {
    const Job* job = cache_.job(dependency);
    if (job && !job->blocked) order.push_back(job);
  }
  for (const auto& [id, dependencies] : dependency_graph.waiting()) {
    live_dependencies[id] = static_cast<std::size_t>(
        std::count_if(dependencies.begin(), dependencies.end(),
                      [this](const auto& n) { return cache_.job(n) != nullptr; }));
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
  // Forwards: when each can complete at the soonest.
  std::map<base::JobId, double> soonest_start, soonest_end;
  for (const Job* job : order) {
    const base::JobId& id = job->record.spec.id;
    const double start = std::max(time_of_day(now), soonest_start[id]);
    const double end = start + run_time(job->record.spec).count();
    soonest_end[id] = end;
    for (const base::JobId& dependent : dependency_graph.dependents(id)) {
      double& at = soonest_start[dependent];
      at = std::max(at, end + kStepOverhead);
    }
  }
  // Backwards: what each inherits from its dependents.
  const std::vector<const Job*> backwards(order.rbegin(), order.rend());
  for (const Job* each : backwards) {
    const Job& job = *each;
    const base::JobId& id = job.record.spec.id;
    Inherited own{job.record.spec.rank, own_due(job, soonest_end[id])};
    for (const base::JobId& dependent : dependency_graph.dependents(id)) {
      const auto after = inherited_.find(dependent);
      const Job* next = cache_.job(dependent);
      if (after == inherited_.end() || next->cancelled()) continue;
      own.rank = std::min(own.rank, after->second.rank);
      own.due = std::min(own.due,
                         after->second.due - run_time(next->record.spec).count() - kStepOverhead);
    }
    inherited_[id] = own;
  }
}

void JobPriorities::guarantee_jobs_of(const base::Team& team, std::vector<const Job*>& jobs) {
  std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
    const double first = a->startable_since(), second = b->startable_since();
    return first != second ? first < second : a->record.spec.id < b->record.spec.id;
  });
  Resources left;
  left.v = {team.guaranteed_cores, team.guaranteed_gpus, kAnyMemory};
  for (const Job* job : jobs) {
    const auto& spec = job->record.spec;
    const Resources unfinished = spec.request * static_cast<double>(spec.tasks - job->done);
    if (!left.fits(unfinished)) break;
    left -= unfinished;
    guaranteed_.insert(spec.id);
  }
}

bool JobPriorities::is_guaranteed(const Job& job) const {
  return guaranteed_.contains(job.record.spec.id);
}

Rank JobPriorities::rank(const Job& job) const {
  const auto at = inherited_.find(job.record.spec.id);
  return at == inherited_.end() ? job.record.spec.rank : at->second.rank;
}

int JobPriorities::tier(const Job& job) const {
  return static_cast<int>(rank(job)) * 2 + (is_guaranteed(job) ? 0 : 1);
}

bool JobPriorities::is_urgent(const Job& job) const {
  return rank(job) <= Rank::kUrgent;
}

double JobPriorities::due(const Job& job, Time now) const {
  const auto at = inherited_.find(job.record.spec.id);
  if (at != inherited_.end()) return at->second.due;
  return own_due(job, time_of_day(now) + run_time(job.record.spec).count());
}

double JobPriorities::own_due(const Job& job, double earliest_completion) const {
  const auto& spec = job.record.spec;
  if (!spec.deadline) return kNoDeadline + job.startable_since();
  // The earliest of the deadline and the later ones that can still be met.
  double soonest = 0;
  const auto consider = [&](double after_s) {
    const double at = job.record.submitted + after_s;
    if (at > earliest_completion && (soonest == 0 || at < soonest)) soonest = at;
  };
  consider(spec.deadline->count());
  for (const base::Objective& o : settings_.objectives) {
    if (o.job_class != spec.job_class) continue;
    if (o.kind == base::ObjectiveKind::kDeadline) consider(spec.deadline->count() * o.times);
    if (o.kind == base::ObjectiveKind::kFinished) consider(o.within_s);
  }
  return soonest > 0 ? soonest : kDeadlineLost + job.record.submitted;
}

std::optional<Seconds> JobPriorities::start_within(const protocol::JobSpec& spec) const {
  for (const base::Objective& o : settings_.objectives) {
    if (o.kind == base::ObjectiveKind::kWait && o.job_class == spec.job_class)
      return Seconds(o.within_s);
  }
  return {};
}

bool JobPriorities::may_displace(const Job& job) const {
  // By its own rank: an inherited one makes a job go first, but preempts nothing.
  return job.record.spec.rank <= Rank::kUrgent || is_guaranteed(job);
}

bool JobPriorities::is_spare_time(const Job& job) const {
  const auto& spec = job.record.spec;
  const auto inherited = inherited_.find(spec.id);
  if (inherited != inherited_.end() && inherited->second.due < kNoDeadline) return false;
  return rank(job) == Rank::kIdle && !spec.deadline &&
         std::none_of(settings_.objectives.begin(), settings_.objectives.end(),
                      [&](const base::Objective& o) { return o.job_class == spec.job_class; });
}

std::optional<std::size_t> JobPriorities::starving_tasks(const Job& job, Time now) const {
  if (job.pending() == 0) return {};
  // A job that never began has waited since it was submitted, whichever process saw that.
  const bool began = job.assigned > 0 || job.done > 0;
  const double waited = began ? base::between(job.last_progress_at, now).count()
                              : time_of_day(now) - job.startable_since();
  if (waited < settings_.tuning.longest_wait.count()) return {};
  return std::max<std::size_t>(1, job.pending() / kStarvingShare);
}

Seconds JobPriorities::run_time(const protocol::JobSpec& spec) const {
  const auto ratio = run_ratio_.find(spec.job_class);
  return std::max(kShortestRun, spec.estimate * (ratio == run_ratio_.end() ? 1.0 : ratio->second));
}

// Owners' estimates are off, often for all jobs of a class in the same direction.
void JobPriorities::learn_run_time(const protocol::JobSpec& spec, Seconds ran) {
  if (spec.estimate.count() <= 0 || ran.count() <= 0) return;
  const double ratio = std::clamp(ran / spec.estimate, kLeastRatio, kMostRatio);
  double& learned = run_ratio_.try_emplace(spec.job_class, 1.0).first->second;
  learned += kLearningRate * (ratio - learned);
}

}  // namespace saddleslip::coordination

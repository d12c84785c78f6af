#include "simulation/whole_day_checks.h"

#include <algorithm>
#include <stdexcept>

#include "coordination/records/admission.h"

namespace saddleslip::testing {

namespace {

constexpr double kUnansweredLimitSeconds = 75;
constexpr double kWaitingLimitSeconds = 90;
constexpr double kTolerance = 1e-6;  // rounding error when cores are added up

}  // namespace

WholeDayChecks::Usage WholeDayChecks::current_usage() const {
  Usage usage;
  for (const auto& [id, machine] : workers_.all()) {
    for (const auto& [task, attempts] : machine.tasks) {
      const SimulatedJob* job = jobs_.find(task.job);
      if (!job) continue;
      for (const SimulatedAttempt& attempt : attempts) {
        if (!attempt.is_active()) continue;
        const double cores = job->spec.request.cores();
        usage.active_tasks[task.job].insert(task.no);
        usage.cores_by_machine[id] += cores;
        usage.cores_by_team[job->spec.team] += cores;
      }
    }
  }
  return usage;
}

bool WholeDayChecks::has_waiting_tasks(const SimulatedJob& job, const Usage& usage) const {
  if (!job.is_accepted || !job.ready_since || jobs_.is_cancellation_expected(job)) return false;
  std::set<TaskNumber> active_or_done;
  if (const auto found = usage.active_tasks.find(job.spec.id); found != usage.active_tasks.end())
    active_or_done = found->second;
  if (job.spec.kind != protocol::Kind::kService)
    active_or_done.insert(job.completed_tasks.begin(), job.completed_tasks.end());
  return active_or_done.size() < job.spec.tasks;
}

bool WholeDayChecks::is_within_quota(const protocol::JobSpec& spec, const Usage& usage) const {
  const auto quota = std::find_if(
      config_.teams.begin(), config_.teams.end(),
      [&](const ClusterConfig::TeamQuota& candidate) { return candidate.team == spec.team; });
  if (quota == config_.teams.end()) throw std::out_of_range("unknown team: " + spec.team);
  if (quota->max_cores <= 0) return true;
  const auto found = usage.cores_by_team.find(spec.team);
  const double used = found == usage.cores_by_team.end() ? 0 : found->second;
  return used + spec.request.cores() <= quota->max_cores + kTolerance;
}

bool WholeDayChecks::has_free_capacity(const protocol::JobSpec& spec, const Usage& usage) const {
  const double now = clock_.seconds();
  return std::any_of(workers_.all().begin(), workers_.all().end(), [&](const auto& entry) {
    const SimulatedMachine& machine = entry.second;
    if (!machine.is_usable(now)) return false;
    if (!coordination::may_run(spec, machine.type, machine.zone, machine.is_spot)) return false;
    const auto found = usage.cores_by_machine.find(machine.id);
    const double used = found == usage.cores_by_machine.end() ? 0 : found->second;
    return used + spec.request.cores() <= machine.cores() + kTolerance;
  });
}

void WholeDayChecks::check_waiting_jobs() {
  const Usage usage = current_usage();
  const bool has_active_fault = troubles_.has_active_fault();
  for (const auto& [id, job] : jobs_.all()) {
    const protocol::JobSpec& spec = job.spec;
    WaitingState& waiting = waiting_[id];
    // A job whose tasks always fail never ends. It counts as left waiting only if no task of it is
    // started again.
    if (job.fails_after_s && job.start_count > waiting.last_start_count)
      waiting.capacity_since.reset();
    waiting.last_start_count = job.start_count;
    // The free capacity of a single machine does not show that a gang can start, nor a job that
    // must stay in one zone or be spread over zones.
    const bool has_group_placement =
        spec.kind == protocol::Kind::kGang || spec.one_zone || spec.spread;
    const bool could_run = !has_active_fault && !has_group_placement &&
                           has_waiting_tasks(job, usage) && is_within_quota(spec, usage) &&
                           has_free_capacity(spec, usage);
    if (!could_run) {
      waiting.capacity_since.reset();
    } else if (!waiting.capacity_since) {
      waiting.capacity_since = clock_.seconds();
    } else if (clock_.seconds() - *waiting.capacity_since > kWaitingLimitSeconds) {
      failures_.add("left waiting: " + id.get() + " although a machine has free capacity for it");
    }
  }
}

void WholeDayChecks::check_unanswered_jobs() {
  for (const auto& [id, job] : jobs_.all()) {
    const double since = std::max(job.last_answered_at, troubles_.last_fault_at());
    if (job.is_accepted && clock_.seconds() - since > kUnansweredLimitSeconds)
      failures_.add("forgotten: no question about " + id.get() + " was answered in time");
  }
}

std::map<std::string, TaskNumber> WholeDayChecks::largest_task_count_by_class() const {
  std::map<std::string, TaskNumber> largest;
  for (const auto& [id, job] : jobs_.all()) {
    TaskNumber& tasks = largest[job.spec.job_class];
    tasks = std::max(tasks, job.spec.tasks);
  }
  return largest;
}

void WholeDayChecks::check_served_share(double grace_period_s) {
  const auto largest = largest_task_count_by_class();
  std::map<std::string, ServedCount> groups;
  const auto count = [&groups](const std::string& group, bool is_served) {
    ++groups[group].due;
    if (is_served) ++groups[group].served;
  };
  for (const auto& [id, job] : jobs_.all()) {
    if (jobs_.is_cancellation_expected(job) || !job.ready_since) continue;
    const double since = std::max(*job.ready_since, troubles_.last_fault_at());
    if (clock_.seconds() - since < grace_period_s) continue;
    const bool began = job.began_at.has_value();
    const std::string& job_class = job.spec.job_class;
    count("class " + job_class, began);
    count("team " + job.spec.team, began);
    if (job.spec.tasks == largest.at(job_class))
      count("the largest of class " + job_class, began && job.waited_s <= kServedWithinSeconds);
  }
  for (const auto& [group, counts] : groups) {
    if (counts.served * 2 >= counts.due) continue;
    failures_.add("served of " + group + ": " + std::to_string(counts.served) + " of " +
                  std::to_string(counts.due));
  }
}

}  // namespace saddleslip::testing

#include "simulation/whole_day_checks.h"

#include <algorithm>
#include <stdexcept>

#include "coordination/records/admission.h"

namespace saddleslip::testing {

namespace {

constexpr double kForgottenAfter = 75;
constexpr double kLeftWaitingAfter = 90;
constexpr double kTolerance = 1e-6;  // rounding error when cores are added up

}  // namespace

WholeDayChecks::Usage WholeDayChecks::usage() const {
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
  if (!job.is_accepted || !job.ready_since || jobs_.is_cancellation_asked(job)) return false;
  std::set<TaskNo> busy;
  if (const auto at = usage.active_tasks.find(job.spec.id); at != usage.active_tasks.end())
    busy = at->second;
  if (job.spec.kind != protocol::Kind::kService) busy.insert(job.done.begin(), job.done.end());
  return busy.size() < job.spec.tasks;
}

bool WholeDayChecks::is_within_quota(const protocol::JobSpec& spec, const Usage& usage) const {
  const auto quota =
      std::find_if(config_.teams.begin(), config_.teams.end(),
                   [&](const ClusterConfig::TeamQuota& q) { return q.team == spec.team; });
  if (quota == config_.teams.end()) throw std::out_of_range("unknown team: " + spec.team);
  if (quota->max_cores <= 0) return true;
  const auto at = usage.cores_by_team.find(spec.team);
  const double used = at == usage.cores_by_team.end() ? 0 : at->second;
  return used + spec.request.cores() <= quota->max_cores + kTolerance;
}

bool WholeDayChecks::has_free_capacity(const protocol::JobSpec& spec, const Usage& usage) const {
  const double now = clock_.seconds();
  return std::any_of(workers_.all().begin(), workers_.all().end(), [&](const auto& entry) {
    const SimulatedMachine& machine = entry.second;
    if (!machine.is_usable(now)) return false;
    if (!coordination::may_run(spec, machine.type, machine.zone, machine.is_spot)) return false;
    const auto at = usage.cores_by_machine.find(machine.id);
    const double used = at == usage.cores_by_machine.end() ? 0 : at->second;
    return used + spec.request.cores() <= machine.cores() + kTolerance;
  });
}

void WholeDayChecks::check_waiting() {
  const Usage now_used = usage();
  const bool is_troubled = troubles_.is_troubled();
  for (const auto& [id, job] : jobs_.all()) {
    const protocol::JobSpec& spec = job.spec;
    Waiting& waiting = waiting_[id];
    // A job whose tasks always fail never ends. It counts as left waiting only if no task of it is
    // started again.
    if (job.fails_after && job.starts > waiting.starts_seen) waiting.capacity_since.reset();
    waiting.starts_seen = job.starts;
    // The free capacity of a single machine does not show that a gang can start, nor a job that must
    // stay in one zone or be spread over zones.
    const bool is_bound = spec.kind == protocol::Kind::kGang || spec.one_zone || spec.spread;
    const bool could_run = !is_troubled && !is_bound && has_waiting_tasks(job, now_used) &&
                           is_within_quota(spec, now_used) && has_free_capacity(spec, now_used);
    if (!could_run) {
      waiting.capacity_since.reset();
    } else if (!waiting.capacity_since) {
      waiting.capacity_since = clock_.seconds();
    } else if (clock_.seconds() - *waiting.capacity_since > kLeftWaitingAfter) {
      failures_.add("left waiting: " + id.get() + " although a machine has free capacity for it");
    }
  }
}

void WholeDayChecks::check_forgotten() {
  for (const auto& [id, job] : jobs_.all()) {
    const double since = std::max(job.last_answered_at, troubles_.last_troubled_at());
    if (job.is_accepted && clock_.seconds() - since > kForgottenAfter)
      failures_.add("forgotten: no question about " + id.get() + " was answered in time");
  }
}

std::map<std::string, TaskNo> WholeDayChecks::largest_by_class() const {
  std::map<std::string, TaskNo> largest;
  for (const auto& [id, job] : jobs_.all()) {
    TaskNo& tasks = largest[job.spec.job_class];
    tasks = std::max(tasks, job.spec.tasks);
  }
  return largest;
}

void WholeDayChecks::check_served(double after) {
  const auto largest = largest_by_class();
  std::map<std::string, Served> groups;
  const auto count = [&groups](const std::string& group, bool is_served) {
    ++groups[group].due;
    if (is_served) ++groups[group].served;
  };
  for (const auto& [id, job] : jobs_.all()) {
    if (jobs_.is_cancellation_asked(job) || !job.ready_since) continue;
    const double since = std::max(*job.ready_since, troubles_.last_troubled_at());
    if (clock_.seconds() - since < after) continue;
    const bool began = job.began_at.has_value();
    const std::string& job_class = job.spec.job_class;
    count("class " + job_class, began);
    count("team " + job.spec.team, began);
    if (job.spec.tasks == largest.at(job_class))
      count("the largest of class " + job_class, began && job.waited_s <= kServedWithin);
  }
  for (const auto& [group, n] : groups) {
    if (n.served * 2 >= n.due) continue;
    failures_.add("served of " + group + ": " + std::to_string(n.served) + " of " +
                  std::to_string(n.due));
  }
}

}  // namespace saddleslip::testing

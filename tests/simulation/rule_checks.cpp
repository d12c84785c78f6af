#include "simulation/rule_checks.h"

#include <algorithm>

#include "coordination/records/admission.h"

namespace saddleslip::testing {

namespace {

std::string format_task(const TaskId& task) {
  return task.job.get() + "/" + std::to_string(task.no);
}

}  // namespace

void RuleChecks::on_start_commanded(std::size_t controller, const TaskId& task) {
  const SimulatedJob* job = jobs_.find(task.job);
  if (!job || !job->cancelled_at) return;
  const double since = clock_.seconds() - *job->cancelled_at;
  const double allowed =
      controllers_.reaches_state_or_peer(controller) ? 0 : controllers_.member_ttl(controller);
  if (since > allowed) {
    failures_.add("ran_cancelled: " + controller_name(controller) + " commands a start of " +
                  task.job.get() + " " + std::to_string(since) +
                  " s after its cancellation was confirmed");
  }
}

void RuleChecks::on_task_started(const SimulatedMachine& machine, const TaskId& task) {
  ++start_count_;
  trace_.write(clock_.seconds(), "start", machine.id, task.job.get(), task.no);
  SimulatedJob* job = jobs_.find(task.job);
  if (!job) return failures_.add("invented: a task of an unknown job starts");
  check_runs_once(machine, task);
  if (!jobs_.dependencies_are_done(*job)) failures_.add("too_early: " + format_task(task));
  check_place(machine, task, job->spec);
  record_start(*job);
}

void RuleChecks::check_runs_once(const SimulatedMachine& machine, const TaskId& task) {
  for (const auto& [id, other] : workers_.all()) {
    if (id != machine.id && other.is_alive && other.has_active(task)) {
      failures_.add("ran_twice: " + format_task(task) + " starts on " + machine.id + ", is on " +
                    id);
    }
  }
}

void RuleChecks::check_place(const SimulatedMachine& machine, const TaskId& task,
                             const protocol::JobSpec& spec) {
  const std::string text = format_task(task);
  if (!coordination::may_run(spec, machine.type, machine.zone, machine.is_spot))
    failures_.add("wrong_place: " + text);
  if (!spec.one_zone && !spec.spread) return;
  auto zones = other_tasks_by_zone(task);
  if (spec.one_zone && !zones.empty() && !zones.contains(machine.zone))
    failures_.add("wrong_place: " + text + " in another zone");
  if (spec.spread && zones[machine.zone] + 1 > static_cast<int>((spec.tasks + 1) / 2))
    failures_.add("wrong_place: too many of " + spec.id.get() + " in " + machine.zone);
}

std::map<std::string, int> RuleChecks::other_tasks_by_zone(const TaskId& task) const {
  std::map<std::string, int> zones;
  for (const auto& [id, machine] : workers_.all()) {
    if (!machine.is_alive) continue;
    for (const auto& [other, attempts] : machine.tasks) {
      if (other.job == task.job && other != task && machine.has_active(other))
        ++zones[machine.zone];
    }
  }
  return zones;
}

void RuleChecks::record_start(SimulatedJob& job) {
  ++job.start_count;
  if (job.began_at) return;
  const double now = clock_.seconds();
  job.began_at = now;
  job.waited_s = now - std::max(job.ready_since.value_or(now), troubles_.last_fault_at());
}

void RuleChecks::check_answer(SimulatedJob& job, const std::string& wire_status) {
  const std::string& id = job.spec.id.get();
  // The protocol writes `withdrawn` for a cancelled job.
  const std::string status = wire_status == "withdrawn" ? "cancelled" : wire_status;
  if (!job.reported_final_status.empty() && status != job.reported_final_status)
    failures_.add("went_back: " + id + " from " + job.reported_final_status + " to " + status);
  if (status == "done" && job.completed_tasks.size() < job.spec.tasks)
    failures_.add("not_done: " + id);
  if (status == "cancelled" && !jobs_.is_cancellation_expected(job))
    failures_.add("went_back: " + id + " cancelled by nobody");
  const auto dependency_cancelled_at = jobs_.dependency_cancelled_at(job);
  if (status != "cancelled" && dependency_cancelled_at &&
      clock_.seconds() > *dependency_cancelled_at + config_.cancel_s) {
    failures_.add("orphaned: " + id + " is called " + status);
  }
  if (status == "done" || status == "cancelled") job.reported_final_status = status;
}

void RuleChecks::check_running_tasks() {
  std::map<std::string, double> cores_by_team;
  for (const auto& [id, machine] : workers_.all()) {
    if (!machine.is_alive) continue;
    for (const auto& [task, attempts] : machine.tasks) {
      const SimulatedJob* job = jobs_.find(task.job);
      if (!job) continue;
      for (const SimulatedAttempt& attempt : attempts) {
        if (attempt.state != "running") continue;
        cores_by_team[job->spec.team] += job->spec.request.cores();
        if (job->cancelled_at && clock_.seconds() > *job->cancelled_at + config_.cancel_s)
          return failures_.add("ran_cancelled: " + format_task(task));
      }
    }
  }
  check_quotas(cores_by_team);
}

void RuleChecks::check_quotas(const std::map<std::string, double>& cores_by_team) {
  for (const auto& quota : config_.teams) {
    const auto found = cores_by_team.find(quota.team);
    const double used = found == cores_by_team.end() ? 0 : found->second;
    if (quota.max_cores > 0 && used > quota.max_cores + 1e-6)
      failures_.add("quota: team " + quota.team + " uses " + std::to_string(used));
  }
}

}  // namespace saddleslip::testing

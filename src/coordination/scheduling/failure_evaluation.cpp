// Evaluation of failed attempts: finds out which jobs are known to be good and which ones are
// crash-looping, and cordons faulty machines.
#include <algorithm>

#include "base/log.h"
#include "coordination/controller.h"

namespace saddleslip::coordination {

namespace {

bool is_done(const std::optional<protocol::FinalState>& final_state) {
  return final_state && final_state->status == protocol::JobStatus::kDone;
}

}  // namespace

bool Controller::has_stable_run(const Job& job, Time now) const {
  const JobId& id = job.record.spec.id;
  const Seconds known_good_run_time = failures_.known_good_run_time(id);
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const Machine& machine = entry.second;
    const auto first_task = machine.running_since.lower_bound(TaskId{id, 0});
    return first_task != machine.running_since.end() && first_task->first.job == id &&
           base::between(first_task->second, now) > known_good_run_time &&
           !failures_.must_avoid(id, entry.first, now);
  });
}

void Controller::evaluate_failures(Time now) {
  for (const JobId& id : failures_.unproven_jobs()) {
    const Job* job = cache_.job(id);
    const bool completed = job ? job->done > 0 : is_done(cache_.final_state(id));
    if (completed || (job && has_stable_run(*job, now))) {
      failures_.mark_known_good(id);
    } else if (!job || job->cancelled()) {
      failures_.forget_job(id);
    }
  }
  for (auto& [id, machine] : machines_) {
    if (machine.cordoned || !failures_.is_faulty(id)) continue;
    machine.cordoned = true;
    spdlog::warn("cordoned machine={}: it fails tasks of jobs that run elsewhere", id.get());
  }
}

bool Controller::is_crash_looping(const JobId& id, Time now) const {
  if (failures_.is_crash_looping(id)) return true;
  const Job* job = cache_.job(id);
  if (job && job->done > 0) return false;
  return peers_.any_sees_crash_loop(id, now);
}

}  // namespace saddleslip::coordination

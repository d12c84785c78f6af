// Evaluation of failed attempts: which jobs are known to be sound, which ones are crash-looping, and
// which machines are faulty and cordoned for it.
#include <algorithm>

#include "base/log.h"
#include "coordination/controller.h"

namespace saddleslip::coordination {

namespace {

bool is_done(const std::optional<protocol::FinalState>& state) {
  return state && state->status == protocol::JobStatus::kDone;
}

}  // namespace

bool Controller::runs_for_long(const Job& job, Time now) const {
  const JobId& id = job.record.spec.id;
  const Seconds needed = failures_.long_run(id);
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const Machine& machine = entry.second;
    const auto first = machine.ran.lower_bound(TaskId{id, 0});
    return first != machine.ran.end() && first->first.job == id &&
           base::between(first->second, now) > needed && !failures_.avoids(id, entry.first, now);
  });
}

void Controller::evaluate_failures(Time now) {
  for (const JobId& id : failures_.unproven()) {
    const Job* job = cache_.job(id);
    const bool completed = job ? job->done > 0 : is_done(cache_.final_state(id));
    if (completed || (job && runs_for_long(*job, now))) {
      failures_.mark_sound(id);
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

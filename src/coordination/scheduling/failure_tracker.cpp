#include "coordination/scheduling/failure_tracker.h"

#include <algorithm>

namespace saddleslip::coordination {

using base::JobId;
using base::MachineId;
using base::Seconds;
using base::Time;

namespace {

constexpr int kFaultyAfter = 2;                // failures of sound jobs
constexpr int kFaultyAfterSoleFailures = 3;    // unrelated jobs that failed on this machine alone
constexpr std::size_t kCrashLoopingAfter = 2;  // machines on which a job failed
constexpr Seconds kAvoidAfterFailure{30.0};    // before a task goes to the same machine again
constexpr Seconds kFirstBackoff{2.0};          // doubles with each further failure
constexpr Seconds kLongestBackoff{60.0};
constexpr Seconds kShortestSoundRun{8.0};  // long enough to tell a task that fails at its start
constexpr double kSoundRunFactor = 2.0;    // of the longest run that ended in a failure

}  // namespace

void FailureTracker::record_failure(const JobId& job, const MachineId& machine, Seconds ran,
                                    Time now) {
  JobFailures& failures = jobs_[job];
  failures.last_failure[machine] = now;
  failures.longest_run = std::max(failures.longest_run, ran);
  if (failures.sound) {
    ++evidence_[machine];
    return;
  }
  ++failures.count[machine];
  failed_on_[machine].insert(job);
  // Tasks that were started together fail together: they count as one failure.
  const bool after_retry = now >= failures.retry_at;
  if (failures.last_failure.size() < kCrashLoopingAfter || !after_retry) return;
  failures.backoff = std::clamp(failures.backoff * 2.0, kFirstBackoff, kLongestBackoff);
  failures.retry_at = base::after(now, failures.backoff);
}

void FailureTracker::record_success(const MachineId& machine) {
  evidence_.erase(machine);
  failed_on_.erase(machine);
}

void FailureTracker::mark_sound(const JobId& job) {
  const auto at = jobs_.find(job);
  if (at == jobs_.end() || at->second.sound) return;
  at->second.sound = true;
  for (const auto& [machine, count] : at->second.count) {
    const auto failed_on = failed_on_.find(machine);
    // A success on the machine since then has cleared it.
    if (failed_on == failed_on_.end() || failed_on->second.erase(job) == 0) continue;
    evidence_[machine] += count;
  }
  at->second.count.clear();
}

void FailureTracker::forget_job(const JobId& job) {
  if (jobs_.erase(job) == 0) return;
  for (auto& [machine, jobs] : failed_on_) jobs.erase(job);
  std::erase_if(failed_on_, [](const auto& f) { return f.second.empty(); });
}

void FailureTracker::forget_machine(const MachineId& machine) {
  evidence_.erase(machine);
  failed_on_.erase(machine);
}

// The number of jobs that failed on this machine and nowhere else.
int FailureTracker::sole_failures(const MachineId& machine) const {
  const auto at = failed_on_.find(machine);
  if (at == failed_on_.end()) return 0;
  return static_cast<int>(
      std::count_if(at->second.begin(), at->second.end(),
                    [&](const JobId& job) { return jobs_.at(job).last_failure.size() == 1; }));
}

bool FailureTracker::is_faulty(const MachineId& machine) const {
  const auto evidence = evidence_.find(machine);
  if (evidence != evidence_.end() && evidence->second >= kFaultyAfter) return true;
  return sole_failures(machine) >= kFaultyAfterSoleFailures;
}

bool FailureTracker::is_crash_looping(const JobId& job) const {
  const auto at = jobs_.find(job);
  return at != jobs_.end() && !at->second.sound &&
         at->second.last_failure.size() >= kCrashLoopingAfter;
}

bool FailureTracker::may_retry(const JobId& job, Time now) const {
  return !is_crash_looping(job) || now >= jobs_.at(job).retry_at;
}

bool FailureTracker::avoids(const JobId& job, const MachineId& machine, Time now) const {
  const auto at = jobs_.find(job);
  if (at == jobs_.end()) return false;
  const auto last = at->second.last_failure.find(machine);
  return last != at->second.last_failure.end() &&
         base::between(last->second, now) < kAvoidAfterFailure;
}

Seconds FailureTracker::long_run(const JobId& job) const {
  const auto at = jobs_.find(job);
  if (at == jobs_.end()) return kShortestSoundRun;
  return std::max(kShortestSoundRun, at->second.longest_run * kSoundRunFactor);
}

std::vector<JobId> FailureTracker::crash_looping_jobs() const {
  std::vector<JobId> out;
  for (const auto& [job, failures] : jobs_) {
    if (is_crash_looping(job)) out.push_back(job);
  }
  return out;
}

std::vector<JobId> FailureTracker::unproven() const {
  std::vector<JobId> out;
  for (const auto& [job, failures] : jobs_) {
    if (!failures.sound) out.push_back(job);
  }
  return out;
}

}  // namespace saddleslip::coordination

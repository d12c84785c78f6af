#include "coordination/scheduling/failure_tracker.h"

#include <algorithm>

namespace saddleslip::coordination {

using base::JobId;
using base::MachineId;
using base::Seconds;
using base::Time;

namespace {

// A machine is faulty after this many failures of jobs known to be good, or when this many
// unrelated jobs failed on it and on no other machine.
constexpr int kFaultyAfterFailures = 2;
constexpr int kFaultyAfterSoleFailures = 3;
constexpr std::size_t kCrashLoopMachines = 2;   // a job that failed on this many is crash-looping
constexpr Seconds kAvoidMachineDuration{30.0};  // after a failure of the job on the machine
constexpr Seconds kMinBackoff{2.0};             // doubles with each further failure
constexpr Seconds kMaxBackoff{60.0};
// A run of a job's task shows that the job is good if it lasts for at least the minimum, so that it
// did not fail at its start, and longer than the job's longest failed run by this factor.
constexpr Seconds kMinKnownGoodRun{8.0};
constexpr double kKnownGoodRunFactor = 2.0;

}  // namespace

void FailureTracker::record_failure(const JobId& job, const MachineId& machine, Seconds ran,
                                    Time now) {
  JobFailures& failures = jobs_[job];
  failures.last_failure_at[machine] = now;
  failures.longest_failed_run = std::max(failures.longest_failed_run, ran);
  if (failures.known_good) {
    ++attributed_failures_[machine];
    return;
  }
  ++failures.unattributed[machine];
  unproven_failed_jobs_[machine].insert(job);
  // Tasks that were started together fail together, so they increase the backoff only once.
  const bool after_retry = now >= failures.retry_at;
  if (failures.last_failure_at.size() < kCrashLoopMachines || !after_retry) return;
  failures.backoff = std::clamp(failures.backoff * 2.0, kMinBackoff, kMaxBackoff);
  failures.retry_at = base::after(now, failures.backoff);
}

void FailureTracker::record_success(const MachineId& machine) {
  attributed_failures_.erase(machine);
  unproven_failed_jobs_.erase(machine);
}

void FailureTracker::mark_known_good(const JobId& job) {
  const auto job_failures = jobs_.find(job);
  if (job_failures == jobs_.end() || job_failures->second.known_good) return;
  job_failures->second.known_good = true;
  for (const auto& [machine, count] : job_failures->second.unattributed) {
    const auto failed_jobs = unproven_failed_jobs_.find(machine);
    // A success on the machine after the failures has cleared them.
    if (failed_jobs == unproven_failed_jobs_.end() || failed_jobs->second.erase(job) == 0) continue;
    attributed_failures_[machine] += count;
  }
  job_failures->second.unattributed.clear();
}

void FailureTracker::forget_job(const JobId& job) {
  if (jobs_.erase(job) == 0) return;
  for (auto& [machine, jobs] : unproven_failed_jobs_) jobs.erase(job);
  std::erase_if(unproven_failed_jobs_, [](const auto& entry) { return entry.second.empty(); });
}

void FailureTracker::forget_machine(const MachineId& machine) {
  attributed_failures_.erase(machine);
  unproven_failed_jobs_.erase(machine);
}

// Returns the number of jobs that failed on this machine and on no other.
int FailureTracker::count_sole_failures(const MachineId& machine) const {
  const auto failed_jobs = unproven_failed_jobs_.find(machine);
  if (failed_jobs == unproven_failed_jobs_.end()) return 0;
  return static_cast<int>(
      std::count_if(failed_jobs->second.begin(), failed_jobs->second.end(),
                    [&](const JobId& job) { return jobs_.at(job).last_failure_at.size() == 1; }));
}

bool FailureTracker::is_faulty(const MachineId& machine) const {
  const auto attributed = attributed_failures_.find(machine);
  if (attributed != attributed_failures_.end() && attributed->second >= kFaultyAfterFailures)
    return true;
  return count_sole_failures(machine) >= kFaultyAfterSoleFailures;
}

bool FailureTracker::is_crash_looping(const JobId& job) const {
  const auto failures = jobs_.find(job);
  return failures != jobs_.end() && !failures->second.known_good &&
         failures->second.last_failure_at.size() >= kCrashLoopMachines;
}

bool FailureTracker::may_retry(const JobId& job, Time now) const {
  return !is_crash_looping(job) || now >= jobs_.at(job).retry_at;
}

bool FailureTracker::must_avoid(const JobId& job, const MachineId& machine, Time now) const {
  const auto failures = jobs_.find(job);
  if (failures == jobs_.end()) return false;
  const auto last_failure_at = failures->second.last_failure_at.find(machine);
  return last_failure_at != failures->second.last_failure_at.end() &&
         base::between(last_failure_at->second, now) < kAvoidMachineDuration;
}

Seconds FailureTracker::known_good_run_time(const JobId& job) const {
  const auto failures = jobs_.find(job);
  if (failures == jobs_.end()) return kMinKnownGoodRun;
  return std::max(kMinKnownGoodRun, failures->second.longest_failed_run * kKnownGoodRunFactor);
}

std::vector<JobId> FailureTracker::crash_looping_jobs() const {
  std::vector<JobId> result;
  for (const auto& [job, failures] : jobs_) {
    if (is_crash_looping(job)) result.push_back(job);
  }
  return result;
}

std::vector<JobId> FailureTracker::unproven_jobs() const {
  std::vector<JobId> result;
  for (const auto& [job, failures] : jobs_) {
    if (!failures.known_good) result.push_back(job);
  }
  return result;
}

}  // namespace saddleslip::coordination

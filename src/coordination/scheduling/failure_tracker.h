// Failure tracking: distinguishes faulty machines from jobs that fail on every machine.
//
// A single failed task does not show whether the machine is faulty or the job itself is broken.
// Failures count against a machine only if the job is known to be good, because its tasks complete
// or run for long on other machines, or if several unrelated jobs failed on that machine and on no
// other. A job that fails on several machines and is not known to be good is crash-looping: its
// retries back off, so that it does not take capacity, image fetches and writes from other jobs.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace saddleslip::coordination {

// The failures of tasks by job and machine. The current time is passed as an argument. Not safe for
// use from several threads at once.
class FailureTracker {
 public:
  // Records that an attempt of `job` ended with an error on `machine` after running for `ran`.
  void record_failure(const base::JobId& job, const base::MachineId& machine, base::Seconds ran,
                      base::Time now);
  // Records that a task completed on `machine`: earlier failures there no longer count against it.
  void record_success(const base::MachineId& machine);
  // Marks `job` as known to be good, since its tasks complete or run for long. From now on its
  // failures count against the machines on which they occur.
  void mark_known_good(const base::JobId& job);
  // Forgets a job that has ended or was cancelled. Failures of it that already count against
  // machines remain.
  void forget_job(const base::JobId& job);
  void forget_machine(const base::MachineId& machine);

  bool is_faulty(const base::MachineId& machine) const;
  // Returns whether the job has failed on several machines and is not known to be good.
  bool is_crash_looping(const base::JobId& job) const;
  // Returns whether tasks of the job may be started now. False while the job's retry backoff lasts.
  bool may_retry(const base::JobId& job, base::Time now) const;
  // Returns whether tasks of the job must not start on the machine now, since one failed there
  // recently.
  bool must_avoid(const base::JobId& job, const base::MachineId& machine, base::Time now) const;
  // Returns how long a task of the job must run to show that the job is good.
  base::Seconds known_good_run_time(const base::JobId& job) const;

  std::vector<base::JobId> crash_looping_jobs() const;
  // Returns the jobs that have failures and are not known to be good.
  std::vector<base::JobId> unproven_jobs() const;

 private:
  struct JobFailures {
    std::map<base::MachineId, base::Time> last_failure_at;
    std::map<base::MachineId, int>
        unattributed;  // failures that do not count against the machine yet
    base::Seconds longest_failed_run{0};
    bool known_good = false;
    base::Seconds backoff{0};
    base::Time retry_at{};
  };

  int count_sole_failures(const base::MachineId& machine) const;

  std::map<base::JobId, JobFailures> jobs_;
  // Failures of jobs known to be good, by machine, since the last success there.
  std::map<base::MachineId, int> attributed_failures_;
  // Jobs not known to be good that failed on the machine since the last success there.
  std::map<base::MachineId, std::set<base::JobId>> unproven_failed_jobs_;
};

}  // namespace saddleslip::coordination

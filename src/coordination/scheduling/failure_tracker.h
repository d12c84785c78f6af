// Tells machines that fail their tasks apart from jobs that fail on every machine.
//
// A failed task says little by itself: the machine may be faulty, or the job may have been submitted
// with a mistake. Evidence against a machine counts only where the job is known to be sound, because
// its tasks complete or run for long elsewhere, or where several unrelated jobs fail on that machine
// alone. A job that fails on several machines and is not known to be sound is crash-looping: its retries
// back off, so that it takes no capacity, image fetches or writes from others.
//
// Holds state only; takes the time as an argument. Not safe for use from several threads at once.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace saddleslip::coordination {

class FailureTracker {
 public:
  // An attempt of `job` ended with an error on `machine` after it had run for `ran`.
  void record_failure(const base::JobId& job, const base::MachineId& machine, base::Seconds ran,
                      base::Time now);
  // A task completed on `machine`: what failed there before no longer counts against it.
  void record_success(const base::MachineId& machine);
  // Tasks of `job` complete, or run for long. Failures of it count against the machines from now on.
  void mark_sound(const base::JobId& job);
  // The job is over or cancelled. Evidence that it gave against machines stays.
  void forget_job(const base::JobId& job);
  void forget_machine(const base::MachineId& machine);

  bool is_faulty(const base::MachineId& machine) const;
  // Has it failed on several machines without a sign that it can succeed?
  bool is_crash_looping(const base::JobId& job) const;
  // May a task of the job be started again? False while its retries back off.
  bool may_retry(const base::JobId& job, base::Time now) const;
  // Should the job's tasks keep away from the machine, since one failed there a moment ago?
  bool avoids(const base::JobId& job, const base::MachineId& machine, base::Time now) const;
  // How long a task of the job must run before it shows that the job is sound.
  base::Seconds long_run(const base::JobId& job) const;

  std::vector<base::JobId> crash_looping_jobs() const;
  // Jobs with failures that are not known to be sound.
  std::vector<base::JobId> unproven() const;

 private:
  struct JobFailures {
    std::map<base::MachineId, base::Time> last_failure;
    std::map<base::MachineId, int> count;  // not yet counted against the machine
    base::Seconds longest_run{0};          // of an attempt that failed
    bool sound = false;
    base::Seconds backoff{0};
    base::Time retry_at{};
  };

  int sole_failures(const base::MachineId& machine) const;

  std::map<base::JobId, JobFailures> jobs_;
  std::map<base::MachineId, int> evidence_;  // failures of sound jobs since the last success
  std::map<base::MachineId, std::set<base::JobId>> failed_on_;  // unproven jobs that failed there
};

}  // namespace saddleslip::coordination

// The jobs that users of a simulated cluster submitted, with the answers that users received and
// the progress of the jobs' tasks.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/ids.h"
#include "protocol/records.h"
#include "simulation/simulated_state_service.h"

namespace saddleslip::testing {

using base::JobId;
using base::TaskId;
using base::TaskNumber;

// A submitted job: its behaviour, the answers that its user received, and its progress. Points in
// time are seconds since the start of the scenario.
struct SimulatedJob {
  protocol::JobSpec spec;
  double task_run_s = 10;               // how long each task runs
  std::optional<double> fails_after_s;  // if set, each task fails after running for this long
  double submitted_at = 0;
  bool is_accepted = false;
  bool is_cancellation_requested = false;
  std::optional<double> cancelled_at;  // when the cancellation was confirmed to the user
  std::string reported_final_status;   // "done" or "cancelled" once a user received that status
  double last_answered_at = 0;         // when a status request for the job was last answered
  // When the final records of all dependencies said that they are done. A job without dependencies
  // is ready from its submission on.
  std::optional<double> ready_since;
  std::optional<double> began_at;  // when its first task started
  // How long the job waited for its first task, from when it was ready or the last fault ended.
  double waited_s = 0;
  std::set<TaskNumber> completed_tasks;  // tasks that ended successfully
  std::size_t start_count = 0;           // starts of its tasks, including restarts
};

// All submitted jobs, by their id.
class SimulatedJobs {
 public:
  explicit SimulatedJobs(const SimulatedStateService& state) : state_(state) {}

  // Adds a job, or replaces the job with the same id.
  SimulatedJob& add(const SimulatedJob& job) { return jobs_[job.spec.id] = job; }
  // Returns the job, or null if no user submitted it.
  const SimulatedJob* find(const JobId& id) const;
  SimulatedJob* find(const JobId& id);
  // Returns the job. Throws std::out_of_range if no user submitted it.
  const SimulatedJob& at(const JobId& id) const { return jobs_.at(id); }
  SimulatedJob& at(const JobId& id) { return jobs_.at(id); }
  std::map<JobId, SimulatedJob>& all() { return jobs_; }
  const std::map<JobId, SimulatedJob>& all() const { return jobs_; }

  // Returns whether all dependencies of the job are done: all their tasks ended successfully and
  // their final records say so.
  bool dependencies_are_done(const SimulatedJob& job) const;
  // Returns when the cancellation of a direct or indirect dependency of the job was first confirmed
  // to a user, or std::nullopt if none was.
  std::optional<double> dependency_cancelled_at(const SimulatedJob& job) const;
  // Returns whether the job's cancellation was requested or the cancellation of one of its direct
  // or indirect dependencies was confirmed.
  bool is_cancellation_expected(const SimulatedJob& job) const;

 private:
  const SimulatedStateService& state_;
  std::map<JobId, SimulatedJob> jobs_;
};

}  // namespace saddleslip::testing

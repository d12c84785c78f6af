// The jobs that users submitted, what they were told of them, and what their tasks did.
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
using base::TaskNo;

// Times are seconds of the scenario.
struct SimulatedJob {
  protocol::JobSpec spec;
  double run_s = 10;                  // how long each task runs
  std::optional<double> fails_after;  // submitted with a mistake: each task fails after so long
  double submitted_at = 0;
  bool is_accepted = false;
  bool is_cancel_asked = false;
  std::optional<double> cancelled_at;  // when its user was told so
  std::string told_final;              // "done" or "cancelled", once a user was told so
  double last_answered_at = 0;         // when a question about it was last answered
  // Since when all jobs that it needs are done on record (from its submission, if it needs none).
  std::optional<double> ready_since;
  std::optional<double> began_at;
  // How long it waited for its first task, since it was ready or since the end of all troubles.
  double waited_s = 0;
  std::set<TaskNo> done;
  std::size_t starts = 0;  // of its tasks, repeated ones included
};

class SimulatedJobs {
 public:
  explicit SimulatedJobs(const SimulatedStateService& state) : state_(state) {}

  SimulatedJob& add(const SimulatedJob& job) { return jobs_[job.spec.id] = job; }
  // Null: no user submitted it.
  const SimulatedJob* find(const JobId& id) const;
  SimulatedJob* find(const JobId& id);
  // Throws std::out_of_range if no user submitted it.
  const SimulatedJob& at(const JobId& id) const { return jobs_.at(id); }
  SimulatedJob& at(const JobId& id) { return jobs_.at(id); }
  std::map<JobId, SimulatedJob>& all() { return jobs_; }
  const std::map<JobId, SimulatedJob>& all() const { return jobs_; }

  // Is every job that it needs done, by what its tasks did and by its final record?
  bool dependencies_are_done(const SimulatedJob& job) const;
  // When the user of a job that it depends on, through any number of steps, was first told of its
  // cancellation.
  std::optional<double> dependency_cancelled_at(const SimulatedJob& job) const;
  // Was the cancellation of the job asked for, or that of one that it depends on confirmed?
  bool is_cancellation_asked(const SimulatedJob& job) const;

 private:
  const SimulatedStateService& state_;
  std::map<JobId, SimulatedJob> jobs_;
};

}  // namespace saddleslip::testing

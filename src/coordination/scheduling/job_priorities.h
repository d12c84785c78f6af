// Job priorities: the order in which jobs get capacity, by rank, guaranteed quotas of teams, due
// times and starvation.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Computes the priorities of the jobs in the state cache. The settings and the cache must outlive
// this object. The current time is passed as an argument. Not safe for use from several threads at
// once.
class JobPriorities {
 public:
  JobPriorities(const base::Settings& settings, const storage::StateCache& cache)
      : settings_(settings), cache_(cache) {}

  // Sets the time of day, in seconds since 1970, that corresponds to `now` on the steady clock.
  // Submission times are in the time of day.
  void set_time_of_day(base::Time now, double seconds);
  double time_of_day(base::Time now) const;

  // Recomputes, if jobs may have changed, which jobs are within their team's guarantee, and the
  // ranks and due times that jobs inherit from their dependents.
  void update(base::Time now);
  // Returns whether the job fits into its team's guaranteed quota together with all unfinished jobs
  // of the team that could start before it.
  bool is_guaranteed(const storage::Job& job) const;
  // Returns the highest of the ranks of the job and of all its direct and indirect dependents.
  protocol::Rank rank(const storage::Job& job) const;
  // Returns the job's scheduling tier; lower tiers get capacity first. Tiers are ordered by rank,
  // and within a rank guaranteed jobs come first.
  int tier(const storage::Job& job) const;
  // Returns whether the job's rank, own or inherited, is urgent or critical.
  bool is_urgent(const storage::Job& job) const;

  // Returns the time of day at which the job should be complete: its deadline while that can be
  // met, then the earliest later deadline of the service-level objectives that can be met. Jobs
  // without a deadline are due in the far future. A job with dependents is due early enough for
  // these to complete in time.
  double due_time(const storage::Job& job, base::Time now) const;
  // Returns the maximum wait before the start of a job of this class, if a service-level objective
  // sets one.
  std::optional<base::Seconds> start_within(const protocol::JobSpec& spec) const;
  // Returns whether the job may preempt tasks of lower rank. A guaranteed job may also preempt
  // tasks that other teams run beyond their guarantee.
  bool may_preempt(const storage::Job& job) const;
  // Returns whether the job has the lowest rank and no deadline or objective, so that it runs only
  // on capacity that no other job uses.
  bool is_best_effort(const storage::Job& job) const;
  // If the job is starving, that is, has waited for longer than the limit in the settings, returns
  // how many of its tasks are placed before all other jobs. Returns nullopt if it is not starving.
  std::optional<std::size_t> starving_tasks(const storage::Job& job, base::Time now) const;

  // Returns the expected run time of a task: the estimate in the job's specification, corrected by
  // the observed run times of the job's class.
  base::Seconds run_time(const protocol::JobSpec& spec) const;
  // Updates the correction factor of the job's class with the run time of a completed task.
  void learn_run_time(const protocol::JobSpec& spec, base::Seconds ran);

 private:
  // The highest rank and the earliest due time of a job and its dependents.
  struct InheritedPriority {
    protocol::Rank rank = protocol::Rank::kIdle;
    double due_time = 0;  // seconds since 1970
  };
  void update_guarantees();
  void update_inherited(base::Time now);
  // Returns the unfinished jobs that other jobs depend on, and their dependents, in topological
  // order: each job comes after its dependencies.
  std::vector<const storage::Job*> jobs_in_dependency_order() const;
  // Returns the job's due time without regard to dependents, given the earliest time of day at
  // which it can complete.
  double own_due_time(const storage::Job& job, double earliest_completion) const;
  // Adds the team's jobs to the guaranteed ones, in the order in which they could start, up to the
  // first one that exceeds the team's guarantee.
  void mark_guaranteed_jobs(const base::Team& team, std::vector<const storage::Job*>& jobs);

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  double time_of_day_offset_ = 0;
  std::set<base::JobId> guaranteed_;
  std::map<base::JobId, InheritedPriority> inherited_;
  std::uint64_t updated_at_job_changes_ = 0;  // the cache's count of job changes at the last update
  base::Time updated_at_{};
  std::map<std::string, double> run_time_ratio_;  // observed run time / estimate, by job class
};

}  // namespace saddleslip::coordination

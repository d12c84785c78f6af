// The order in which jobs get capacity: rank, guaranteed quotas of teams, due times and starvation.
//
// Takes the time as an argument and reads the state cache. Not safe for use from several threads at once.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

class JobPriorities {
 public:
  JobPriorities(const base::Settings& settings, const storage::StateCache& cache)
      : settings_(settings), cache_(cache) {}

  // Relates the steady clock to the time of day, by which submissions are dated.
  void set_time_of_day(base::Time now, double seconds);
  double time_of_day(base::Time now) const;

  // Recomputes what depends on other jobs, if that may have changed: which jobs are within their team's
  // guarantee, and what jobs inherit from their dependents.
  void update(base::Time now);
  // Does the job fit into its team's guarantee together with the team's earlier unfinished jobs?
  bool is_guaranteed(const storage::Job& job) const;
  // The highest rank of the job and of all its dependents.
  protocol::Rank rank(const storage::Job& job) const;
  // Lower tiers come first: by rank, and within a rank what is guaranteed first.
  int tier(const storage::Job& job) const;
  bool is_urgent(const storage::Job& job) const;

  // When a job should be complete, by the time of day: its deadline while that can be met, then the
  // later ones that service-level objectives name; without any, in the far future. A job with dependents
  // is due early enough for these to complete in time.
  double due(const storage::Job& job, base::Time now) const;
  // How soon a job of this class should start, if a service-level objective says so.
  std::optional<base::Seconds> start_within(const protocol::JobSpec& spec) const;
  // May it preempt lower-ranking tasks? A guaranteed job also what other teams run beyond their
  // guarantee.
  bool may_displace(const storage::Job& job) const;
  // Is it of the lowest rank and without an objective, so that it gets what others leave over?
  bool is_spare_time(const storage::Job& job) const;
  // If the job is starving, that is, has waited so long that it goes before others: how many of its
  // tasks do.
  std::optional<std::size_t> starving_tasks(const storage::Job& job, base::Time now) const;

  // The owner's estimate, corrected by what was learned of the class.
  base::Seconds run_time(const protocol::JobSpec& spec) const;
  void learn_run_time(const protocol::JobSpec& spec, base::Seconds ran);

 private:
  // What a job inherits from its dependents.
  struct Inherited {
    protocol::Rank rank = protocol::Rank::kIdle;
    double due = 0;
  };
  void update_guarantees();
  void update_inherited(base::Time now);
  // The unfinished jobs that others depend on, and their dependents, each after its dependencies.
  std::vector<const storage::Job*> jobs_in_dependency_order() const;
  // Its own due time, if it can complete at `earliest_completion` at the soonest.
  double own_due(const storage::Job& job, double earliest_completion) const;
  void guarantee_jobs_of(const base::Team& team, std::vector<const storage::Job*>& jobs);

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  double time_of_day_offset_ = 0;
  std::set<base::JobId> guaranteed_;
  std::map<base::JobId, Inherited> inherited_;
  std::uint64_t updated_for_ = 0;  // the cache's count of job changes at the last update
  base::Time updated_at_{};
  std::map<std::string, double> run_ratio_;  // run times against estimates, by class
};

}  // namespace saddleslip::coordination

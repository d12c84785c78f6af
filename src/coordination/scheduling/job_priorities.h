// The order in which jobs get room: priority, team guarantees, due times and long waits.
//
// Takes the time as an argument and asks the copy of the store's records; not safe for use from
// several threads at once.
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

  // Works out anew what depends on other jobs, if that may have changed: which jobs are within their
  // team's guarantee, and what jobs take over from those that need them.
  void update(base::Time now);
  // Does the job fit into its team's guarantee together with the team's earlier unfinished jobs?
  bool is_guaranteed(const storage::Job& job) const;
  // The highest rank of the job and of all that need it.
  protocol::Rank rank(const storage::Job& job) const;
  // Lower tiers come first: by rank, and within a rank what is guaranteed first.
  int tier(const storage::Job& job) const;
  bool is_urgent(const storage::Job& job) const;

  // When a job should be complete, by the time of day: its deadline while that can be kept, then
  // the later ones that the objectives name; without any, far off. What other jobs need is due early
  // enough for these to be complete in time.
  double due(const storage::Job& job, base::Time now) const;
  // How soon a job of this class should start, if the objectives say.
  std::optional<base::Seconds> start_within(const protocol::JobSpec& spec) const;
  // May it have lower work stopped to get room? Guaranteed jobs also what others run beyond theirs.
  bool may_displace(const storage::Job& job) const;
  // Work of the lowest priority that nobody set an objective for: it gets what others leave over.
  bool is_spare_time(const storage::Job& job) const;
  // Has it waited so long that it goes before others? Then so many of its tasks do.
  std::optional<std::size_t> starving_tasks(const storage::Job& job, base::Time now) const;

  // The owner's estimate, corrected by what was learned of the class.
  base::Seconds run_time(const protocol::JobSpec& spec) const;
  void learn_run_time(const protocol::JobSpec& spec, base::Seconds ran);

 private:
  // What a job takes over from those that need it.
  struct Inherited {
    protocol::Rank rank = protocol::Rank::kIdle;
    double due = 0;
  };
  void update_guarantees();
  void update_inherited(base::Time now);
  // The live jobs that others wait for, and those others, each after all that it waits for.
  std::vector<const storage::Job*> jobs_in_dependency_order() const;
  // Its own due time, if it can be complete at `least` at the soonest.
  double own_due(const storage::Job& job, double least) const;
  void guarantee_jobs_of(const base::Team& team, std::vector<const storage::Job*>& jobs);

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  double time_of_day_offset_ = 0;
  std::set<base::JobId> guaranteed_;
  std::map<base::JobId, Inherited> inherited_;
  std::uint64_t updated_for_ = 0;  // the ledger's count of job changes then
  base::Time updated_at_{};
  std::map<std::string, double> run_ratio_;  // run times against estimates, by class
};

}  // namespace saddleslip::coordination

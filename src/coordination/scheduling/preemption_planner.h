// Preemption: stops tasks to free capacity for waiting jobs that have precedence.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/settings.h"
#include "coordination/machines/capacity_calculator.h"
#include "coordination/machines/machine_registry.h"
#include "coordination/scheduling/capacity_reservations.h"
#include "coordination/scheduling/evictable_tasks.h"
#include "coordination/scheduling/job_priorities.h"
#include "coordination/scheduling/machine_requirement.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// A job with waiting tasks that were not placed on a machine in this scheduling round.
struct UnplacedJob {
  const storage::Job* job = nullptr;
  std::size_t tasks = 0;  // the number of those tasks
};

// Chooses the tasks whose preemption loses the least work, marks them for eviction on their
// machines and reserves the capacity that they free. Does not preempt for the same job again until
// its victims have had time to end. The current time is passed as an argument. Not safe for use
// from several threads at once.
class PreemptionPlanner {
 public:
  // All references must outlive the planner.
  PreemptionPlanner(const base::Settings& settings, const storage::StateCache& cache,
                    const JobPriorities& priorities, const CapacityCalculator& capacity,
                    MachineRegistry& machines, CapacityReservations& reservations)
      : settings_(settings),
        cache_(cache),
        priorities_(priorities),
        capacity_(capacity),
        machines_(machines),
        reservations_(reservations),
        evictable_tasks_(cache, capacity) {}

  // Evicts tasks for those of these jobs that may preempt others, in the order given. Requires
  // up-to-date priorities. The number of machines that one call examines is limited, since its
  // caller holds the controller's mutex; a later call continues with the other tasks.
  void preempt(const std::vector<UnplacedJob>& jobs, base::Time now);

  // Returns whether the job should preempt tasks on a machine that has its image cached instead of
  // fetching the image on another machine. Becomes false shortly after the eviction of tasks for
  // the job, by which time they should have ended.
  bool prefers_preemption(const storage::Job& job, base::Time now);

 private:
  // What a job requires of a machine that it may preempt tasks on.
  struct Requirement {
    explicit Requirement(const protocol::JobSpec& spec) : machine(spec), image(spec.image) {}

    MachineRequirement machine;
    std::string image;
    auto operator<=>(const Requirement&) const = default;
  };
  // A job that may preempt others, and the effects of the evictions in this round so far.
  struct Preemptor {
    const storage::Job* job;
    bool is_guaranteed;
    double cores_over_quota;                       // cores that its team must give up first
    std::map<std::string, double> stopping_cores;  // cores of tasks that are being stopped, by team
    // Capacity that is already set aside for other tasks of the job.
    std::map<base::MachineId, protocol::Resources> claimed;

    const protocol::JobSpec& spec() const { return job->record.spec; }
  };
  // A search for the machine on which an eviction for one task of the preemptor loses the least.
  struct Search {
    const Preemptor& preemptor;
    bool needs_image;
    // Results of may_preempt(), by the job of the possible victim.
    std::unordered_map<const storage::Job*, bool> preemptible_jobs;
  };
  // The tasks to evict from a machine so that one task of the preemptor fits there.
  struct EvictionPlan {
    std::vector<EvictableTask> tasks;
    double lost_core_seconds = 0;
  };

  std::map<std::string, double> stopping_cores() const;
  double cores_over_quota(const protocol::JobSpec& spec) const;
  bool may_preempt(const Preemptor& preemptor, const storage::Job& other) const;
  bool exceeds_guarantee(const Preemptor& preemptor, const std::string& team) const;
  bool is_candidate(const storage::Machine& machine, const protocol::JobSpec& spec,
                    base::Time now) const;
  bool has_machine_for_preemption(const protocol::JobSpec& spec, base::Time now) const;
  bool may_preempt(Search& search, const storage::Job& other) const;
  bool plan_eviction(Search& search, const storage::Machine& machine, base::Time now,
                     EvictionPlan& plan);
  bool preempt_for_one_task(Preemptor& preemptor, base::Time now);
  // Returns whether the tasks that the job may preempt depend on its team, not on its rank alone.
  bool depends_on_team(const Preemptor& preemptor) const;
  // Evicts tasks for as many of the job's tasks as possible. Returns false if the limit of examined
  // machines was reached.
  bool preempt_for_job(Preemptor& preemptor, std::size_t tasks, base::Time now);
  // Evicts tasks for these jobs. Returns the job at which the limit of examined machines was
  // reached, if any.
  std::optional<base::JobId> preempt_in_order(const std::vector<UnplacedJob>& order,
                                              base::Time now);
  void evict(Preemptor& preemptor, storage::Machine& machine, const EvictionPlan& plan,
             base::Time now);

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  const JobPriorities& priorities_;
  const CapacityCalculator& capacity_;
  MachineRegistry& machines_;
  CapacityReservations& reservations_;
  std::map<base::JobId, base::Time> last_preemption_at_;  // by the job it was for

  // Results of has_machine_for_preemption() at one time.
  std::map<Requirement, bool> has_machine_;
  base::Time has_machine_at_{};

  // The state of one call of preempt().
  EvictableTasks evictable_tasks_;
  std::set<std::pair<protocol::Rank, Requirement>> failed_searches_;
  std::size_t examined_machines_ = 0;
  // The job at which the last call of preempt() reached the limit, and with which the next begins.
  std::optional<base::JobId> next_job_;
};

}  // namespace saddleslip::coordination

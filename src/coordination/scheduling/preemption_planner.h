// Preemption: tasks are stopped to free capacity for a waiting job that may displace them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "coordination/machines/capacity_calculator.h"
#include "coordination/machines/machine_registry.h"
#include "coordination/scheduling/capacity_reservations.h"
#include "coordination/scheduling/job_priorities.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// A job with tasks that found no machine in this round.
struct UnplacedJob {
  const storage::Job* job = nullptr;
  std::size_t tasks = 0;
};

// Chooses the victims with the least work lost, marks them for eviction on their machines, and
// reserves the capacity that they free. Remembers for which jobs it did so, to give the victims time to
// end. Takes the time as an argument. Not safe for use from several threads at once.
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
        reservations_(reservations) {}

  // Evicts tasks for these jobs, in their order, as far as they may preempt others. Requires
  // priorities that are up to date.
  void preempt(const std::vector<UnplacedJob>& jobs, base::Time now);

  // Should the job rather preempt tasks where its image is cached than fetch the image elsewhere?
  // For a moment only: the victims must have ended by then.
  bool prefers_preemption(const storage::Job& job, base::Time now) const;

 private:
  // A job that may preempt others, and what was evicted for it and for jobs before it.
  struct Preemptor {
    const storage::Job* job;
    double cores_over_quota;                               // that its team must give up first
    std::map<std::string, double> stopping_cores;          // by team
    std::map<base::MachineId, protocol::Resources> taken;  // capacity that was freed for the job

    const protocol::JobSpec& spec() const { return job->record.spec; }
  };
  struct Victim {
    base::TaskId task;
    protocol::Resources request;
    base::Seconds lost;  // how long it ran
  };
  struct EvictionPlan {
    std::vector<base::TaskId> tasks;
    double lost_core_seconds = 0;
  };

  std::map<std::string, double> stopping_cores() const;
  double cores_over_quota(const protocol::JobSpec& spec) const;
  protocol::Resources stopping_resources(const storage::Machine& machine) const;
  bool may_preempt(const Preemptor& preemptor, const storage::Job& other) const;
  bool is_beyond_guarantee(const Preemptor& preemptor, const std::string& team) const;
  bool is_candidate(const storage::Machine& machine, const protocol::JobSpec& spec,
                    base::Time now) const;
  std::vector<Victim> victims_on(const Preemptor& preemptor, const storage::Machine& machine,
                                 base::Time now) const;
  std::optional<EvictionPlan> plan_on(const Preemptor& preemptor, const storage::Machine& machine,
                                      base::Time now) const;
  bool preempt_for_one_task(Preemptor& preemptor, base::Time now);
  void evict(Preemptor& preemptor, storage::Machine& machine, const EvictionPlan& plan,
             base::Time now);

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  const JobPriorities& priorities_;
  const CapacityCalculator& capacity_;
  MachineRegistry& machines_;
  CapacityReservations& reservations_;
  std::map<base::JobId, base::Time> preempted_for_at_;
};

}  // namespace saddleslip::coordination

// Preemption: stops tasks to free capacity for waiting jobs that have precedence.
#pragma once

#include <array>
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
#include "coordination/scheduling/job_priorities.h"
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
        reservations_(reservations) {}

  // Evicts tasks for those of these jobs that may preempt others, in the order given. Requires
  // up-to-date priorities. The number of machines that one call examines is limited, since its
  // caller holds the controller's mutex; a later call continues with the other tasks.
  void preempt(const std::vector<UnplacedJob>& jobs, base::Time now);

  // Returns whether the job should preempt tasks on a machine that has its image cached instead of
  // fetching the image on another machine. Becomes false shortly after the eviction of tasks for
  // the job, by which time they should have ended.
  bool prefers_preemption(const storage::Job& job, base::Time now);

 private:
  // What a job requires of a machine.
  struct Requirement {
    explicit Requirement(const protocol::JobSpec& spec)
        : request(spec.request.amounts),
          types(spec.types),
          zone(spec.zone),
          spot(spec.spot),
          image(spec.image) {}

    std::array<double, 3> request;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool spot;
    std::string image;
    auto operator<=>(const Requirement&) const = default;
  };
  // A job that may preempt others, and the effects of the evictions in this round so far.
  struct Preemptor {
    const storage::Job* job;
    double cores_over_quota;                       // cores that its team must give up first
    std::map<std::string, double> stopping_cores;  // cores of tasks that are being stopped, by team
    // Capacity that is already set aside for other tasks of the job.
    std::map<base::MachineId, protocol::Resources> claimed;

    const protocol::JobSpec& spec() const { return job->record.spec; }
  };
  struct Victim {
    base::TaskId task;
    protocol::Resources request;
    base::Seconds work_lost;  // how long it has run
  };
  // The tasks on a machine that one rank of jobs may preempt regardless of guarantees, and the
  // capacity without them.
  struct MachineVictims {
    std::vector<Victim> victims;  // in ascending order of the work lost
    protocol::Resources available;
  };
  // The tasks to evict from a machine so that one task of the preemptor fits there.
  struct EvictionPlan {
    std::vector<base::TaskId> tasks;
    double lost_core_seconds = 0;
  };

  std::map<std::string, double> stopping_cores() const;
  double cores_over_quota(const protocol::JobSpec& spec) const;
  protocol::Resources stopping_resources(const storage::Machine& machine) const;
  bool may_preempt(const Preemptor& preemptor, const storage::Job& other) const;
  bool exceeds_guarantee(const Preemptor& preemptor, const std::string& team) const;
  bool is_candidate(const storage::Machine& machine, const protocol::JobSpec& spec,
                    base::Time now) const;
  std::vector<Victim> victims_on(const Preemptor& preemptor, const storage::Machine& machine,
                                 base::Time now) const;
  // Returns the victims for a job that has no guarantee and does not exceed a quota. They are
  // searched once in a round, and again after an eviction on the machine.
  const MachineVictims& victims_for_rank(const Preemptor& preemptor,
                                         const storage::Machine& machine, base::Time now);
  MachineVictims find_victims(const Preemptor& preemptor, const storage::Machine& machine,
                              base::Time now) const;
  bool has_machine_for_preemption(const protocol::JobSpec& spec, base::Time now) const;
  std::optional<EvictionPlan> plan_eviction(const Preemptor& preemptor,
                                            const storage::Machine& machine, base::Time now);
  bool preempt_for_one_task(Preemptor& preemptor, base::Time now);
  // Returns whether the tasks that the job may preempt depend on its team, not on its rank alone.
  bool depends_on_team(const Preemptor& preemptor) const;
  // Evicts tasks for as many of the job's tasks as possible. Returns false if the limit of examined
  // machines was reached.
  bool preempt_for_job(Preemptor& preemptor, std::size_t tasks, base::Time now);
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
  std::map<protocol::Rank, std::unordered_map<base::MachineId, MachineVictims>> victims_by_rank_;
  std::set<std::pair<protocol::Rank, Requirement>> failed_searches_;
  std::size_t examined_machines_ = 0;
  // The job at which the last call of preempt() reached the limit, and with which the next begins.
  std::optional<base::JobId> next_job_;
};

}  // namespace saddleslip::coordination

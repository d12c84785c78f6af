// Routing: which controller is offered which waiting tasks. A job's home controller splits its
// waiting tasks among the partitions by their free capacity. A task that still waits after a while is
// offered anew, to another partition if one has capacity. An offer is no promise: a task that two
// controllers were offered is started once, since its record in the store is guarded by its version.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/failure_tracker.h"
#include "coordination/scheduling/job_priorities.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// The machines of one controller, as far as this one knows them.
struct MachinePartition {
  base::MemberId member;
  std::vector<const protocol::MachineStatus*> machines;
};

// What one pass of routing reads. Must outlive the call.
struct RoutingInput {
  base::Time now;
  protocol::ControllerIncarnation self;
  std::vector<MachinePartition> partitions;  // of the controllers that were heard of lately
  // Does the job fail on every machine, as far as this controller or another one has seen?
  std::function<bool(const base::JobId&)> is_crash_looping;
};

// Remembers what it has offered, so as not to offer a task anew in each round. Takes the time as an
// argument. Not safe for use from several threads at once.
class OfferRouter {
 public:
  // All references must outlive the router.
  OfferRouter(const base::Settings& settings, const storage::StateCache& cache,
              const JobPriorities& priorities, const FailureTracker& failures)
      : settings_(settings), cache_(cache), priorities_(priorities), failures_(failures) {}

  // The job was submitted to this controller, which makes the first offers of its tasks even if it is
  // not the job's home: the home may be down.
  void add_submitted_job(const base::JobId& job) { submitted_here_.insert(job); }
  // All tasks may be offered again at once: the view has changed, and what was offered to a former
  // member must find another one.
  void forget_offers() { offered_at_.clear(); }
  // The same for offers that did not reach the other controller.
  void forget_offers(const protocol::Offers& undelivered);
  // Drops offers that have expired and jobs that are over. Cheap if done lately.
  void expire(base::Time now);

  // The jobs with pending tasks that this controller routes. Requires an installed view.
  std::vector<const storage::Job*> jobs_to_route(const protocol::ControllerIncarnation& self,
                                                 base::Time now) const;
  // Splits the waiting tasks of these jobs among the partitions. Requires at least one job, an
  // installed view and priorities that are up to date.
  std::map<base::MemberId, protocol::Offers> route(std::vector<const storage::Job*> jobs,
                                                   const RoutingInput& input);

 private:
  struct Pass;

  bool is_offered(const base::TaskId& task, base::Time now) const;
  bool may_preempt(const storage::Job& job, const RoutingInput& input) const;
  std::optional<std::size_t> starving_tasks(const storage::Job& job,
                                            const RoutingInput& input) const;
  void sort_by_precedence(std::vector<const storage::Job*>& jobs, const RoutingInput& input) const;
  Pass begin_pass(const std::vector<const storage::Job*>& jobs, const RoutingInput& input) const;
  std::vector<base::TaskNo> tasks_to_offer(const storage::Job& job, std::size_t max_tasks,
                                           base::Time now) const;
  void update_fit(Pass& pass, std::size_t partition) const;
  std::optional<std::size_t> best_partition(const Pass& pass) const;

  void route_job(Pass& pass, const storage::Job& job);
  void offer_next(Pass& pass, std::size_t partition, std::size_t tasks);
  void offer_in_proportion(Pass& pass);
  void offer_to_best(Pass& pass);
  void offer_for_reservation(Pass& pass);
  void offer_for_preemption(Pass& pass);

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  const JobPriorities& priorities_;
  const FailureTracker& failures_;
  std::unordered_map<base::TaskId, base::Time> offered_at_;
  base::Time expired_at_{};  // when expire() last looked through the offers
  std::set<base::JobId> submitted_here_;
  // How often a partition without free capacity was offered a task of the job.
  std::map<base::JobId, std::size_t> offers_without_capacity_;
};

}  // namespace saddleslip::coordination

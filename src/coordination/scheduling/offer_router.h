// Routing: decides which controller is offered which waiting tasks. A job's home controller splits
// the job's waiting tasks among the controllers' partitions of machines by their free capacity. A
// task that still waits a little more than one scheduling round after its offer is offered again,
// to another partition if one has capacity; the earlier offer may still be in a controller's pool.
// A task that was offered to two controllers is started only once, since a start commits only if
// the task's record in the state service still has the expected version.
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

// The machines of one controller, from the last statuses that this controller received.
struct MachinePartition {
  base::MemberId member;
  std::vector<const protocol::MachineStatus*> machines;
};

// The input of one routing pass. Must outlive the call of route().
struct RoutingInput {
  base::Time now;
  protocol::ControllerIncarnation self;
  std::vector<MachinePartition> partitions;  // of the controllers with a recent status
  // Returns whether this controller or a peer considers the job crash-looping.
  std::function<bool(const base::JobId&)> is_crash_looping;
};

// Routes waiting tasks and records when each task was offered, so that a task is not offered again
// in every round. The current time is passed as an argument. Not safe for use from several threads
// at once.
class OfferRouter {
 public:
  // All references must outlive the router.
  OfferRouter(const base::Settings& settings, const storage::StateCache& cache,
              const JobPriorities& priorities, const FailureTracker& failures)
      : settings_(settings), cache_(cache), priorities_(priorities), failures_(failures) {}

  // Records that the job was submitted to this controller. This controller then makes the first
  // offers of the job's tasks even if it is not the job's home, since the home may be down.
  void add_submitted_job(const base::JobId& job) { submitted_here_.insert(job); }
  // Forgets all offers, so that every waiting task may be offered again at once. To be called when
  // the view has changed, since tasks may have been offered to a controller that is no longer a
  // member.
  void forget_offers() { offered_at_.clear(); }
  // Forgets offers that could not be delivered to the other controller, so that their tasks may be
  // offered again at once.
  void forget_offers(const protocol::Offers& undelivered);
  // Removes expired offers and the state of jobs that have ended. Does nothing if called again
  // within the lifetime of an offer.
  void expire(base::Time now);

  // Returns the jobs with pending tasks that this controller routes. Requires an installed view.
  std::vector<const storage::Job*> jobs_to_route(const protocol::ControllerIncarnation& self,
                                                 base::Time now) const;
  // Splits the waiting tasks of these jobs among the partitions and returns the offers for each
  // member. Requires at least one job, an installed view and up-to-date priorities.
  std::map<base::MemberId, protocol::Offers> route(std::vector<const storage::Job*> jobs,
                                                   const RoutingInput& input);

 private:
  struct RoutingPass;

  bool is_offered(const base::TaskId& task, base::Time now) const;
  bool may_preempt(const storage::Job& job, const RoutingInput& input) const;
  std::optional<std::size_t> starving_tasks(const storage::Job& job,
                                            const RoutingInput& input) const;
  void sort_by_precedence(std::vector<const storage::Job*>& jobs, const RoutingInput& input) const;
  RoutingPass begin_pass(const std::vector<const storage::Job*>& jobs,
                         const RoutingInput& input) const;
  std::vector<base::TaskNumber> tasks_to_offer(const storage::Job& job, std::size_t max_tasks,
                                               base::Time now) const;
  void update_fit(RoutingPass& pass, std::size_t partition) const;
  std::optional<std::size_t> best_partition(const RoutingPass& pass) const;

  void route_job(RoutingPass& pass, const storage::Job& job);
  void offer_next(RoutingPass& pass, std::size_t partition, std::size_t tasks);
  void offer_in_proportion(RoutingPass& pass);
  void offer_to_best(RoutingPass& pass);
  void offer_for_reservation(RoutingPass& pass);
  void offer_for_preemption(RoutingPass& pass);

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  const JobPriorities& priorities_;
  const FailureTracker& failures_;
  std::unordered_map<base::TaskId, base::Time> offered_at_;
  base::Time expired_at_{};  // when expire() last removed offers
  std::set<base::JobId> submitted_here_;
  // The number of offers of each job's tasks to partitions without free capacity.
  std::map<base::JobId, std::size_t> offers_without_capacity_;
};

}  // namespace saddleslip::coordination

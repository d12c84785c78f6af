#include "coordination/scheduling/offer_router.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "coordination/membership/view.h"
#include "coordination/scheduling/partition_capacity.h"

namespace saddleslip::coordination {

using base::JobId;
using base::Seconds;
using base::TaskId;
using base::TaskNumber;
using base::Time;
using protocol::MachineStatus;
using protocol::Resources;
using storage::Job;

namespace {

// For this long the controller that accepted a new job offers its tasks; after that its home
// controller does.
constexpr Seconds kFirstOffersDuration{0.6};
// The number of successive offers of a job to the same partition without free capacity, before the
// next partition is tried. A reservation takes longer to free capacity than preemption does.
constexpr std::size_t kPreemptionOffersPerPartition = 2;
constexpr std::size_t kReservationOffersPerPartition = 40;
// A task that still waits may be offered again after this many scheduling rounds. The earlier offer
// stays in the pool of the controller that received it for longer.
constexpr double kReofferIntervalRounds = 1.2;
// A job that may preempt others offers up to this many tasks in one routing pass even if fewer fit
// into free capacity.
constexpr std::size_t kMinTasksOffered = 8;
constexpr int kStarvingTier = -1;  // before the tiers of all other jobs

void append_task(protocol::Offers& offers, const JobId& job, TaskNumber task) {
  if (offers.offers.empty() || offers.offers.back().job != job) offers.offers.push_back({job, {}});
  auto& ranges = offers.offers.back().ranges;
  if (!ranges.empty() && ranges.back().first + ranges.back().second == task) {
    ++ranges.back().second;
  } else {
    ranges.emplace_back(task, 1);
  }
}

void update_minimum(std::optional<Resources>& minimum, const Resources& request) {
  if (!minimum) minimum = request;
  for (std::size_t i = 0; i < request.amounts.size(); ++i) {
    minimum->amounts[i] = std::min(minimum->amounts[i], request.amounts[i]);
  }
}

// Returns how well a partition suits a job; higher is better. A cached image and free capacity in a
// zone that has a controller take precedence over the amount of free capacity.
int partition_preference(const PartitionFit& fit, bool by_preemption) {
  if (fit.has_image_in_controller_zone) return 4;
  if (fit.has_image) return 3;
  if (by_preemption) return 2;
  return fit.in_controller_zone ? 1 : 0;
}

}  // namespace

// The state of one call of route(): the partitions' remaining capacity, the offers made so far and,
// for the job that is being routed, how it fits each partition and which of its tasks are yet to be
// offered.
struct OfferRouter::RoutingPass {
  const RoutingInput& input;
  std::vector<PartitionCapacity> partitions;
  std::map<base::MemberId, protocol::Offers> offers_by_member;

  const Job* job = nullptr;
  bool may_preempt = false;
  std::vector<PartitionFit> fits;  // by partition
  std::vector<TaskNumber> tasks;   // tasks of the job to be offered
  std::size_t next_index = 0;      // index in `tasks` of the first one that was not offered yet

  const protocol::JobSpec& spec() const { return job->record.spec; }
  bool all_offered() const { return next_index >= tasks.size(); }
  std::size_t tasks_that_fit() const {
    std::size_t total = 0;
    for (const PartitionFit& fit : fits) total += fit.tasks_that_fit;
    return total;
  }
};

void OfferRouter::forget_offers(const protocol::Offers& undelivered) {
  for (const protocol::Offer& offer : undelivered.offers) {
    for (const auto& [first, count] : offer.ranges) {
      for (TaskNumber i = 0; i < count; ++i) offered_at_.erase({offer.job, first + i});
    }
  }
}

void OfferRouter::expire(Time now) {
  const Seconds lifetime = settings_.tuning.round_period * kReofferIntervalRounds;
  if (base::between(expired_at_, now) <= lifetime) return;
  expired_at_ = now;
  std::erase_if(offered_at_,
                [&](const auto& offer) { return base::between(offer.second, now) > lifetime; });
  std::erase_if(offers_without_capacity_,
                [&](const auto& count) { return !cache_.job(count.first); });
  std::erase_if(submitted_here_, [&](const JobId& id) { return !cache_.job(id); });
}

bool OfferRouter::is_offered(const TaskId& task, Time now) const {
  const auto offer = offered_at_.find(task);
  return offer != offered_at_.end() && base::between(offer->second, now) <=
                                           settings_.tuning.round_period * kReofferIntervalRounds;
}

std::vector<const Job*> OfferRouter::jobs_to_route(const protocol::ControllerIncarnation& self,
                                                   Time now) const {
  std::vector<const Job*> jobs;
  for (const auto& [id, job] : cache_.jobs()) {
    if (job.pending() == 0 || !failures_.may_retry(id, now)) continue;
    const protocol::ControllerIncarnation* home = home_of(*cache_.view(), id);
    const bool is_home = home && *home == self;
    const bool is_new = base::between(job.first_seen_at, now) < kFirstOffersDuration;
    const bool is_routed_here =
        submitted_here_.contains(id) ? is_home || is_new : is_home && !is_new;
    if (is_routed_here) jobs.push_back(&job);
  }
  return jobs;
}

bool OfferRouter::may_preempt(const Job& job, const RoutingInput& input) const {
  return !input.is_crash_looping(job.record.spec.id) && priorities_.may_preempt(job);
}

std::optional<std::size_t> OfferRouter::starving_tasks(const Job& job,
                                                       const RoutingInput& input) const {
  if (input.is_crash_looping(job.record.spec.id)) return {};
  return priorities_.starving_tasks(job, input.now);
}

// Sorts the jobs in the order in which they get free capacity: by tier, then by due time.
void OfferRouter::sort_by_precedence(std::vector<const Job*>& jobs,
                                     const RoutingInput& input) const {
  struct Precedence {
    int tier;
    double due, startable_since;
    const Job* job;
    bool operator<(const Precedence& other) const {
      return std::tie(tier, due, startable_since) <
             std::tie(other.tier, other.due, other.startable_since);
    }
  };
  std::vector<Precedence> order;
  order.reserve(jobs.size());
  for (const Job* job : jobs) {
    const int tier = starving_tasks(*job, input) ? kStarvingTier : priorities_.tier(*job);
    order.push_back({tier, priorities_.due_time(*job, input.now), job->startable_since(), job});
  }
  std::stable_sort(order.begin(), order.end());
  for (std::size_t i = 0; i < order.size(); ++i) jobs[i] = order[i].job;
}

// Starts a routing pass. In a busy cluster most machines have no capacity for any waiting task, so
// these are excluded once here instead of being checked for each job.
OfferRouter::RoutingPass OfferRouter::begin_pass(const std::vector<const Job*>& jobs,
                                                 const RoutingInput& input) const {
  std::optional<Resources> minimum_request, minimum_preempting_request;
  for (const Job* job : jobs) {
    update_minimum(minimum_request, job->record.spec.request);
    if (may_preempt(*job, input))
      update_minimum(minimum_preempting_request, job->record.spec.request);
  }
  const auto is_candidate = [&](const MachineStatus& machine) {
    if (machine.free.fits(*minimum_request)) return true;
    if (!minimum_preempting_request) return false;
    Resources available = machine.free;
    available += machine.preemptible;
    return available.fits(*minimum_preempting_request);
  };
  RoutingPass pass{
      .input = input, .partitions = {}, .offers_by_member = {}, .fits = {}, .tasks = {}};
  for (const MachinePartition& partition : input.partitions) {
    PartitionCapacity& capacity = pass.partitions.emplace_back(partition.member);
    for (const MachineStatus* machine : partition.machines) {
      if (!machine->open) continue;
      capacity.add_free_cores(*machine);
      if (is_candidate(*machine)) capacity.add_candidate(*machine);
    }
  }
  return pass;
}

void OfferRouter::update_fit(RoutingPass& pass, std::size_t partition) const {
  pass.fits[partition] =
      pass.partitions[partition].fit(pass.spec(), settings_.controller_zones, pass.may_preempt);
}

std::vector<TaskNumber> OfferRouter::tasks_to_offer(const Job& job, std::size_t max_tasks,
                                                    Time now) const {
  const JobId& id = job.record.spec.id;
  std::vector<TaskNumber> tasks;
  for (std::size_t chunk = 0; chunk < job.chunks.size() && tasks.size() < max_tasks; ++chunk) {
    const auto& record = job.chunks[chunk].record;
    const TaskNumber first = job.chunk_first(chunk);
    for (TaskNumber i = 0; i < job.chunk_size(chunk) && tasks.size() < max_tasks; ++i) {
      if (record.done[i] || record.assigned.contains(first + i) ||
          is_offered({id, first + i}, now)) {
        continue;
      }
      tasks.push_back(first + i);
    }
  }
  return tasks;
}

// Offers the given number of the job's next tasks to the partition.
void OfferRouter::offer_next(RoutingPass& pass, std::size_t partition, std::size_t tasks) {
  protocol::Offers& offers = pass.offers_by_member[pass.partitions[partition].member()];
  for (std::size_t i = pass.next_index; i < pass.next_index + tasks; ++i) {
    append_task(offers, pass.spec().id, pass.tasks[i]);
    offered_at_[{pass.spec().id, pass.tasks[i]}] = pass.input.now;
  }
  pass.next_index += tasks;
}

// Offers the job's tasks to the partitions in proportion to how many fit there. Tasks of the same
// record go to the same partition where possible, so that two controllers seldom write the same
// record.
void OfferRouter::offer_in_proportion(RoutingPass& pass) {
  const std::size_t partition_count = pass.partitions.size();
  const std::size_t total_fitting = pass.tasks_that_fit();
  const std::size_t offered = std::min(pass.tasks.size(), total_fitting);
  std::vector<double> share_left(partition_count);
  std::vector<std::size_t> capacity_left(partition_count);
  for (std::size_t partition = 0; partition < partition_count; ++partition) {
    capacity_left[partition] = pass.fits[partition].tasks_that_fit;
    share_left[partition] = static_cast<double>(offered) *
                            static_cast<double>(capacity_left[partition]) /
                            static_cast<double>(total_fitting);
  }
  const auto chunk_of = [&pass](std::size_t task_index) {
    return pass.job->record.chunk_of(pass.tasks[task_index]);
  };
  while (pass.next_index < offered) {
    std::size_t record_tasks = 1;  // consecutive tasks of the same record
    while (pass.next_index + record_tasks < offered &&
           chunk_of(pass.next_index + record_tasks) == chunk_of(pass.next_index))
      ++record_tasks;
    std::size_t best = partition_count;
    for (std::size_t partition = 0; partition < partition_count; ++partition) {
      if (capacity_left[partition] > 0 &&
          (best == partition_count || share_left[partition] > share_left[best]))
        best = partition;
    }
    if (best == partition_count) break;
    const std::size_t tasks = std::min(record_tasks, capacity_left[best]);
    offer_next(pass, best, tasks);
    pass.partitions[best].deduct_free(pass.spec(), tasks);
    capacity_left[best] -= tasks;
    share_left[best] -= static_cast<double>(tasks);
  }
  for (std::size_t partition = 0; partition < partition_count; ++partition)
    update_fit(pass, partition);
}

// Returns the partition that suits one more task of the job best, or nullopt if none has capacity
// for it.
std::optional<std::size_t> OfferRouter::best_partition(const RoutingPass& pass) const {
  const bool must_start_soon = pass.spec().rank <= protocol::Rank::kUrgent &&
                               priorities_.start_within(pass.spec()).has_value();
  std::optional<std::size_t> best;
  int best_preference = 0;
  for (std::size_t partition = 0; partition < pass.partitions.size(); ++partition) {
    const PartitionFit& fit = pass.fits[partition];
    const bool by_preemption = must_start_soon && fit.fits_by_preemption_with_image;
    if (fit.tasks_that_fit == 0 && !by_preemption) continue;
    const int preference = partition_preference(fit, by_preemption);
    if (!best || preference > best_preference ||
        (preference == best_preference &&
         pass.partitions[partition].free_cores() > pass.partitions[*best].free_cores())) {
      best = partition;
      best_preference = preference;
    }
  }
  return best;
}

// Offers the job's tasks one by one to the partition that suits them best at that point. For a job
// that must keep to one zone, a partition is offered as many tasks at once as fit there.
void OfferRouter::offer_to_best(RoutingPass& pass) {
  while (!pass.all_offered()) {
    const std::optional<std::size_t> best = best_partition(pass);
    if (!best) return;
    const std::size_t fitting_tasks = pass.fits[*best].tasks_that_fit;
    const std::size_t remaining = pass.tasks.size() - pass.next_index;
    const std::size_t tasks =
        pass.spec().one_zone ? std::clamp<std::size_t>(fitting_tasks, 1, remaining) : 1;
    offer_next(pass, *best, tasks);
    if (fitting_tasks > 0) {
      pass.partitions[*best].deduct_free(pass.spec(), tasks);
    } else {
      pass.partitions[*best].deduct_preemptible(pass.spec());
    }
    update_fit(pass, *best);
  }
}

// Offers one task of a starving job to a partition in which it does not fit, so that the controller
// there reserves capacity for it.
void OfferRouter::offer_for_reservation(RoutingPass& pass) {
  const std::size_t turn =
      ++offers_without_capacity_[pass.spec().id] / kReservationOffersPerPartition;
  offer_next(pass, turn % pass.partitions.size(), 1);
}

// Offers the remaining tasks of a job that may preempt others to partitions in which they fit by
// preemption.
void OfferRouter::offer_for_preemption(RoutingPass& pass) {
  const std::size_t partition_count = pass.partitions.size();
  while (!pass.all_offered()) {
    // Partitions are tried in turn, since tasks that seem preemptible in one may be protected by
    // their team's guarantee. Each partition gets several successive offers, since otherwise tasks
    // would be preempted in all partitions.
    const std::size_t turn =
        ++offers_without_capacity_[pass.spec().id] / kPreemptionOffersPerPartition;
    std::size_t offset = 0;
    while (offset < partition_count &&
           !pass.fits[(turn + offset) % partition_count].fits_by_preemption)
      ++offset;
    if (offset == partition_count) return;
    const std::size_t partition = (turn + offset) % partition_count;
    offer_next(pass, partition, 1);
    pass.partitions[partition].deduct_preemptible(pass.spec());
    update_fit(pass, partition);
  }
}

// Offers the job's waiting tasks to the partitions: by free capacity first, then for the
// reservation of capacity if the job is starving, or for preemption if it may preempt others.
void OfferRouter::route_job(RoutingPass& pass, const Job& job) {
  pass.job = &job;
  pass.may_preempt = may_preempt(job, pass.input);
  pass.fits.assign(pass.partitions.size(), {});
  for (std::size_t partition = 0; partition < pass.partitions.size(); ++partition)
    update_fit(pass, partition);
  const bool is_gang = pass.spec().kind == protocol::Kind::kGang;
  const std::size_t fitting_tasks = pass.tasks_that_fit();
  // A gang starts only if all its tasks fit in one round.
  if (is_gang && fitting_tasks < job.pending()) return;
  const std::optional<std::size_t> starving = starving_tasks(job, pass.input);
  if (fitting_tasks == 0 && !starving && !pass.may_preempt) return;
  std::size_t max_tasks = starving ? *starving : std::max(fitting_tasks, kMinTasksOffered);
  // One task is enough to find out whether a crash-looping job still fails.
  if (!is_gang && pass.input.is_crash_looping(pass.spec().id)) max_tasks = 1;
  pass.tasks = tasks_to_offer(job, max_tasks, pass.input.now);
  pass.next_index = 0;
  if (is_gang && pass.tasks.size() < job.pending()) return;
  if (fitting_tasks > 0 && pass.spec().kind != protocol::Kind::kService && !pass.spec().one_zone) {
    offer_in_proportion(pass);
  } else {
    offer_to_best(pass);
  }
  if (is_gang) return;
  if (starving && pass.tasks_that_fit() == 0 && !pass.all_offered()) offer_for_reservation(pass);
  if (pass.may_preempt) offer_for_preemption(pass);
}

std::map<base::MemberId, protocol::Offers> OfferRouter::route(std::vector<const Job*> jobs,
                                                              const RoutingInput& input) {
  sort_by_precedence(jobs, input);
  RoutingPass pass = begin_pass(jobs, input);
  for (const Job* job : jobs) route_job(pass, *job);
  for (auto& [member, offers] : pass.offers_by_member) {
    offers.from = input.self;
    offers.epoch = cache_.view()->epoch;
  }
  return std::move(pass.offers_by_member);
}

}  // namespace saddleslip::coordination

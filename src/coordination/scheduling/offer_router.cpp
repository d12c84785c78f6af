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
using base::TaskNo;
using base::Time;
using protocol::MachineStatus;
using protocol::Resources;
using storage::Job;

namespace {

// A new job's tasks are offered for so long by the controller it was submitted to, then by its home.
constexpr Seconds kFirstOffersDuration{0.6};
// So many offers without capacity go to one partition before the next one's turn: for preemption, and
// for the reservation of capacity, which takes longer.
constexpr std::size_t kPreemptionOffersPerPartition = 2;
constexpr std::size_t kReservationOffersPerPartition = 40;
// A task is offered again after so many rounds.
constexpr double kOfferLifetimeRounds = 1.2;
// So many tasks of a job that may preempt others are offered where nothing is free.
constexpr std::size_t kMinTasksOffered = 8;
constexpr int kStarvingTier = -1;  // before all others

void append(protocol::Offers& offers, const JobId& job, TaskNo task) {
  if (offers.offers.empty() || offers.offers.back().job != job) offers.offers.push_back({job, {}});
  auto& ranges = offers.offers.back().ranges;
  if (!ranges.empty() && ranges.back().first + ranges.back().second == task) {
    ++ranges.back().second;
  } else {
    ranges.emplace_back(task, 1);
  }
}

void lower_to(std::optional<Resources>& least, const Resources& request) {
  if (!least) least = request;
  for (std::size_t i = 0; i < request.v.size(); ++i) {
    least->v[i] = std::min(least->v[i], request.v[i]);
  }
}

// Higher is better. Where the image is cached beats more free capacity where it must be fetched, and
// so does free capacity in a zone that has a controller.
int preference(const PartitionFit& fit, bool by_preemption) {
  if (fit.has_image_in_reachable_zone) return 4;
  if (fit.has_image) return 3;
  if (by_preemption) return 2;
  return fit.has_reachable_zone ? 1 : 0;
}

}  // namespace

// The state of one call of route(): the partitions, less what was offered to them, and for the job in
// hand how it fits each partition and which of its tasks are still to be offered.
struct OfferRouter::Pass {
  const RoutingInput& input;
  std::vector<PartitionCapacity> partitions;
  std::map<base::MemberId, protocol::Offers> out;

  const Job* job = nullptr;
  bool may_preempt = false;
  std::vector<PartitionFit> fits;  // by partition
  std::vector<TaskNo> tasks;       // of the job, to be offered
  std::size_t next = 0;            // the first of `tasks` that was not offered

  const protocol::JobSpec& spec() const { return job->record.spec; }
  bool is_done() const { return next >= tasks.size(); }
  std::size_t tasks_that_fit() const {
    std::size_t sum = 0;
    for (const PartitionFit& fit : fits) sum += fit.tasks_that_fit;
    return sum;
  }
};

void OfferRouter::forget_offers(const protocol::Offers& undelivered) {
  for (const protocol::Offer& offer : undelivered.offers) {
    for (const auto& [first, count] : offer.ranges) {
      for (TaskNo i = 0; i < count; ++i) offered_at_.erase({offer.job, first + i});
    }
  }
}

void OfferRouter::expire(Time now) {
  const Seconds lifetime = settings_.tuning.round_period * kOfferLifetimeRounds;
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
  return offer != offered_at_.end() &&
         base::between(offer->second, now) <= settings_.tuning.round_period * kOfferLifetimeRounds;
}

std::vector<const Job*> OfferRouter::jobs_to_route(const protocol::ControllerIncarnation& self,
                                                   Time now) const {
  std::vector<const Job*> jobs;
  for (const auto& [id, job] : cache_.jobs()) {
    if (job.pending() == 0 || !failures_.may_retry(id, now)) continue;
    const protocol::ControllerIncarnation* home = home_of(*cache_.view(), id);
    const bool is_home = home && *home == self;
    const bool is_new = base::between(job.seen, now) < kFirstOffersDuration;
    const bool is_routed_here =
        submitted_here_.contains(id) ? is_home || is_new : is_home && !is_new;
    if (is_routed_here) jobs.push_back(&job);
  }
  return jobs;
}

bool OfferRouter::may_preempt(const Job& job, const RoutingInput& input) const {
  return !input.is_crash_looping(job.record.spec.id) && priorities_.may_displace(job);
}

std::optional<std::size_t> OfferRouter::starving_tasks(const Job& job,
                                                       const RoutingInput& input) const {
  if (input.is_crash_looping(job.record.spec.id)) return {};
  return priorities_.starving_tasks(job, input.now);
}

// Jobs of higher tiers get the free capacity first; within a tier those that are due first.
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
    order.push_back({tier, priorities_.due(*job, input.now), job->startable_since(), job});
  }
  std::stable_sort(order.begin(), order.end());
  for (std::size_t i = 0; i < order.size(); ++i) jobs[i] = order[i].job;
}

// In a busy cluster most machines have capacity for no waiting task: these are left out once, instead
// of being looked at for each job.
OfferRouter::Pass OfferRouter::begin_pass(const std::vector<const Job*>& jobs,
                                          const RoutingInput& input) const {
  std::optional<Resources> least_request, least_preempting_request;
  for (const Job* job : jobs) {
    lower_to(least_request, job->record.spec.request);
    if (may_preempt(*job, input)) lower_to(least_preempting_request, job->record.spec.request);
  }
  const auto is_candidate = [&](const MachineStatus& machine) {
    if (machine.free.fits(*least_request)) return true;
    if (!least_preempting_request) return false;
    Resources available = machine.free;
    available += machine.preemptible;
    return available.fits(*least_preempting_request);
  };
  Pass pass{.input = input, .partitions = {}, .out = {}, .fits = {}, .tasks = {}};
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

void OfferRouter::update_fit(Pass& pass, std::size_t partition) const {
  pass.fits[partition] =
      pass.partitions[partition].fit(pass.spec(), settings_.controller_zones, pass.may_preempt);
}

std::vector<TaskNo> OfferRouter::tasks_to_offer(const Job& job, std::size_t max_tasks,
                                                Time now) const {
  const JobId& id = job.record.spec.id;
  std::vector<TaskNo> tasks;
  for (std::size_t chunk = 0; chunk < job.chunks.size() && tasks.size() < max_tasks; ++chunk) {
    const auto& record = job.chunks[chunk].record;
    const TaskNo first = job.chunk_first(chunk);
    for (TaskNo i = 0; i < job.chunk_size(chunk) && tasks.size() < max_tasks; ++i) {
      if (record.done[i] || record.assigned.contains(first + i) ||
          is_offered({id, first + i}, now)) {
        continue;
      }
      tasks.push_back(first + i);
    }
  }
  return tasks;
}

// Offers the next tasks of the job to that partition.
void OfferRouter::offer_next(Pass& pass, std::size_t partition, std::size_t tasks) {
  protocol::Offers& offers = pass.out[pass.partitions[partition].member()];
  for (std::size_t i = pass.next; i < pass.next + tasks; ++i) {
    append(offers, pass.spec().id, pass.tasks[i]);
    offered_at_[{pass.spec().id, pass.tasks[i]}] = pass.input.now;
  }
  pass.next += tasks;
}

// Tasks of one record stay together as far as possible, so that two controllers seldom write the same
// record.
void OfferRouter::offer_in_proportion(Pass& pass) {
  const std::size_t partitions = pass.partitions.size();
  const std::size_t all_that_fit = pass.tasks_that_fit();
  const std::size_t offered = std::min(pass.tasks.size(), all_that_fit);
  std::vector<double> share(partitions);
  std::vector<std::size_t> left(partitions);
  for (std::size_t p = 0; p < partitions; ++p) {
    left[p] = pass.fits[p].tasks_that_fit;
    share[p] = static_cast<double>(offered) * static_cast<double>(left[p]) /
               static_cast<double>(all_that_fit);
  }
  const auto chunk_of = [&pass](std::size_t i) { return pass.job->record.chunk_of(pass.tasks[i]); };
  while (pass.next < offered) {
    std::size_t run = 1;  // tasks of one record
    while (pass.next + run < offered && chunk_of(pass.next + run) == chunk_of(pass.next)) ++run;
    std::size_t best = partitions;
    for (std::size_t p = 0; p < partitions; ++p) {
      if (left[p] > 0 && (best == partitions || share[p] > share[best])) best = p;
    }
    if (best == partitions) break;
    const std::size_t tasks = std::min(run, left[best]);
    offer_next(pass, best, tasks);
    pass.partitions[best].deduct_free(pass.spec(), tasks);
    left[best] -= tasks;
    share[best] -= static_cast<double>(tasks);
  }
  for (std::size_t p = 0; p < partitions; ++p) update_fit(pass, p);
}

// The partition that suits one more task of the job best, if any can take it.
std::optional<std::size_t> OfferRouter::best_partition(const Pass& pass) const {
  const bool must_start_soon = pass.spec().rank <= protocol::Rank::kUrgent &&
                               priorities_.start_within(pass.spec()).has_value();
  std::optional<std::size_t> best;
  int best_preference = 0;
  for (std::size_t p = 0; p < pass.partitions.size(); ++p) {
    const PartitionFit& fit = pass.fits[p];
    const bool by_preemption = must_start_soon && fit.fits_by_preemption_with_image;
    if (fit.tasks_that_fit == 0 && !by_preemption) continue;
    const int preferred = preference(fit, by_preemption);
    if (!best || preferred > best_preference ||
        (preferred == best_preference &&
         pass.partitions[p].free_cores() > pass.partitions[*best].free_cores())) {
      best = p;
      best_preference = preferred;
    }
  }
  return best;
}

void OfferRouter::offer_to_best(Pass& pass) {
  while (!pass.is_done()) {
    const std::optional<std::size_t> best = best_partition(pass);
    if (!best) return;
    const std::size_t that_fit = pass.fits[*best].tasks_that_fit;
    const std::size_t left = pass.tasks.size() - pass.next;
    const std::size_t tasks = pass.spec().one_zone ? std::clamp<std::size_t>(that_fit, 1, left) : 1;
    offer_next(pass, *best, tasks);
    if (that_fit > 0) {
      pass.partitions[*best].deduct_free(pass.spec(), tasks);
    } else {
      pass.partitions[*best].deduct_preemptible(pass.spec());
    }
    update_fit(pass, *best);
  }
}

// A starving job is offered also where it does not fit: capacity is reserved for it there.
void OfferRouter::offer_for_reservation(Pass& pass) {
  const std::size_t turn =
      ++offers_without_capacity_[pass.spec().id] / kReservationOffersPerPartition;
  offer_next(pass, turn % pass.partitions.size(), 1);
}

// Without free capacity anywhere, a job that may preempt others goes where that is possible.
void OfferRouter::offer_for_preemption(Pass& pass) {
  const std::size_t partitions = pass.partitions.size();
  while (!pass.is_done()) {
    // Partitions take turns, since what could be preempted in one may be protected by its team's
    // guarantee. Not with every offer, or tasks would be preempted in all of them.
    const std::size_t turn =
        ++offers_without_capacity_[pass.spec().id] / kPreemptionOffersPerPartition;
    std::size_t i = 0;
    while (i < partitions && !pass.fits[(turn + i) % partitions].fits_by_preemption) ++i;
    if (i == partitions) return;
    const std::size_t partition = (turn + i) % partitions;
    offer_next(pass, partition, 1);
    pass.partitions[partition].deduct_preemptible(pass.spec());
    update_fit(pass, partition);
  }
}

void OfferRouter::route_job(Pass& pass, const Job& job) {
  pass.job = &job;
  pass.may_preempt = may_preempt(job, pass.input);
  pass.fits.assign(pass.partitions.size(), {});
  for (std::size_t p = 0; p < pass.partitions.size(); ++p) update_fit(pass, p);
  const bool is_gang = pass.spec().kind == protocol::Kind::kGang;
  const std::size_t that_fit = pass.tasks_that_fit();
  // A gang starts only if all its tasks fit in one round.
  if (is_gang && that_fit < job.pending()) return;
  const std::optional<std::size_t> starving = starving_tasks(job, pass.input);
  if (that_fit == 0 && !starving && !pass.may_preempt) return;
  std::size_t max_tasks = starving ? *starving : std::max(that_fit, kMinTasksOffered);
  // One task shows whether a job that failed on every machine still does.
  if (!is_gang && pass.input.is_crash_looping(pass.spec().id)) max_tasks = 1;
  pass.tasks = tasks_to_offer(job, max_tasks, pass.input.now);
  pass.next = 0;
  if (is_gang && pass.tasks.size() < job.pending()) return;
  if (that_fit > 0 && pass.spec().kind != protocol::Kind::kService && !pass.spec().one_zone) {
    offer_in_proportion(pass);
  } else {
    offer_to_best(pass);
  }
  if (is_gang) return;
  if (starving && pass.tasks_that_fit() == 0 && !pass.is_done()) offer_for_reservation(pass);
  if (pass.may_preempt) offer_for_preemption(pass);
}

std::map<base::MemberId, protocol::Offers> OfferRouter::route(std::vector<const Job*> jobs,
                                                              const RoutingInput& input) {
  sort_by_precedence(jobs, input);
  Pass pass = begin_pass(jobs, input);
  for (const Job* job : jobs) route_job(pass, *job);
  for (auto& [member, offers] : pass.out) {
    offers.from = input.self;
    offers.epoch = cache_.view()->epoch;
  }
  return std::move(pass.out);
}

}  // namespace saddleslip::coordination

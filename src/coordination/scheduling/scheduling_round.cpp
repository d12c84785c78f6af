// The scheduling round of a controller: assigns waiting tasks to machines and collects the starts
// and completions of tasks into one transaction.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "coordination/controller.h"
#include "coordination/machines/commands_due.h"
#include "coordination/scheduling/starvation_reservations.h"

namespace saddleslip::coordination {

using protocol::EndCause;
using protocol::Kind;
using protocol::Rank;

namespace {

constexpr Seconds kPartitionStatusMaxAge{4.0};  // with an older status a partition gets no offers
constexpr int kSlowFetchPass = 6;  // packing pass of machines that cannot fetch the image in time

}  // namespace

Seconds Controller::fetch_time(const Machine& machine, const protocol::JobSpec& spec) const {
  if (machine.has_image(spec.image)) return Seconds(0);
  const auto* type = cache_.type(machine.last_heartbeat.type);
  if (!type || type->fetch_gb_per_s <= 0) return Seconds(0);
  // Concurrent image fetches share the machine's fetch rate.
  const double concurrent_fetches =
      1.0 + static_cast<double>(machine.pulling.size() - machine.pulling.count(spec.image));
  return Seconds(spec.image_gb / type->fetch_gb_per_s * concurrent_fetches);
}

void Controller::handle_undelivered_offers(const MemberId& member,
                                           const std::vector<protocol::Offers>& offers) {
  peers_.forget(member);
  for (const protocol::Offers& undelivered : offers) offer_router_.forget_offers(undelivered);
}

std::map<MemberId, protocol::Offers> Controller::route_waiting_tasks(Time now) {
  if (!has_authority(now)) return {};
  offer_router_.expire(now);
  const std::vector<const Job*> jobs = offer_router_.jobs_to_route(self_, now);
  if (jobs.empty()) return {};
  priorities_.update(now);
  RoutingInput input{now, self_, {}, [&](const JobId& job) { return is_crash_looping(job, now); }};
  for (auto& [member, machines] : partitions(now, kPartitionStatusMaxAge)) {
    input.partitions.push_back({member, std::move(machines)});
  }
  return offer_router_.route(jobs, input);
}

std::optional<std::size_t> Controller::starving_tasks(const Job& job, Time now) const {
  if (is_crash_looping(job.record.spec.id, now)) return {};
  return priorities_.starving_tasks(job, now);
}

RoundPlan Controller::plan_round(Time now, WriteBudget write_budget) {
  detect_pause(now);
  RoundPlan plan;
  contact_monitor_.update_authority(has_authority(now), now);
  if (!has_authority(now)) return plan;
  run_periodic_checks(now);
  priorities_.update(now);

  RecordBatch batch(settings_, cache_);
  std::vector<RoundPlan::Completion> completions;
  collect_completions(now, completions);
  std::vector<RoundPlan::Completion> deferred =
      record_completions(std::move(completions), write_budget, now, batch, plan);
  std::vector<WaitingJob> waiting = waiting_jobs(write_budget, now, batch);
  place_tasks(waiting, now, plan);
  record_starts(batch, plan);
  record_deferred_completions(std::move(deferred), write_budget, now, batch, plan);
  free_capacity(waiting, plan, now);
  plan.has_more_changes = batch.is_full();
  if (!batch.empty())
    plan.transaction = batch.build(self_, installed_view_, priorities_.time_of_day(now));
  return plan;
}

std::vector<Controller::WaitingJob> Controller::waiting_jobs(WriteBudget write_budget, Time now,
                                                             const RecordBatch& batch) {
  offer_pool_.expire(now);
  std::vector<WaitingJob> waiting;
  std::map<JobId, std::size_t> index_by_job;
  for (const PooledOffer& offer : offer_pool_.offers()) {
    const Job* job = cache_.job(offer.job);
    if (!job || job->cancelled() || job->blocked) continue;
    if (write_budget == WriteBudget::kExhausted && !priorities_.is_urgent(*job)) continue;
    if (!failures_.may_retry(offer.job, now)) continue;
    const auto [entry, is_new] = index_by_job.try_emplace(offer.job, waiting.size());
    if (is_new) waiting.push_back({job, {}, {}, true});
    WaitingJob& waiting_job = waiting[entry->second];
    for (const auto& [first, count] : offer.ranges) {
      for (TaskNumber task = first; task - first < count && task < job->record.spec.tasks; ++task) {
        if (!batch.is_assigned(*job, task) && !batch.is_done(*job, task))
          waiting_job.tasks.push_back(task);
      }
    }
    std::sort(waiting_job.tasks.begin(), waiting_job.tasks.end());
    waiting_job.tasks.erase(std::unique(waiting_job.tasks.begin(), waiting_job.tasks.end()),
                            waiting_job.tasks.end());
  }
  std::erase_if(waiting, [](const WaitingJob& waiting_job) { return waiting_job.tasks.empty(); });
  for (WaitingJob& waiting_job : waiting) count_tasks_by_zone(waiting_job);
  return waiting;
}

// Counts the assigned tasks by zone for a job that must keep to one zone or spread over zones.
void Controller::count_tasks_by_zone(WaitingJob& waiting_job) const {
  const auto& spec = waiting_job.job->record.spec;
  if (!spec.one_zone && !spec.spread) return;
  for (const auto& chunk : waiting_job.job->chunks) {
    for (const auto& [task, assignment] : chunk.record.assigned) {
      const std::string zone = zone_of(assignment.machine);
      // The zone is empty if this controller does not know the machine's zone yet. The job then
      // waits, since its zone constraint cannot be checked.
      if (zone.empty()) waiting_job.zones_known = false;
      ++waiting_job.zones[zone];
    }
  }
}

Controller::OpenMachines Controller::open_machines(Time now) {
  OpenMachines open;
  for (auto& [id, machine] : machines_) {
    const auto* type = cache_.type(machine.last_heartbeat.type);
    if (!type) continue;
    for (std::size_t i = 0; i < open.scale.amounts.size(); ++i) {
      open.scale.amounts[i] = std::max(open.scale.amounts[i], type->size.amounts[i]);
    }
    if (machine.cordoned || !is_schedulable(machine, now)) continue;
    open.bins.push_back({capacity(machine).free});
    open.machines.push_back(&machine);
  }
  return open;
}

// Returns each job's position within its tier. If the waiting tasks request more than the free
// capacity, jobs are placed in the order of their due times; otherwise all positions are 0 and the
// packing score alone decides.
std::vector<int> Controller::order_by_due_time(const std::vector<WaitingJob>& waiting,
                                               const std::vector<Bin>& bins, Time now) const {
  std::vector<int> order(waiting.size(), 0);
  Resources requested, free;
  for (const WaitingJob& waiting_job : waiting) {
    requested +=
        waiting_job.job->record.spec.request * static_cast<double>(waiting_job.tasks.size());
  }
  for (const Bin& bin : bins) free += bin.free;
  if (free.fits(requested)) return order;
  std::vector<std::pair<double, std::size_t>> by_due;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    by_due.emplace_back(priorities_.due_time(*waiting[i].job, now), i);
  }
  std::sort(by_due.begin(), by_due.end());
  for (std::size_t i = 0; i < by_due.size(); ++i) order[by_due[i].second] = static_cast<int>(i);
  return order;
}

void Controller::place_tasks(std::vector<WaitingJob>& waiting, Time now, RoundPlan& plan) {
  OpenMachines open = open_machines(now);
  const std::vector<int> due_order = order_by_due_time(waiting, open.bins, now);
  const int tier_stride = static_cast<int>(waiting.size()) + 1;
  std::map<std::string, Resources> planned;  // requests of the planned starts, by team
  std::vector<PackingGroup> groups;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    WaitingJob& waiting_job = waiting[i];
    const auto& spec = waiting_job.job->record.spec;
    const auto starving = starving_tasks(*waiting_job.job, now);
    if (starving && waiting_job.tasks.size() > *starving) waiting_job.tasks.resize(*starving);
    // One task is enough to find out whether a crash-looping job still fails.
    if (spec.kind != Kind::kGang && is_crash_looping(spec.id, now)) waiting_job.tasks.resize(1);
    PackingGroup group;
    group.request = spec.request;
    group.count = waiting_job.tasks.size();
    group.tier = (starving ? -1 : priorities_.tier(*waiting_job.job)) * tier_stride + due_order[i];
    group.may_place = [&, this](std::size_t bin) {
      return may_start(waiting_job, open.machines[bin]->last_heartbeat, planned[spec.team]);
    };
    group.on_placed = [&](std::size_t bin) {
      const Heartbeat& heartbeat = open.machines[bin]->last_heartbeat;
      const auto task = std::find_if(waiting_job.tasks.begin(), waiting_job.tasks.end(),
                                     [&](TaskNumber candidate) {
                                       return !heartbeat.tasks.contains(TaskId{spec.id, candidate});
                                     });
      plan.starts.push_back(
          {{spec.id, *task}, {heartbeat.machine, {}, heartbeat.agent_incarnation}});
      waiting_job.tasks.erase(task);
      ++waiting_job.zones[heartbeat.zone];
      planned[spec.team] += spec.request;
    };
    const auto start_within = priorities_.start_within(spec);
    const bool prefers_preemption = preemption_.prefers_preemption(*waiting_job.job, now);
    group.pass_for_bin = [&, this, start_within, prefers_preemption](std::size_t bin) {
      return packing_pass(spec, *open.machines[bin], start_within, prefers_preemption, now);
    };
    groups.push_back(std::move(group));
  }
  pack(groups, open.bins, open.scale);
}

// Returns whether one more task of the job may start on the machine that sent this heartbeat.
// `planned` is what this round has already planned for the job's team.
bool Controller::may_start(const WaitingJob& waiting_job, const Heartbeat& heartbeat,
                           const Resources& planned) const {
  const auto& spec = waiting_job.job->record.spec;
  if (waiting_job.tasks.empty()) return false;
  if (spec.one_zone || spec.spread) {
    if (!waiting_job.zones_known) return false;
    if (spec.one_zone && !waiting_job.zones.empty() && !waiting_job.zones.contains(heartbeat.zone))
      return false;
    const auto tasks_in_zone = waiting_job.zones.find(heartbeat.zone);
    if (spec.spread && tasks_in_zone != waiting_job.zones.end() &&
        tasks_in_zone->second >= (spec.tasks + 1) / 2) {
      return false;
    }
  }
  if (cache_.has_quota_limit(spec.team)) {
    const base::Team& team = settings_.teams.at(spec.team);
    Resources usage = cache_.team_use(spec.team);
    usage += planned;
    usage += spec.request;
    if ((team.max_cores > 0 && usage.cores() > team.max_cores + 1e-6) ||
        (team.max_gpus > 0 && usage.gpus() > team.max_gpus + 1e-6)) {
      return false;
    }
  }
  // The agent rejects a task as busy while it still reports an earlier attempt of that task.
  return std::any_of(waiting_job.tasks.begin(), waiting_job.tasks.end(), [&](TaskNumber task) {
    return !heartbeat.tasks.contains(TaskId{spec.id, task});
  });
}

// Returns the packing pass in which a machine is tried for the job: lower passes first, negative
// ones never. Machines with a cached image come first, since fetching it can take longer than all
// other steps of a start. Services prefer zones that have a controller, because a network partition
// between zones makes all machines of the other zones unreachable; other jobs prefer the zones
// without one, to leave that capacity to services.
int Controller::packing_pass(const protocol::JobSpec& spec, const Machine& machine,
                             std::optional<Seconds> start_within, bool prefers_preemption,
                             Time now) const {
  if (!may_run(spec, machine.last_heartbeat.type, machine.last_heartbeat.zone,
               machine.last_heartbeat.spot))
    return -1;
  if (reservations_.is_reserved_for_other(machine.last_heartbeat.machine, spec.id)) return -1;
  if (failures_.must_avoid(spec.id, machine.last_heartbeat.machine, now)) return -1;
  const bool is_fetched_in_time = !start_within || fetch_time(machine, spec) < *start_within * 0.75;
  const int image_pass = machine.has_image(spec.image)          ? 0
                         : machine.pulling.contains(spec.image) ? 2
                         : is_fetched_in_time                   ? 4
                                                                : kSlowFetchPass;
  if (prefers_preemption && image_pass == kSlowFetchPass) return -1;
  const bool has_controller = settings_.controller_zones.contains(machine.last_heartbeat.zone);
  return image_pass + (has_controller == (spec.kind == Kind::kService) ? 0 : 1);
}

void Controller::record_starts(RecordBatch& batch, RoundPlan& plan) {
  std::vector<RoundPlan::Start> recorded;
  for (RoundPlan::Start& start : plan.starts) {
    const auto attempt = batch.add_start(start.task, start.assignment);
    if (!attempt) continue;
    start.assignment.attempt = *attempt;
    recorded.push_back(std::move(start));
  }
  plan.starts = std::move(recorded);
}

// Frees capacity for the tasks that were not placed: reserves machines for starving jobs and
// preempts tasks for jobs that may displace others.
void Controller::free_capacity(const std::vector<WaitingJob>& waiting, const RoundPlan& plan,
                               Time now) {
  for (const RoundPlan::Start& start : plan.starts) {
    reservations_.fulfil(start.assignment.machine, start.task.job);
  }
  reservations_.expire(now);
  std::vector<UnplacedJob> unplaced;
  for (const WaitingJob& waiting_job : waiting) {
    // No capacity is freed for a crash-looping job.
    if (!waiting_job.tasks.empty() && !is_crash_looping(waiting_job.job->record.spec.id, now))
      unplaced.push_back({waiting_job.job, waiting_job.tasks.size()});
  }
  std::optional<StarvationReservations> starvation;
  for (const auto& [job, tasks] : unplaced) {
    if (!starving_tasks(*job, now)) continue;
    if (!starvation) starvation.emplace(cache_, capacity_, machines_, reservations_, now);
    starvation->reserve(job->record.spec);
  }
  preemption_.preempt(unplaced, now);
}

std::vector<CommandBatch> Controller::apply_committed_plan(const RoundPlan& plan, Version version,
                                                           Time now) {
  std::vector<CommandBatch> batches;
  for (const RoundPlan::Completion& completion : plan.completions) {
    // Before apply(), which removes a job together with its last completion.
    if (completion.done) learn_run_time(completion);
  }
  cache_.apply(plan.transaction, base::Revision(version.get()), now);
  for (const RoundPlan::Completion& completion : plan.completions) {
    attempts_.forget(completion.task);
    spdlog::debug("attempt ended: task={}/{} machine={} reason={}", completion.task.job.get(),
                  completion.task.no, completion.machine.get(), completion.reason);
    if (completion.done) {
      failures_.record_success(completion.machine);
      failures_.mark_known_good(completion.task.job);
    } else if (completion.reason == protocol::to_string(EndCause::kError)) {
      failures_.record_failure(completion.task.job, completion.machine, run_before_end(completion),
                               now);
    }
  }
  std::map<MachineId, CommandBatch> by_machine;
  for (const RoundPlan::Start& start : plan.starts) {
    const auto entry = machines_.find(start.assignment.machine);
    if (entry == machines_.end() ||
        entry->second.last_heartbeat.agent_incarnation != start.assignment.agent_incarnation)
      continue;
    Machine& machine = entry->second;
    CommandBatch& batch = by_machine[start.assignment.machine];
    batch.machine = start.assignment.machine;
    batch.address = machine.last_heartbeat.address;
    batch.fencing_token = machine.fencing_token;
    batch.agent_incarnation = machine.last_heartbeat.agent_incarnation;
    batch.commands.push_back({Command::Op::kRun, start.task, start.assignment.attempt, {}});
    machine.idle_since = now;
    const Job* job = cache_.job(start.task.job);
    spdlog::debug("task start committed: task={}/{} machine={} attempt={}{}", start.task.job.get(),
                  start.task.no, start.assignment.machine.get(), start.assignment.attempt.get(),
                  job && machine.has_image(job->record.spec.image) ? "" : " image_cached=false");
  }
  for (auto& [id, batch] : by_machine) {
    Machine& machine = machines_.at(id);
    // Each batch that starts tasks has a fencing token of its own: once the agent has reported a
    // higher token, it no longer executes a delayed copy of this batch.
    machine.fencing_token = FencingToken(machine.fencing_token.get() + 1);
    machine.required_fencing_token = machine.fencing_token;
    if (!machine.commands_lost) batches.push_back(std::move(batch));
  }
  return batches;
}

std::vector<CommandBatch> Controller::kill_commands_due(Time now) {
  std::vector<CommandBatch> batches;
  if (!has_authority(now)) return batches;
  attempts_.expire_kills(now);
  for (const auto& [id, machine] : machines_) {
    if (!capacity(machine).has_kills_due || machine.commands_lost || !is_schedulable(machine, now))
      continue;
    CommandBatch batch{id,
                       machine.last_heartbeat.address,
                       machine.fencing_token,
                       machine.last_heartbeat.agent_incarnation,
                       {}};
    for (const Command& command : kills_due(machine, cache_)) {
      if (attempts_.may_send_kill(command.task, command.attempt, now)) {
        batch.commands.push_back(command);
      }
    }
    if (!batch.commands.empty()) batches.push_back(std::move(batch));
  }
  return batches;
}

}  // namespace saddleslip::coordination

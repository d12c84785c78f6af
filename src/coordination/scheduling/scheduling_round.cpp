// A round of one controller: waiting tasks get machines, and one batched record is made of starts and ends.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "coordination/controller.h"
#include "coordination/machines/commands_due.h"

namespace saddleslip::coordination {

using protocol::Cause;
using protocol::Kind;
using protocol::Rank;

namespace {

constexpr Seconds kPeerCapacityFresh{4.0};  // a peer's status is relied on for this long
constexpr Seconds kReservationDuration{60.0};
constexpr std::size_t kMachinesPerReservation = 20;  // one machine of so many, and one more
constexpr int kSlowFetch = 6;  // the pass of machines that can't fetch the image in time

}  // namespace

// Keeps a machine free of other work until a task of the job fits on it. Under lasting overload a
// large task would never find room that small ones did not take first.
void Controller::reserve_capacity(const Job& job, Time now) {
  const auto& spec = job.record.spec;
  const Machine* best = nullptr;
  // Kept free, machines do nothing: when most of what waits has waited long, only a few are.
  if (reservations_.starving_count() > machines_.size() / kMachinesPerReservation) return;
  for (const auto& [id, m] : machines_) {
    if (reservations_.is_reserved_for(id, spec.id)) return;
    if (reservations_.is_reserved(id) || m.cordoned || !is_schedulable(m, now) ||
        !may_run(spec, m.last_heartbeat.type, m.last_heartbeat.zone, m.last_heartbeat.spot)) {
      continue;
    }
    // What it will have once the tasks that end by themselves have ended.
    Resources later = capacity(m).free;
    for (const auto& [task, assignment] : cache_.assignments_on(id)) {
      const Job* other = cache_.job(task.job);
      if (other && other->record.spec.kind != Kind::kService &&
          !reported_ended(m, task, assignment)) {
        later += other->record.spec.request;
      }
    }
    if (!later.fits(spec.request)) continue;
    if (!best || capacity(m).free.cores() > capacity(*best).free.cores()) best = &m;
  }
  if (!best) return;
  spdlog::info("capacity reserved for starving job: machine={} job={}",
               best->last_heartbeat.machine.get(), spec.id.get());
  reservations_.reserve_for_starving_job(best->last_heartbeat.machine, spec.id,
                                         base::after(now, kReservationDuration));
}

Seconds Controller::fetch_time(const Machine& m, const protocol::JobSpec& spec) const {
  if (m.has_image(spec.image)) return Seconds(0);
  const auto* type = cache_.type(m.last_heartbeat.type);
  if (!type || type->fetch_gb_per_s <= 0) return Seconds(0);
  // Images fetched at the same time share the rate.
  const double sharing = 1.0 + static_cast<double>(m.pulling.size() - m.pulling.count(spec.image));
  return Seconds(spec.image_gb / type->fetch_gb_per_s * sharing);
}

void Controller::offers_lost(const MemberId& member, const std::vector<protocol::Offers>& offers) {
  peers_.forget(member);
  for (const protocol::Offers& undelivered : offers) offer_router_.forget_offers(undelivered);
}

std::map<MemberId, protocol::Offers> Controller::route(Time now) {
  if (!has_authority(now)) return {};
  offer_router_.expire(now);
  const std::vector<const Job*> jobs = offer_router_.jobs_to_route(self_, now);
  if (jobs.empty()) return {};
  priorities_.update(now);
  RoutingInput input{now, self_, {}, [&](const JobId& job) { return is_crash_looping(job, now); }};
  for (auto& [member, machines] : partitions(now, kPeerCapacityFresh)) {
    input.partitions.push_back({member, std::move(machines)});
  }
  return offer_router_.route(jobs, input);
}

std::optional<std::size_t> Controller::starving_tasks(const Job& job, Time now) const {
  if (is_crash_looping(job.record.spec.id, now)) return {};
  return priorities_.starving_tasks(job, now);
}

RoundPlan Controller::plan(Time now, WriteBudget write_budget) {
  detect_pause(now);
  RoundPlan plan;
  contact_monitor_.update_authority(has_authority(now), now);
  if (!has_authority(now)) return plan;
  housekeeping(now);
  priorities_.update(now);

  RecordBatch batch(settings_, cache_);
  std::vector<RoundPlan::Completion> completions;
  collect_completions(now, completions);
  std::vector<RoundPlan::Completion> later =
      record_completions(std::move(completions), write_budget, now, batch, plan);
  std::vector<WaitingJob> waiting = waiting_jobs(write_budget, now, batch);
  place(waiting, now, plan);
  record_starts(batch, plan);
  record_deferred_completions(std::move(later), write_budget, now, batch, plan);
  free_capacity(waiting, plan, now);
  plan.more = batch.is_overfull();
  if (!batch.empty()) plan.txn = batch.build(self_, installed_view_, priorities_.time_of_day(now));
  return plan;
}

std::vector<Controller::WaitingJob> Controller::waiting_jobs(WriteBudget write_budget, Time now,
                                                             const RecordBatch& batch) {
  offer_pool_.expire(now);
  std::vector<WaitingJob> waiting;
  std::map<JobId, std::size_t> index;
  for (const PooledOffer& offer : offer_pool_.offers()) {
    const Job* job = cache_.job(offer.job);
    if (!job || job->cancelled() || job->blocked) continue;
    if (write_budget == WriteBudget::kExhausted && !priorities_.is_urgent(*job)) continue;
    if (!failures_.may_retry(offer.job, now)) continue;
    const auto [at, is_new] = index.try_emplace(offer.job, waiting.size());
    if (is_new) waiting.push_back({job, {}, {}, true});
    WaitingJob& w = waiting[at->second];
    for (const auto& [first, count] : offer.ranges) {
      for (TaskNo no = first; no - first < count && no < job->record.spec.tasks; ++no) {
        if (!batch.is_assigned(*job, no) && !batch.is_done(*job, no)) w.tasks.push_back(no);
      }
    }
    std::sort(w.tasks.begin(), w.tasks.end());
    w.tasks.erase(std::unique(w.tasks.begin(), w.tasks.end()), w.tasks.end());
  }
  std::erase_if(waiting, [](const WaitingJob& w) { return w.tasks.empty(); });
  for (WaitingJob& w : waiting) find_zones(w);
  return waiting;
}

// Where the tasks of a job that shares or avoids zones are.
void Controller::find_zones(WaitingJob& w) const {
  const auto& spec = w.job->record.spec;
  if (!spec.one_zone && !spec.spread) return;
  for (const auto& chunk : w.job->chunks) {
    for (const auto& [no, assignment] : chunk.record.assigned) {
      const std::string zone = zone_of(assignment.machine);
      if (zone.empty()) w.zones_known = false;  // somewhere, and nobody said where: wait
      ++w.zones[zone];
    }
  }
}

Controller::OpenMachines Controller::open_machines(Time now) {
  OpenMachines open;
  for (auto& [id, m] : machines_) {
    const auto* type = cache_.type(m.last_heartbeat.type);
    if (!type) continue;
    for (std::size_t i = 0; i < open.scale.v.size(); ++i) {
      open.scale.v[i] = std::max(open.scale.v[i], type->size.v[i]);
    }
    if (m.cordoned || !is_schedulable(m, now)) continue;
    open.bins.push_back({capacity(m).free});
    open.machines.push_back(&m);
  }
  return open;
}

// When more waits than there is room for, what is due first goes first, job by job; else all of a
// rank go by the score alone.
std::vector<int> Controller::order_by_due(const std::vector<WaitingJob>& waiting,
                                          const std::vector<Bin>& bins, Time now) const {
  std::vector<int> order(waiting.size(), 0);
  Resources wanted, room;
  for (const WaitingJob& w : waiting) {
    wanted += w.job->record.spec.request * static_cast<double>(w.tasks.size());
  }
  for (const Bin& b : bins) room += b.free;
  if (room.fits(wanted)) return order;
  std::vector<std::pair<double, std::size_t>> by_due;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    by_due.emplace_back(priorities_.due(*waiting[i].job, now), i);
  }
  std::sort(by_due.begin(), by_due.end());
  for (std::size_t i = 0; i < by_due.size(); ++i) order[by_due[i].second] = static_cast<int>(i);
  return order;
}

void Controller::place(std::vector<WaitingJob>& waiting, Time now, RoundPlan& plan) {
  OpenMachines open = open_machines(now);
  const std::vector<int> order = order_by_due(waiting, open.bins, now);
  const int jobs = static_cast<int>(waiting.size()) + 1;
  std::map<std::string, Resources> planned;  // by team, in this plan
  std::vector<Group> groups;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    WaitingJob& w = waiting[i];
    const auto& spec = w.job->record.spec;
    const auto first = starving_tasks(*w.job, now);
    if (first && w.tasks.size() > *first) w.tasks.resize(*first);
    // One task is enough to see whether a job that failed everywhere still does.
    if (spec.kind != Kind::kGang && is_crash_looping(spec.id, now)) w.tasks.resize(1);
    Group g;
    g.request = spec.request;
    g.count = w.tasks.size();
    g.tier = (first ? -1 : priorities_.tier(*w.job)) * jobs + order[i];
    g.allowed = [&, this](std::size_t b) {
      return may_start(w, open.machines[b]->last_heartbeat, planned[spec.team]);
    };
    g.placed = [&](std::size_t b) {
      const Heartbeat& r = open.machines[b]->last_heartbeat;
      const auto no = std::find_if(w.tasks.begin(), w.tasks.end(), [&](TaskNo n) {
        return !r.tasks.contains(TaskId{spec.id, n});
      });
      plan.starts.push_back({{spec.id, *no}, {r.machine, {}, r.agent_incarnation}});
      w.tasks.erase(no);
      ++w.zones[r.zone];
      planned[spec.team] += spec.request;
    };
    const auto within = priorities_.start_within(spec);
    const bool displaces = preemption_.prefers_preemption(*w.job, now);
    g.pass = [&, this, within, displaces](std::size_t b) {
      return preference(spec, *open.machines[b], within, displaces, now);
    };
    groups.push_back(std::move(g));
  }
  pack(groups, open.bins, open.scale);
}

// May one more task of the job start on this machine, with what was planned for its team before?
bool Controller::may_start(const WaitingJob& w, const Heartbeat& r,
                           const Resources& planned) const {
  const auto& spec = w.job->record.spec;
  if (w.tasks.empty()) return false;
  if (spec.one_zone || spec.spread) {
    if (!w.zones_known) return false;
    if (spec.one_zone && !w.zones.empty() && !w.zones.contains(r.zone)) return false;
    const auto there = w.zones.find(r.zone);
    if (spec.spread && there != w.zones.end() && there->second >= (spec.tasks + 1) / 2) {
      return false;
    }
  }
  if (cache_.has_quota_limit(spec.team)) {
    const base::Team& team = settings_.teams.at(spec.team);
    Resources use = cache_.team_use(spec.team);
    use += planned;
    use += spec.request;
    if ((team.max_cores > 0 && use.cores() > team.max_cores + 1e-6) ||
        (team.max_gpus > 0 && use.gpus() > team.max_gpus + 1e-6)) {
      return false;
    }
  }
  // An attempt that the machine still reports would be refused there as busy.
  return std::any_of(w.tasks.begin(), w.tasks.end(), [&](TaskNo no) {
    return !r.tasks.contains(TaskId{spec.id, no});
  });
}

// Which machines with room come first: lower values do, negative ones never. An image that has to be
// fetched can take longer than all else. And where some zones have no controller, a cut between zones
// takes all that runs there: services go where controllers are, and other work leaves them the room.
int Controller::preference(const protocol::JobSpec& spec, const Machine& m,
                           std::optional<Seconds> start_within, bool displaces, Time now) const {
  if (!may_run(spec, m.last_heartbeat.type, m.last_heartbeat.zone, m.last_heartbeat.spot))
    return -1;
  if (reservations_.is_reserved_for_other(m.last_heartbeat.machine, spec.id)) return -1;
  if (failures_.avoids(spec.id, m.last_heartbeat.machine, now)) return -1;
  const bool quick = !start_within || fetch_time(m, spec) < *start_within * 0.75;
  const int image = m.has_image(spec.image)          ? 0
                    : m.pulling.contains(spec.image) ? 2
                    : quick                          ? 4
                                                     : kSlowFetch;
  if (displaces && image == kSlowFetch) return -1;
  const bool reachable = settings_.controller_zones.contains(m.last_heartbeat.zone);
  return image + (reachable == (spec.kind == Kind::kService) ? 0 : 1);
}

void Controller::record_starts(RecordBatch& batch, RoundPlan& plan) {
  std::vector<RoundPlan::Start> kept;
  for (RoundPlan::Start& s : plan.starts) {
    const auto attempt = batch.add_start(s.task, s.assignment);
    if (!attempt) continue;
    s.assignment.attempt = *attempt;
    kept.push_back(std::move(s));
  }
  plan.starts = std::move(kept);
}

// For what found no room: machines are kept free, or lower work is stopped.
void Controller::free_capacity(const std::vector<WaitingJob>& waiting, const RoundPlan& plan,
                               Time now) {
  for (const RoundPlan::Start& s : plan.starts) {
    reservations_.fulfil(s.assignment.machine, s.task.job);
  }
  reservations_.expire(now);
  std::vector<UnplacedJob> unplaced;
  for (const WaitingJob& w : waiting) {
    // Nothing gives way to a job that fails everywhere.
    if (!w.tasks.empty() && !is_crash_looping(w.job->record.spec.id, now))
      unplaced.push_back({w.job, w.tasks.size()});
  }
  for (const auto& [job, tasks] : unplaced) {
    if (starving_tasks(*job, now)) reserve_capacity(*job, now);
  }
  preemption_.preempt(unplaced, now);
}

std::vector<CommandBatch> Controller::committed(const RoundPlan& plan, Version version, Time now) {
  std::vector<CommandBatch> orders;
  for (const RoundPlan::Completion& end : plan.completions) {
    if (end.done) learn_run_time(end);  // a job that is over leaves with the record of its last end
  }
  cache_.apply(plan.txn, base::Revision(version.get()), now);
  for (const RoundPlan::Completion& end : plan.completions) {
    attempts_.forget(end.task);
    spdlog::debug("{}/{} on {} is over: {}", end.task.job.get(), end.task.no, end.machine.get(),
                  end.why);
    if (end.done) {
      failures_.record_success(end.machine);
      failures_.mark_sound(end.task.job);
    } else if (end.why == protocol::to_string(Cause::kError)) {
      failures_.record_failure(end.task.job, end.machine, run_before_end(end), now);
    }
  }
  std::map<MachineId, CommandBatch> by_machine;
  for (const RoundPlan::Start& s : plan.starts) {
    const auto at = machines_.find(s.assignment.machine);
    if (at == machines_.end() ||
        at->second.last_heartbeat.agent_incarnation != s.assignment.agent_incarnation)
      continue;
    Machine& m = at->second;
    CommandBatch& o = by_machine[s.assignment.machine];
    o.machine = s.assignment.machine;
    o.address = m.last_heartbeat.address;
    o.fencing_token = m.fencing_token;
    o.agent_incarnation = m.last_heartbeat.agent_incarnation;
    o.commands.push_back({Command::Op::kRun, s.task, s.assignment.attempt, {}});
    m.idle_since = now;
    const Job* job = cache_.job(s.task.job);
    spdlog::debug("{}/{} goes to {} as attempt {}{}", s.task.job.get(), s.task.no,
                  s.assignment.machine.get(), s.assignment.attempt.get(),
                  job && m.has_image(job->record.spec.image) ? "" : ", image to be fetched");
  }
  for (auto& [id, o] : by_machine) {
    Machine& m = machines_.at(id);
    // A token of its own for each order that starts something: once the worker has shown the next
    // one, no copy of this order, however late, is carried out.
    m.fencing_token = FencingToken(m.fencing_token.get() + 1);
    m.fence_floor = m.fencing_token;
    if (!m.commands_lost) orders.push_back(std::move(o));
  }
  return orders;
}

std::vector<CommandBatch> Controller::stops(Time now) {
  std::vector<CommandBatch> orders;
  if (!has_authority(now)) return orders;
  attempts_.expire_kills(now);
  for (const auto& [id, m] : machines_) {
    if (!capacity(m).stops || m.commands_lost || !is_schedulable(m, now)) continue;
    CommandBatch o{
        id, m.last_heartbeat.address, m.fencing_token, m.last_heartbeat.agent_incarnation, {}};
    for (const Command& c : kills_due(m, cache_)) {
      if (attempts_.may_send_kill(c.task, c.attempt, now)) {
        o.commands.push_back(c);
      }
    }
    if (!o.commands.empty()) orders.push_back(std::move(o));
  }
  return orders;
}

}  // namespace saddleslip::coordination

// A round of one controller: ends become records, waiting tasks get machines, and one batched
// record is made of both.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "coordination/controller.h"
#include "coordination/intake.h"

namespace saddleslip::coordination {

using protocol::Cause;
using protocol::Kind;
using protocol::Rank;
using protocol::TaskState;

namespace {

constexpr Seconds kSuspicionFresh{5.0};  // a sibling's word that a job fails everywhere
constexpr Seconds kGatherFor{60.0};
constexpr std::size_t kGatherOneOf = 20;  // one machine of so many, and one more
constexpr Seconds kStopRepeat{2.0};
constexpr Seconds kUnheardFor{0.3};
constexpr Seconds kLostAnswer{6.0};
constexpr double kNearLimit = 0.8;  // of a team's limit: ends are recorded at once from here on
constexpr int kLastTier = 99;       // of what is known no more
constexpr int kSlowFetch = 6;       // the pass of machines that can't fetch the image in time
constexpr Seconds kDisplaceFor{1.5};
constexpr Seconds kRoomToMove{1.5};
constexpr Seconds kSettled{35.0};  // a start that is undone sooner was none

bool is_done(const std::optional<protocol::FinalState>& state) {
  return state && state->status == protocol::JobStatus::kDone;
}

}  // namespace

// Keeps a machine free of other work until a task of the job fits on it. Under lasting overload a
// large task would never find room that small ones did not take first.
void Controller::gather_room(const Job& job, Time now) {
  const auto& spec = job.record.spec;
  const Machine* best = nullptr;
  // Kept free, machines do nothing: when most of what waits has waited long, only a few are.
  const auto kept = std::count_if(gathered_.begin(), gathered_.end(),
                                  [](const auto& g) { return g.second.starved; });
  if (static_cast<std::size_t>(kept) > machines_.size() / kGatherOneOf) return;
  for (const auto& [id, m] : machines_) {
    const auto g = gathered_.find(id);
    if (g != gathered_.end() && g->second.job == spec.id) return;
    if (g != gathered_.end() || m.closed || !fresh(m, now) ||
        !may_run(spec, m.last.type, m.last.zone, m.last.spot)) {
      continue;
    }
    // What it will have once the tasks that end by themselves have ended.
    Resources later = look(m).free;
    for (const auto& [task, held] : ledger_.held_by(id)) {
      const Job* other = ledger_.job(task.job);
      if (other && other->record.spec.kind != Kind::kService && !reported_over(m, task, held)) {
        later += other->record.spec.need;
      }
    }
    if (!later.fits(spec.need)) continue;
    if (!best || look(m).free.cores() > look(*best).free.cores()) best = &m;
  }
  if (!best) return;
  spdlog::info("machine {} is kept free until {} fits", best->last.machine.get(), spec.id.get());
  gathered_[best->last.machine] = {spec.id, base::after(now, kGatherFor), true};
}

Seconds Controller::fetch_time(const Machine& m, const protocol::JobSpec& spec) const {
  if (m.has_image(spec.image)) return Seconds(0);
  const auto* type = ledger_.type(m.last.type);
  if (!type || type->fetch_gb_per_s <= 0) return Seconds(0);
  // Images fetched at the same time share the rate.
  const double sharing = 1.0 + static_cast<double>(m.pulling.size() - m.pulling.count(spec.image));
  return Seconds(spec.image_gb / type->fetch_gb_per_s * sharing);
}

// The room of tasks that were told to stop and have not ended yet.
Resources Controller::being_stopped(const Machine& m) const {
  Resources room;
  const auto& held = ledger_.held_by(m.last.machine);
  for (const TaskId& t : m.evict) {
    const auto h = held.find(t);
    const Job* job = ledger_.job(t.job);
    if (job && h != held.end() && !reported_over(m, t, h->second)) room += job->record.spec.need;
  }
  return room;
}

// Should the job rather take the place of lower work where its image is than wait for the image
// elsewhere? For a moment only: what was stopped for it must have ended by then.
bool Controller::displaces_for_image(const Job& job, Time now) const {
  const auto& spec = job.record.spec;
  if (spec.rank > Rank::kUrgent || !priorities_.start_within(spec)) return false;
  const auto since = preempting_.find(spec.id);
  if (since != preempting_.end() && base::between(since->second, now) > kDisplaceFor) return false;
  for (const auto& [id, m] : machines_) {
    if (m.closed || !fresh(m, now) || !m.has_image(spec.image) ||
        !may_run(spec, m.last.type, m.last.zone, m.last.spot)) {
      continue;
    }
    Resources room = look(m).free;
    room += look(m).lower;
    room += being_stopped(m);
    if (room.fits(spec.need)) return true;
  }
  return false;
}

void Controller::add_offers(const protocol::Offers& offers, Time now) {
  const Time until = base::after(now, settings_.tuning.round_period * 2.5);
  for (const protocol::Offer& o : offers.offers) pool_.push_back({o.job, o.ranges, until});
  // A home that repeats itself, or many of them, must not make this grow without bound.
  while (pool_.size() > 4096) pool_.pop_front();
}

bool Controller::runs_for_long(const Job& job, Time now) const {
  const JobId& id = job.record.spec.id;
  const Seconds needed = failures_.long_run(id);
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const Machine& m = entry.second;
    const auto first = m.ran.lower_bound(TaskId{id, 0});
    return first != m.ran.end() && first->first.job == id &&
           base::between(first->second, now) > needed && !failures_.avoids(id, entry.first, now);
  });
}

void Controller::judge_failures(Time now) {
  for (const JobId& id : failures_.unproven()) {
    const Job* job = ledger_.job(id);
    const bool completed = job ? job->done > 0 : is_done(ledger_.final_state(id));
    if (completed || (job && runs_for_long(*job, now))) {
      failures_.mark_sound(id);
    } else if (!job || job->cancelled()) {
      failures_.forget_job(id);
    }
  }
  for (auto& [id, m] : machines_) {
    if (m.closed || !failures_.is_faulty(id)) continue;
    m.closed = true;
    spdlog::warn("machine {} fails tasks of jobs that run elsewhere: closed", id.get());
  }
}

std::optional<std::size_t> Controller::starved(const Job& job, Time now) const {
  if (is_suspect(job.record.spec.id, now)) return {};
  return priorities_.overdue_tasks(job, now);
}

bool Controller::is_suspect(const JobId& id, Time now) const {
  if (failures_.is_suspect(id)) return true;
  const Job* job = ledger_.job(id);
  if (job && job->done > 0) return false;
  return std::any_of(siblings_.begin(), siblings_.end(), [&](const auto& s) {
    return base::between(s.second.heard, now) < kSuspicionFresh && s.second.suspects.contains(id);
  });
}

const std::vector<MachineId>& Controller::unheard_owned(Time now) {
  if (base::between(unheard_owned_at_, now) < kUnheardFor && unheard_owned_at_ > followed_at_) {
    return unheard_owned_;
  }
  unheard_owned_at_ = now;
  unheard_owned_.clear();
  for (const auto& [id, tasks] : ledger_.held()) {
    if (!machines_.contains(id) && owns(id)) unheard_owned_.push_back(id);
  }
  return unheard_owned_;
}

void Controller::collect_ends(Time now, std::vector<RoundPlan::End>& ends) {
  const Seconds lease = settings_.worker_lease * (1.0 + base::kDrift) + Seconds(0.2);
  const auto collect = [&](const MachineId& machine, Machine* m) {
    const auto& tasks = ledger_.held_by(machine);
    if (tasks.empty()) return;
    if (gone_.contains(machine)) {
      for (const auto& [task, held] : tasks)
        ends.push_back({task, machine, "machine released", false});
      return;
    }
    const Time since = owned_since_.try_emplace(machine, now).first->second;
    Time last_answer = base::after(since, settings_.tuning.member_ttl);
    if (m) last_answer = std::max(last_answer, m->answered);
    const bool expired = now > base::after(last_answer, lease);
    std::set<TaskId> told;
    if (m) {
      for (const auto& over : look(*m).over) {
        ends.push_back({over.task, machine, over.why, over.done});
        if (expired) told.insert(over.task);
      }
    }
    if (!expired) return;
    for (const auto& [task, held] : tasks) {
      if (!told.contains(task)) {
        ends.push_back({task, machine, "worker's lease is certainly gone", false});
      }
    }
    // The session is over even if the worker's own word for it comes later: old reports of it
    // must not bring its tasks back.
    if (m) {
      auto& dead = dead_session_[machine];
      dead = std::max(dead, m->last.session);
    }
  };
  // What reports here is owned: a new view sorts out the rest.
  for (auto& [machine, m] : machines_) collect(machine, &m);
  for (const MachineId& machine : unheard_owned(now)) {
    if (!machines_.contains(machine) && owns(machine)) collect(machine, nullptr);
  }
}

const protocol::ReportedTask* Controller::reported(const Machine& m, const TaskId& task,
                                                   const protocol::Held& held) {
  if (held.session != m.last.session) return nullptr;
  const auto at = m.last.tasks.find(task);
  if (at == m.last.tasks.end()) return nullptr;
  const auto t = std::find_if(at->second.begin(), at->second.end(),
                              [&](const auto& r) { return r.attempt == held.attempt; });
  return t == at->second.end() ? nullptr : &*t;
}

bool Controller::reported_over(const Machine& m, const TaskId& task, const protocol::Held& held) {
  const auto* t = reported(m, task, held);
  return t && t->state == TaskState::kEnded;
}

// May this end be recorded later, together with others of its record? Nothing hangs on it before
// this part's share of the record is complete: the room is free already, and a task whose machine is lost before then ends
// at once where it is started again, since its result is kept.
bool Controller::can_wait(const RoundPlan::End& end, const std::set<TaskId>& ended, Time now) {
  const Job* job = ledger_.job(end.task.job);
  if (!end.done || !job || job->cancelled()) return false;
  const Time seen = end_seen_.try_emplace(end.task, now).first->second;
  if (base::between(seen, now) > settings_.tuning.record_within) return false;
  // A team near its limit waits for the room that the record still counts.
  if (ledger_.limited(job->record.spec.team)) {
    const base::Team& team = settings_.teams.at(job->record.spec.team);
    const Resources use = ledger_.team_use(job->record.spec.team);
    if ((team.cores_max > 0 && use.cores() > team.cores_max * kNearLimit) ||
        (team.gpus_max > 0 && use.gpus() > team.gpus_max * kNearLimit)) {
      return false;
    }
  }
  const auto& held = job->chunks[job->record.chunk_of(end.task.no)].record.held;
  return std::any_of(held.begin(), held.end(), [&](const auto& h) {
    return owns(h.second.machine) && !ended.contains(TaskId{end.task.job, h.first});
  });
}

RoundPlan Controller::plan(Time now, Pace pace) {
  note_running(now);
  RoundPlan plan;
  if (!entitled(now)) {
    entitled_since_.reset();
    unheard_since_.reset();
    return plan;
  }
  if (!entitled_since_) entitled_since_ = now;
  housekeeping(now);
  priorities_.update(now);

  RecordBatch batch(settings_, ledger_);
  std::vector<RoundPlan::End> ends;
  collect_ends(now, ends);
  std::vector<RoundPlan::End> later = record_ends(std::move(ends), pace, now, batch, plan);
  std::vector<WaitingJob> waiting = waiting_jobs(pace, now, batch);
  place(waiting, now, plan);
  record_starts(batch, plan);
  record_late_ends(std::move(later), pace, now, batch, plan);
  make_room(waiting, plan, now);
  plan.more = batch.turned_away();
  if (!batch.empty()) plan.txn = batch.build(self_, followed_view_, priorities_.time_of_day(now));
  return plan;
}

void Controller::record_end(RoundPlan::End end, RecordBatch& batch, RoundPlan& plan) {
  if (batch.add_end(end.task, end.done)) plan.ends.push_back(std::move(end));
}

// Records that were written when the store took larger values may be rewritten only once enough of their
// tasks have ended, and then with all these ends at once. Drops the ends that have to wait for more;
// returns those that go together.
std::set<TaskId> Controller::settle_large_records(std::vector<RoundPlan::End>& ends,
                                                  const RecordBatch& batch) const {
  struct LargeRecord {
    const Job* job = nullptr;
    std::vector<RecordBatch::TaskEnd> ends;
    bool fits = false;
  };
  std::map<std::pair<JobId, std::uint32_t>, LargeRecord> large;
  for (const RoundPlan::End& end : ends) {
    const Job* job = ledger_.job(end.task.job);
    if (!job) continue;
    const std::uint32_t chunk = job->record.chunk_of(end.task.no);
    const auto& record = job->chunks[chunk].record;
    if (protocol::encoded_size_bound(record) <= settings_.value_bytes) continue;
    LargeRecord& l = large[{end.task.job, chunk}];
    l.job = job;
    l.ends.push_back({end.task.no, end.done});
  }
  std::set<TaskId> together;
  if (large.empty()) return together;
  for (auto& [id, l] : large) {
    l.fits = batch.fits_with_ends(*l.job, id.second, l.ends);
    for (const auto& end : l.ends) {
      if (l.fits) together.insert({id.first, end.no});
    }
  }
  std::erase_if(ends, [&](const RoundPlan::End& end) {
    const Job* job = ledger_.job(end.task.job);
    if (!job) return false;
    const auto at = large.find({end.task.job, job->record.chunk_of(end.task.no)});
    return at != large.end() && !at->second.fits;
  });
  return together;
}

std::vector<RoundPlan::End> Controller::record_ends(std::vector<RoundPlan::End> ends, Pace pace,
                                                    Time now, RecordBatch& batch, RoundPlan& plan) {
  std::set<TaskId> ended;
  for (const RoundPlan::End& end : ends) ended.insert(end.task);
  std::erase_if(end_seen_, [&](const auto& e) { return !ended.contains(e.first); });
  const std::set<TaskId> together = settle_large_records(ends, batch);
  // After a crash there may be more ends than one record holds: the urgent work's come first.
  std::map<int, std::vector<RoundPlan::End>> due;  // by tier
  std::vector<RoundPlan::End> later;
  for (RoundPlan::End& end : ends) {
    const Job* job = ledger_.job(end.task.job);
    const bool urgent = job && priorities_.is_urgent(*job);
    const bool waits = can_wait(end, ended, now) && !together.contains(end.task);
    if (waits || (pace == Pace::kUrgent && !urgent)) {
      later.push_back(std::move(end));
    } else {
      due[job ? priorities_.tier(*job) : kLastTier].push_back(std::move(end));
    }
  }
  for (auto& [tier, of_tier] : due) {
    for (RoundPlan::End& end : of_tier) record_end(std::move(end), batch, plan);
  }
  return later;
}

// Ends that can wait go along with what is written anyway, or while writes are plentiful: the ones
// seen first go first.
void Controller::record_late_ends(std::vector<RoundPlan::End> ends, Pace pace, Time now,
                                  RecordBatch& batch, RoundPlan& plan) {
  const auto seen = [&](const RoundPlan::End& end) {
    const auto at = end_seen_.find(end.task);
    return at == end_seen_.end() ? now : at->second;
  };
  std::stable_sort(ends.begin(), ends.end(),
                   [&](const auto& a, const auto& b) { return seen(a) < seen(b); });
  for (RoundPlan::End& end : ends) {
    const Job* job = ledger_.job(end.task.job);
    if (job && (pace == Pace::kSpare || batch.writes_record_of(*job, end.task.no)))
      record_end(std::move(end), batch, plan);
  }
}

std::vector<Controller::WaitingJob> Controller::waiting_jobs(Pace pace, Time now,
                                                             const RecordBatch& batch) {
  std::erase_if(pool_, [&](const PoolEntry& p) { return p.until < now; });
  std::vector<WaitingJob> waiting;
  std::map<JobId, std::size_t> index;
  for (const PoolEntry& p : pool_) {
    const Job* job = ledger_.job(p.job);
    if (!job || job->cancelled() || job->waits) continue;
    if (pace == Pace::kUrgent && !priorities_.is_urgent(*job)) continue;
    if (!failures_.may_retry(p.job, now)) continue;
    const auto [at, is_new] = index.try_emplace(p.job, waiting.size());
    if (is_new) waiting.push_back({job, {}, {}, true});
    WaitingJob& w = waiting[at->second];
    for (const auto& [first, count] : p.ranges) {
      for (TaskNo no = first; no - first < count && no < job->record.spec.tasks; ++no) {
        if (!batch.is_held(*job, no) && !batch.is_done(*job, no)) w.tasks.push_back(no);
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
    for (const auto& [no, held] : chunk.record.held) {
      const std::string zone = zone_of(held.machine);
      if (zone.empty()) w.zones_known = false;  // somewhere, and nobody said where: wait
      ++w.zones[zone];
    }
  }
}

Controller::OpenMachines Controller::open_machines(Time now) {
  OpenMachines open;
  for (auto& [id, m] : machines_) {
    const auto* type = ledger_.type(m.last.type);
    if (!type) continue;
    for (std::size_t i = 0; i < open.scale.v.size(); ++i) {
      open.scale.v[i] = std::max(open.scale.v[i], type->size.v[i]);
    }
    if (m.closed || !fresh(m, now)) continue;
    open.bins.push_back({look(m).free});
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
    wanted += w.job->record.spec.need * static_cast<double>(w.tasks.size());
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
    const auto first = starved(*w.job, now);
    if (first && w.tasks.size() > *first) w.tasks.resize(*first);
    // One task is enough to see whether a job that failed everywhere still does.
    if (spec.kind != Kind::kGang && is_suspect(spec.id, now)) w.tasks.resize(1);
    Group g;
    g.need = spec.need;
    g.count = w.tasks.size();
    g.tier = (first ? -1 : priorities_.tier(*w.job)) * jobs + order[i];
    g.allowed = [&, this](std::size_t b) {
      return may_start(w, open.machines[b]->last, planned[spec.team]);
    };
    g.placed = [&](std::size_t b) {
      const Report& r = open.machines[b]->last;
      const auto no = std::find_if(w.tasks.begin(), w.tasks.end(), [&](TaskNo n) {
        return !r.tasks.contains(TaskId{spec.id, n});
      });
      plan.starts.push_back({{spec.id, *no}, {r.machine, {}, r.session}});
      w.tasks.erase(no);
      ++w.zones[r.zone];
      planned[spec.team] += spec.need;
    };
    const auto within = priorities_.start_within(spec);
    const bool displaces = displaces_for_image(*w.job, now);
    g.pass = [&, this, within, displaces](std::size_t b) {
      return preference(spec, *open.machines[b], within, displaces, now);
    };
    groups.push_back(std::move(g));
  }
  pack(groups, open.bins, open.scale);
}

// May one more task of the job start on this machine, with what was planned for its team before?
bool Controller::may_start(const WaitingJob& w, const Report& r, const Resources& planned) const {
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
  if (ledger_.limited(spec.team)) {
    const base::Team& team = settings_.teams.at(spec.team);
    Resources use = ledger_.team_use(spec.team);
    use += planned;
    use += spec.need;
    if ((team.cores_max > 0 && use.cores() > team.cores_max + 1e-6) ||
        (team.gpus_max > 0 && use.gpus() > team.gpus_max + 1e-6)) {
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
  if (!may_run(spec, m.last.type, m.last.zone, m.last.spot)) return -1;
  const auto kept = gathered_.find(m.last.machine);
  if (kept != gathered_.end() && kept->second.job != spec.id) return -1;
  if (failures_.avoids(spec.id, m.last.machine, now)) return -1;
  const bool quick = !start_within || fetch_time(m, spec) < *start_within * 0.75;
  const int image = m.has_image(spec.image)          ? 0
                    : m.pulling.contains(spec.image) ? 2
                    : quick                          ? 4
                                                     : kSlowFetch;
  if (displaces && image == kSlowFetch) return -1;
  const bool reachable = settings_.controller_zones.contains(m.last.zone);
  return image + (reachable == (spec.kind == Kind::kService) ? 0 : 1);
}

void Controller::record_starts(RecordBatch& batch, RoundPlan& plan) {
  std::vector<RoundPlan::Start> kept;
  for (RoundPlan::Start& s : plan.starts) {
    const auto attempt = batch.add_start(s.task, s.held);
    if (!attempt) continue;
    s.held.attempt = *attempt;
    kept.push_back(std::move(s));
  }
  plan.starts = std::move(kept);
}

// For what found no room: machines are kept free, or lower work is stopped.
void Controller::make_room(const std::vector<WaitingJob>& waiting, const RoundPlan& plan,
                           Time now) {
  for (const RoundPlan::Start& s : plan.starts) {
    const auto g = gathered_.find(s.held.machine);
    if (g != gathered_.end() && g->second.job == s.task.job) gathered_.erase(g);
  }
  std::erase_if(gathered_, [&](const auto& g) {
    const Job* job = ledger_.job(g.second.job);
    return g.second.until < now || !job || job->pending() == 0;
  });
  std::vector<std::pair<const Job*, std::size_t>> left;
  for (const WaitingJob& w : waiting) {
    // Nothing gives way to a job that fails everywhere.
    if (!w.tasks.empty() && !is_suspect(w.job->record.spec.id, now))
      left.emplace_back(w.job, w.tasks.size());
  }
  for (const auto& [job, count] : left) {
    if (starved(*job, now)) gather_room(*job, now);
  }
  preempt(left, now);
}

Seconds Controller::run_before_end(const RoundPlan::End& end) const {
  const auto at = machines_.find(end.machine);
  if (at == machines_.end()) return Seconds(0);
  const auto ran = at->second.ran_before.find(end.task);
  return ran == at->second.ran_before.end() ? Seconds(0) : ran->second;
}

void Controller::learn_run_time(const RoundPlan::End& end) {
  const auto at = machines_.find(end.machine);
  const Job* job = ledger_.job(end.task.job);
  if (at == machines_.end() || !job) return;
  priorities_.learn_run_time(job->record.spec, run_before_end(end));
  at->second.ran_before.erase(end.task);
}

std::vector<Order> Controller::committed(const RoundPlan& plan, Version version, Time now) {
  std::vector<Order> orders;
  for (const RoundPlan::End& end : plan.ends) {
    if (end.done) learn_run_time(end);  // a job that is over leaves with the record of its last end
  }
  ledger_.apply(plan.txn, base::Revision(version.get()), now);
  for (const RoundPlan::End& end : plan.ends) {
    absent_.erase(end.task);
    end_seen_.erase(end.task);
    spdlog::debug("{}/{} on {} is over: {}", end.task.job.get(), end.task.no, end.machine.get(),
                  end.why);
    if (end.done) {
      failures_.record_success(end.machine);
      failures_.mark_sound(end.task.job);
    } else if (end.why == protocol::to_string(Cause::kError)) {
      failures_.record_failure(end.task.job, end.machine, run_before_end(end), now);
    }
  }
  std::map<MachineId, Order> by_machine;
  for (const RoundPlan::Start& s : plan.starts) {
    const auto at = machines_.find(s.held.machine);
    if (at == machines_.end() || at->second.last.session != s.held.session) continue;
    Machine& m = at->second;
    Order& o = by_machine[s.held.machine];
    o.machine = s.held.machine;
    o.address = m.last.address;
    o.token = m.token;
    o.session = m.last.session;
    o.commands.push_back({Command::Op::kRun, s.task, s.held.attempt, {}});
    m.idle_since = now;
    const Job* job = ledger_.job(s.task.job);
    spdlog::debug("{}/{} goes to {} as attempt {}{}", s.task.job.get(), s.task.no,
                  s.held.machine.get(), s.held.attempt.get(),
                  job && m.has_image(job->record.spec.image) ? "" : ", image to be fetched");
  }
  for (auto& [id, o] : by_machine) {
    Machine& m = machines_.at(id);
    // A token of its own for each order that starts something: once the worker has shown the next
    // one, no copy of this order, however late, is carried out.
    m.token = Token(m.token.get() + 1);
    m.floor = m.token;
    if (!m.order_lost) orders.push_back(std::move(o));
  }
  return orders;
}

std::vector<Order> Controller::stops(Time now) {
  std::vector<Order> orders;
  if (!entitled(now)) return orders;
  std::erase_if(stop_sent_,
                [&](const auto& s) { return base::between(s.second, now) > kStopRepeat; });
  for (const auto& [id, m] : machines_) {
    if (!look(m).stops || m.order_lost || !fresh(m, now)) continue;
    Order o{id, m.last.address, m.token, m.last.session, {}};
    for (const Command& c : stops_for(m)) {
      if (stop_sent_.try_emplace({c.task, c.attempt.get()}, now).second) {
        o.commands.push_back(c);
      }
    }
    if (!o.commands.empty()) orders.push_back(std::move(o));
  }
  return orders;
}

// Stops one service on a machine that is being emptied, if it finds room with its image elsewhere now.
void Controller::move_service_away(Machine& m, const Parts& known, Time now) {
  const MachineId& id = m.last.machine;
  // One service at a time, and none that a user would still count as just started.
  const bool moving = std::any_of(m.evict.begin(), m.evict.end(),
                                  [&](const TaskId& t) { return ledger_.held_by(id).contains(t); });
  if (moving) return;
  for (const auto& [task, since] : m.ran) {
    const Job* job = ledger_.job(task.job);
    if (!job || job->record.spec.kind != Kind::kService || m.evict.contains(task) ||
        base::between(since, now) < kSettled) {
      continue;
    }
    // The leader's view of room is a second old: look again, or the service would wait for an
    // image, or for room.
    const auto& spec = job->record.spec;
    const auto takes = [&](const MachineRoom* r) {
      return r->open && r->id != id && r->tasks > 0 && r->free.fits(spec.need) &&
             may_run(spec, r->type, r->zone, r->spot) && r->has_image(spec.image);
    };
    const bool fits = std::any_of(known.begin(), known.end(), [&](const auto& part) {
      return std::any_of(part.second.begin(), part.second.end(), takes);
    });
    if (!fits) continue;
    spdlog::info("{}/{} moves away from {}", task.job.get(), task.no, id.get());
    m.evict.insert(task);
    return;
  }
}

void Controller::housekeeping(Time now) {
  const Seconds set = settings_.tuning.mute_release;
  const auto patience = [&](double reports, Seconds more) {
    if (set.count() > 0) return set;
    return std::max(settings_.report_every * reports + more, settings_.worker_lease * 0.35);
  };
  // One whose answer was lost waits for it, tries the next node and is sent back here.
  const Seconds quiet = std::max(patience(1.75, Seconds(1.0)), set.count() > 0 ? set : kLostAnswer);
  // One that hears nothing comes by less often, since it goes from node to node.
  const Seconds unanswered = patience(2.5, Seconds(2.0));
  std::set<MachineId> mute;
  std::size_t owned = machines_.size(), late = 0;
  std::optional<Parts> known;
  for (auto& [id, m] : machines_) {
    m.give_back = m.closed && ledger_.held_by(id).empty() && !look(m).active;
    if (m.draining && fresh(m, now)) {
      if (!known) known = parts(now, kRoomToMove);
      move_service_away(m, *known, now);
    }
    const bool overdue = m.taken_at && now > *m.taken_at;
    // While this node might not answer, workers went from node to node: that is no silence.
    const Time heard = std::max(m.heard, listening_since());
    const bool silent =
        base::between(heard, now) > (overdue ? settings_.report_every * 2.0 : quiet);
    // Reports that arrive while no answer does, or late copies of a dead machine's.
    const bool deaf =
        m.deaf() && base::between(std::max(*m.deaf_since, listening_since()), now) > unanswered;
    if (silent || deaf) mute.insert(id);
    if (silent || deaf ||
        base::between(heard, now) > settings_.report_every * bookkeeping::kOverdue)
      ++late;
  }
  for (const MachineId& id : unheard_owned(now)) {
    if (machines_.contains(id) || gone_.contains(id) || ledger_.held_by(id).empty()) continue;
    ++owned;
    const Time since = owned_since_.try_emplace(id, now).first->second;
    // Workers whose node is gone need a while to find their new one.
    const Seconds missed = base::between(std::max(since, listening_since()), now);
    const Seconds on_its_way = settings_.report_every + Seconds(6.0);
    if (missed > std::max(quiet, on_its_way)) mute.insert(id);
    if (missed > on_its_way) ++late;
  }
  // One silent machine is most likely dead, and its release is the quickest proof. When many fall
  // silent at once the network is: they may all be well, and come back.
  // And when the network heals, they don't all come back in the same instant.
  // Counted with those that are overdue: machines do not fall silent in the same instant, and the
  // first fifth of a zone that is cut off must not go back to the cloud before the rest is missed.
  if (late > std::max<std::size_t>(1, owned / 5)) many_mute_at_ = now;
  const bool few =
      !many_mute_at_ || base::between(*many_mute_at_, now) >
                            settings_.worker_lease * 0.5 + settings_.report_every * 4.0;
  std::set<MachineId> next;
  for (const MachineId& id : mute) {
    const auto at = machines_.find(id);
    const Time since = at == machines_.end()   ? owned_since_[id]
                       : at->second.deaf_since ? *at->second.deaf_since
                                               : at->second.heard;
    if (few || mute_.contains(id) || base::between(since, now) > settings_.worker_lease * 6.0) {
      if (!mute_.contains(id)) spdlog::info("machine {} is silent: to be released", id.get());
      next.insert(id);
    }
  }
  mute_ = std::move(next);
  judge_failures(now);
  watch_contact(now);
  std::erase_if(absent_, [&](const auto& a) { return !ledger_.job(a.first.job); });
}

std::optional<Transaction> Controller::finish_one(Time now) {
  if (!alive_ || !ledger_.view()) return {};
  for (const auto& [id, job] : ledger_.jobs()) {
    if (!may_finish(job)) continue;
    const Life* home = home_of(*ledger_.view(), id);
    if (!home || *home != self_ || !ledger_.is_settled(job)) continue;
    return finish(job, settings_.txn_ops, priorities_.time_of_day(now));
  }
  return {};
}

std::optional<Transaction> Controller::divide_one(Time now) {
  if (!entitled(now) || ledger_.format() < protocol::kFormatWithPieces) return {};
  for (const auto& [id, job] : ledger_.jobs()) {
    const Life* home = home_of(*ledger_.view(), id);
    if (!home || *home != self_ || job.cancelled_on_record()) continue;
    if (auto txn = divide_chunks(job, followed_view_, settings_)) return txn;
  }
  return {};
}

std::optional<Transaction> Controller::sweep_orphans() {
  if (!alive_ || !ledger_.view() || ledger_.orphans().empty()) return {};
  Transaction txn;
  for (const auto& [key, version] : ledger_.orphans()) {
    const Life* home = home_of(*ledger_.view(), JobId(key));
    if (!home || *home != self_) continue;
    if (txn.writes.size() >= settings_.txn_ops) break;
    txn.guards[key] = version;
    // Only what belongs to no job: one that this copy has not heard of yet is not over.
    const auto chunk = protocol::parse_chunk_key(key);
    const auto job = chunk ? chunk->job : protocol::job_of_need_key(key);
    if (job) txn.guards[protocol::job_key(*job)] = Version(0);
    txn.writes.push_back({key, {}, {}});
  }
  if (txn.writes.empty()) return {};
  return txn;
}

}  // namespace saddleslip::coordination

// The leader's part: what waits becomes demand for machines, and what the cloud says is taken in.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "coordination/controller.h"

namespace saddleslip::coordination {

namespace {

constexpr Seconds kStatusFresh{5.0};  // a sibling's room is relied on for this long
constexpr Seconds kRefusedFor{8.0};   // a kind that was refused is left alone, doubling to 64 s
constexpr Seconds kCalm{10.0};        // without a wait for room, before services are moved together
constexpr Seconds kDrainGap{3.0};     // between two machines to be emptied
constexpr Seconds kRoomRemembered{60.0};  // of a part that is out of reach, for the fleet
constexpr Seconds kArrivalWindow{120.0};
constexpr double kAdoptFactor = 3;     // a machine rented by another life is counted on until then
constexpr Seconds kUnknownBoot{30.0};  // of a type that the catalogue lacks
constexpr double kLeastSpan = 30;      // seconds over which arrivals are counted
constexpr Seconds kCountStarts{2.0};   // after the lead was taken
constexpr double kBootMargin = 1.5;    // boots take up to so many times as long
constexpr int kExpectedTier = 100;     // after all that waits already

}  // namespace

void Controller::count_arrivals(Time now) {
  for (const auto& [id, job] : cache_.jobs()) {
    if (job.record.spec.kind != protocol::Kind::kService || !counted_.insert(id).second) continue;
    Arrivals& a = arrivals_[job.record.spec.job_class];
    a.spec = job.record.spec;
    a.recent.emplace_back(job.seen, job.record.spec.tasks);
  }
  std::erase_if(counted_, [&](const JobId& id) { return !cache_.job(id); });
  for (auto& [name, a] : arrivals_) {
    while (!a.recent.empty() && base::between(a.recent.front().first, now) > kArrivalWindow) {
      a.recent.pop_front();
    }
  }
}

// How many of each array's waiting tasks need room of their own now, so that all arrays are
// complete when they are due. Those that may wait for others to end need no machines. In the order
// in which the jobs are due: the work that is due by then, over the time until then, is the room
// that all arrays together must have.
std::map<JobId, std::size_t> Controller::timely_share(Time now, double boot) const {
  std::vector<std::pair<double, const Job*>> jobs;
  for (const auto& [id, job] : cache_.jobs()) {
    const auto& spec = job.record.spec;
    if (spec.kind != protocol::Kind::kArray || !spec.deadline || job.cancelled() ||
        job.done >= spec.tasks || is_crash_looping(id, now)) {
      continue;
    }
    double by = priorities_.due(job, now);
    // All tasks should have begun within what the objectives say, while that can still be.
    if (const auto within = priorities_.start_within(spec)) {
      const double last = job.startable_since() + within->count();
      if (last > priorities_.time_of_day(now))
        by = std::min(by, last + priorities_.run_time(spec).count());
    }
    jobs.emplace_back(by, &job);
  }
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  double work = 0, running = 0, needed = 0;
  for (const auto& [by, job] : jobs) {
    const auto& spec = job->record.spec;
    const double each = priorities_.run_time(spec).count() * 1.2,
                 cores = std::max(0.01, spec.request.cores());
    const double left = by - priorities_.time_of_day(now) - boot * 1.5;
    // Whole runs, one after the other.
    const double waves = std::clamp(std::floor(left / (each * 1.3)), 1.0, 3.0);
    work += (job->pending() + 0.6 * job->assigned) * each * cores;
    running += job->assigned * cores;
    needed = std::max(needed, work / (waves * each));
  }
  double more = std::max(0.0, needed - running);
  std::map<JobId, std::size_t> share;
  for (const auto& [by, job] : jobs) {
    const double cores = std::max(0.01, job->record.spec.request.cores());
    const double n = std::min(static_cast<double>(job->pending()), std::ceil(more / cores));
    share[job->record.spec.id] = static_cast<std::size_t>(n);
    more = std::max(0.0, more - n * cores);
  }
  return share;
}

Controller::ScalingActions Controller::plan_scaling(Time now, double wall_now) {
  ScalingActions actions;
  if (!is_leader(now) || !has_authority(now) || cache_.catalogue().empty()) return actions;
  count_arrivals(now);
  const Partitions known = partitions(now, kRoomRemembered);
  actions.release = releases_due(known, now);
  // Renting while a part's machines are unknown would pay for them twice.
  const Seconds settle = settings_.heartbeat_interval * 2.0 + Seconds(1.0);
  if (known.size() < cache_.view()->members.size() ||
      base::between(std::max(leader_since_, view_installed_at_), now) < settle) {
    return actions;
  }
  ScalingInput in = scaling_input(known, now);
  drop_booted(in, now, wall_now, actions.release);
  add_waiting(in, now);
  add_expected_services(in, now);
  in.calm = base::between(std::max(last_unplaced_work_at_, leader_since_), now) > kCalm &&
            base::between(last_drain_at_, now) > kDrainGap;
  if (in.calm) add_movable_services(in);
  actions.plan = coordination::plan_scaling(in);
  if (!actions.plan.scale_out.empty()) last_unplaced_work_at_ = now;
  pass_on(actions.plan, known, now);
  return actions;
}

// What owners ask for now, and what this leader itself found to be of no use.
std::vector<MachineId> Controller::releases_due(const Partitions& known, Time now) const {
  // An owner that was silent may have come back since a machine was last asked for.
  std::set<MachineId> release = to_release_;
  for (const MachineId& id : release_requests()) release.insert(id);
  // A machine that is silent for its owner and reports elsewhere is well: it is the owner that is
  // out of its reach.
  const auto own_knocked = misdirected(now);
  std::set<MachineId> well(own_knocked.begin(), own_knocked.end());
  for (const auto& [member, s] : peers_) {
    if (base::between(s.last_heartbeat_at, now) > kStatusFresh ||
        !has_member(*cache_.view(), s.from)) {
      continue;
    }
    release.insert(s.release_requested.begin(), s.release_requested.end());
    well.insert(s.misdirected.begin(), s.misdirected.end());
  }
  // ... unless its owner hears it too, and is not heard: then it goes from node to node.
  for (const auto& [member, rooms] : known) {
    for (const MachineStatus* r : rooms) {
      if (r->unsure) well.erase(r->id);
    }
  }
  std::erase_if(release,
                [&](const MachineId& id) { return released_.contains(id) || well.contains(id); });
  return {release.begin(), release.end()};
}

ScalingInput Controller::scaling_input(const Partitions& known, Time now) const {
  ScalingInput in;
  in.now = now;
  in.catalogue = &cache_.catalogue();
  in.refused = refused_;
  in.idle_return = settings_.tuning.idle_return;
  in.controller_zones = settings_.controller_zones;
  in.spot_share = settings_.tuning.spot_share;
  for (const auto& [member, rooms] : known) {
    in.machines.insert(in.machines.end(), rooms.begin(), rooms.end());
  }
  return in;
}

// Forgets the booting machines that have come up, releases those that never do, and counts the others
// as room while they are likely to come.
void Controller::drop_booted(ScalingInput& in, Time now, double wall_now,
                             std::vector<MachineId>& release) {
  std::set<MachineId> heard;
  for (const MachineStatus* m : in.machines) heard.insert(m->id);
  std::erase_if(booting_, [&](const protocol::Booting& b) {
    const MachineKind kind{b.type, b.zone, b.spot};
    const Seconds age(wall_now - b.rented);
    if (heard.contains(b.id)) {
      boots_.record_up(kind, age, now);
      return true;
    }
    if (released_.contains(b.id)) return true;
    if (!boots_.is_given_up(kind, age, boot_time(b.type), now)) return false;
    spdlog::info("machine {} never came up ({:.0f} s): released", b.id.get(), age.count());
    release.push_back(b.id);
    to_release_.insert(b.id);
    return true;
  });
  std::map<std::string, BootingCount> late;  // by type
  for (const auto& b : booting_) {
    if (BootTracker::is_overdue(Seconds(wall_now - b.rented), boot_time(b.type)))
      ++late[b.type].overdue;
  }
  for (const auto& b : booting_) {
    const MachineKind kind{b.type, b.zone, b.spot};
    if (boots_.is_likely(kind, Seconds(wall_now - b.rented), boot_time(b.type), late[b.type], now))
      in.booting.push_back(b);
  }
}

Seconds Controller::boot_time(const std::string& type_name) const {
  const auto* type = cache_.type(type_name);
  return type ? type->boot : kUnknownBoot;
}

double Controller::soonest_boot() const {
  double soonest = 0;
  for (const auto& t : cache_.catalogue()) {
    if (soonest == 0 || t.boot.count() < soonest) soonest = t.boot.count();
  }
  return soonest;
}

// How many of the job's waiting tasks its team's limit lets start; takes them from the team's room.
std::size_t Controller::within_quota(const protocol::JobSpec& spec, std::size_t waiting,
                                     std::map<std::string, Resources>& team_room) const {
  if (!cache_.has_quota_limit(spec.team)) return waiting;
  const base::Team& team = settings_.teams.at(spec.team);
  auto [room, is_new] = team_room.try_emplace(spec.team);
  if (is_new) {
    room->second.v = {team.max_cores, team.max_gpus, 0};
    room->second -= cache_.team_use(spec.team);
  }
  std::size_t n = waiting;
  if (team.max_cores > 0 && spec.request.cores() > 0) {
    const double fit = room->second.cores() / spec.request.cores() + 1e-9;
    n = std::min(n, static_cast<std::size_t>(std::max(0.0, fit)));
  }
  room->second -= spec.request * static_cast<double>(n);
  return n;
}

void Controller::add_waiting(ScalingInput& in, Time now) {
  std::map<JobId, std::size_t> share = timely_share(now, soonest_boot());
  std::map<std::string, Resources> team_room;
  bool waiting = false;
  for (const auto& [id, job] : cache_.jobs()) {
    const auto& spec = job.record.spec;
    if (job.pending() == 0 || is_crash_looping(id, now)) continue;
    std::size_t n = within_quota(spec, job.pending(), team_room);
    if (n > 0 && spec.kind == protocol::Kind::kArray && spec.deadline) n = std::min(n, share[id]);
    if (n == 0) continue;
    Demand d;
    d.request = spec.request;
    d.count = n;
    d.tier = priorities_.tier(job);
    d.spec = &spec;
    d.spot_only = priorities_.is_spare_time(job);
    in.demand.push_back(d);
    if (d.spot_only && starving_tasks(job, now)) {
      // It has waited too long for what others leave over: one task, wherever it may run.
      d.count = 1;
      d.spot_only = false;
      in.demand.push_back(d);
    }
    waiting = true;
  }
  if (waiting) last_unplaced_work_at_ = now;
}

// Room for the services that arrive while a machine boots.
void Controller::add_expected_services(ScalingInput& in, Time now) const {
  const double span =
      std::clamp(base::between(leader_since_, now).count(), kLeastSpan, kArrivalWindow.count());
  for (const auto& [name, a] : arrivals_) {
    double tasks = 0;
    for (const auto& [at, n] : a.recent) {
      // What was there at the start of this leader's count is not an arrival.
      if (base::between(leader_since_, at) > kCountStarts) tasks += n;
    }
    Demand d;
    d.request = a.spec.request;
    d.count = static_cast<std::size_t>(
        std::ceil(tasks / span * soonest_boot() * kBootMargin * settings_.tuning.headroom));
    d.tier = kExpectedTier;
    d.spec = &a.spec;
    if (d.count > 0) in.demand.push_back(d);
  }
}

void Controller::add_movable_services(ScalingInput& in) const {
  for (const auto& [machine, tasks] : cache_.assigned()) {
    for (const auto& [task, assignment] : tasks) {
      const Job* job = cache_.job(task.job);
      if (job && job->record.spec.kind == protocol::Kind::kService && !job->cancelled()) {
        in.movable[machine].push_back(&job->record.spec);
      }
    }
  }
}

// Tells the owners of machines that are to be emptied or closed: here, or with the answer to their
// next status.
void Controller::pass_on(const ScalingPlan& plan, const Partitions& known, Time now) {
  std::map<MachineId, MemberId> partition;
  for (const auto& [member, rooms] : known) {
    for (const MachineStatus* r : rooms) partition[r->id] = member;
  }
  for (const MachineId& id : plan.drain) {
    last_drain_at_ = now;
    if (partition[id] == self_.member) {
      drain({id});
    } else {
      to_drain_[partition[id]].insert(id);
    }
  }
  for (const MachineId& id : plan.cordon) {
    if (partition[id] == self_.member) {
      cordon_idle({id});
    } else {
      to_cordon_[partition[id]].insert(id);
    }
  }
}

void Controller::refused(const MachineKind& kind, Time now) {
  // Each call to the cloud is one less for what it does have, and for releases.
  const int n = std::min(refusals_[kind]++, 3);
  refused_[kind] = base::after(now, kRefusedFor * static_cast<double>(1 << n));
}

void Controller::rented(const MachineKind& kind, const std::vector<MachineId>& machines,
                        double wall_now) {
  for (const MachineId& id : machines) {
    booting_.push_back({id, kind.type, kind.zone, kind.spot, wall_now});
    refusals_.erase(kind);
    machines_.set_zone(id, kind.zone);
  }
}

std::optional<Transaction> Controller::fleet_record() const {
  Transaction txn;
  txn.preconditions[protocol::kLeadKey] = cache_.version(protocol::kLeadKey);
  txn.writes.push_back({protocol::kFleetKey, to_json(booting_, settings_.value_bytes - 1024), {}});
  return txn;
}

void Controller::released(const std::vector<MachineId>& machines, Time now) {
  for (const MachineId& id : machines) to_release_.erase(id);
  mark_released(machines, now);
}

void Controller::listed(const std::vector<protocol::CloudMachine>& machines, Time now,
                        double wall_now) {
  if (!is_leader(now)) return;
  std::set<MachineId> heard, listed;
  for (const auto& [member, rooms] : partitions(now, kRoomRemembered)) {
    for (const MachineStatus* r : rooms) heard.insert(r->id);
  }
  for (const auto& b : booting_) heard.insert(b.id);
  for (const auto& c : machines) {
    listed.insert(c.id);
    if (released_.contains(c.id)) continue;
    machines_.set_zone_if_unknown(c.id, c.zone);
    if (c.state == protocol::CloudState::kFailed) {
      to_release_.insert(c.id);
      continue;
    }
    if (heard.contains(c.id)) {
      unheard_.erase(c.id);
      continue;
    }
    if (c.state == protocol::CloudState::kStarting && c.age < boot_time(c.type) * kAdoptFactor) {
      spdlog::info("machine {} ({}) is booting, rented by another life", c.id.get(), c.type);
      booting_.push_back({c.id, c.type, c.zone, c.spot, wall_now - c.age.count()});
      continue;
    }
    const Time since = unheard_.try_emplace(c.id, now).first->second;
    if (base::between(std::max(since, view_installed_at_), now) >
        settings_.worker_lease * 2.0 + settings_.list_lag) {
      spdlog::info("machine {} is listed but reports to nobody: released", c.id.get());
      to_release_.insert(c.id);
    }
  }
  std::erase_if(unheard_, [&](const auto& u) { return !listed.contains(u.first); });
}

}  // namespace saddleslip::coordination

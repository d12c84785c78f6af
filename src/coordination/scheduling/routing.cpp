// Which part is offered which tasks. A job's home splits its waiting tasks among the parts by free
// room; what is still waiting after a while is offered anew, to another part if one has room.
#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "base/log.h"
#include "coordination/controller.h"

namespace saddleslip::coordination {

namespace {

constexpr Seconds kFirstOffers{0.6};  // made by the node that accepted the job, then by its home
constexpr std::size_t kOffersBeforeNextDisplacement =
    2;  // offers, before another part is asked to make room
constexpr std::size_t kOffersBeforeNextReservation =
    40;                                   // offers, before another part is asked to gather room
constexpr Seconds kRoomFresh{4.0};        // a sibling's room is relied on for this long
constexpr double kOfferPeriods = 1.2;     // rounds, before a task is offered again
constexpr std::size_t kLeastOffered = 8;  // tasks of a job that may displace others
constexpr int kStarvingTier = -1;         // before all others

}  // namespace

// A machine of a part, less what was offered to it here.
struct Place {
  const MachineStatus* machine;
  Resources free, preemptible;
};

// What a part could do for one job.
struct Chances {
  std::size_t room = 0;        // tasks that fit
  bool has = false;            // ... where the image is
  bool near = false;           // ... where a controller is
  bool has_near = false;       // ... both
  bool displaces = false;      // one fits if lower work were stopped
  bool displaces_has = false;  // ... where the image is
};

struct Partition {
  MemberId member;
  std::vector<Place> places;
  double free_cores = 0;

  Chances chances(const protocol::JobSpec& spec, const std::set<std::string>& near_zones,
                  bool may_displace) const {
    Chances c;
    for (const Place& p : places) {
      const MachineStatus& m = *p.machine;
      const bool fits_now = p.free.fits(spec.request);
      if ((!fits_now && !may_displace) || !may_run(spec, m.type, m.zone, m.spot)) continue;
      double fits = 1e9;
      for (std::size_t i = 0; i < p.free.v.size(); ++i) {
        if (spec.request.v[i] > 0) fits = std::min(fits, p.free.v[i] / spec.request.v[i] + 1e-9);
      }
      const auto n = static_cast<std::size_t>(std::max(0.0, std::floor(fits)));
      const bool has = (n > 0 || !c.displaces_has) && m.has_image(spec.image);
      if (n > 0) {
        const bool near = near_zones.contains(m.zone);
        c.room += n;
        c.has = c.has || has;
        c.near = c.near || near;
        c.has_near = c.has_near || (has && near);
      }
      if (may_displace && (!c.displaces || (has && !c.displaces_has))) {
        Resources r = p.free;
        r += p.preemptible;
        if (r.fits(spec.request)) {
          c.displaces = true;
          c.displaces_has = c.displaces_has || has;
        }
      }
    }
    return c;
  }

  void take(const protocol::JobSpec& spec, std::size_t n) {
    for (Place& p : places) {
      if (n == 0) return;
      const MachineStatus& m = *p.machine;
      if (!p.free.fits(spec.request) || !may_run(spec, m.type, m.zone, m.spot)) continue;
      while (n > 0 && p.free.fits(spec.request)) {
        p.free -= spec.request;
        free_cores -= spec.request.cores();
        --n;
      }
    }
  }

  void displace(const protocol::JobSpec& spec) {
    for (Place& p : places) {
      const MachineStatus& m = *p.machine;
      Resources r = p.free;
      r += p.preemptible;
      if (!r.fits(spec.request) || !may_run(spec, m.type, m.zone, m.spot)) continue;
      p.preemptible -= spec.request;
      return;
    }
  }
};

namespace {

void add(protocol::Offers& offers, const JobId& job, TaskNo no) {
  if (offers.offers.empty() || offers.offers.back().job != job) offers.offers.push_back({job, {}});
  auto& ranges = offers.offers.back().ranges;
  if (!ranges.empty() && ranges.back().first + ranges.back().second == no) {
    ++ranges.back().second;
  } else {
    ranges.emplace_back(no, 1);
  }
}

}  // namespace

void Controller::offers_lost(const MemberId& member, const std::vector<protocol::Offers>& offers) {
  peers_.forget(member);
  for (const protocol::Offers& all : offers) {
    for (const protocol::Offer& o : all.offers) {
      for (const auto& [first, count] : o.ranges) {
        for (TaskNo i = 0; i < count; ++i) offered_.erase({o.job, first + i});
      }
    }
  }
}

// What one call to route() works on: the parts, less what was offered to them, and for the job in hand
// what each part could do for it and which of its tasks are still to be offered.
struct Controller::Routing {
  Time now;
  std::vector<Partition> partitions;
  std::map<MemberId, protocol::Offers> out;

  const Job* job = nullptr;
  bool may_displace = false;
  std::vector<Chances> chances;
  std::vector<TaskNo> waiting;
  std::size_t next = 0;  // the first of `waiting` that was not offered

  const protocol::JobSpec& spec() const { return job->record.spec; }
  bool done() const { return next >= waiting.size(); }
  std::size_t room() const {
    std::size_t sum = 0;
    for (const Chances& c : chances) sum += c.room;
    return sum;
  }
};

bool Controller::is_offered(const TaskId& task, Time now) const {
  const auto o = offered_.find(task);
  return o != offered_.end() &&
         base::between(o->second, now) <= settings_.tuning.round_period * kOfferPeriods;
}

// Forgets offers and jobs that are no more; now and then is enough.
void Controller::prune_offers(Time now) {
  const Seconds patience = settings_.tuning.round_period * kOfferPeriods;
  if (base::between(offers_pruned_at_, now) <= patience) return;
  offers_pruned_at_ = now;
  std::erase_if(offered_, [&](const auto& o) { return base::between(o.second, now) > patience; });
  std::erase_if(displacing_, [&](const auto& d) { return !cache_.job(d.first); });
  std::erase_if(accepted_, [&](const JobId& id) { return !cache_.job(id); });
}

std::vector<const Job*> Controller::jobs_to_route(Time now) const {
  std::vector<const Job*> jobs;
  for (const auto& [id, job] : cache_.jobs()) {
    if (job.pending() == 0 || !failures_.may_retry(id, now)) continue;
    const ControllerIncarnation* home = home_of(*cache_.view(), id);
    const bool at_home = home && *home == self_;
    const bool is_new = base::between(job.seen, now) < kFirstOffers;
    if (accepted_.contains(id) ? at_home || is_new : at_home && !is_new) jobs.push_back(&job);
  }
  return jobs;
}

// Urgent ones see the free room first; among equals what is due first.
void Controller::sort_by_turn(std::vector<const Job*>& jobs, Time now) const {
  struct Turn {
    int tier;
    double due, submitted;
    const Job* job;
    bool operator<(const Turn& o) const {
      return std::tie(tier, due, submitted) < std::tie(o.tier, o.due, o.submitted);
    }
  };
  std::vector<Turn> turns;
  turns.reserve(jobs.size());
  for (const Job* job : jobs) {
    const int tier = starving_tasks(*job, now) ? kStarvingTier : priorities_.tier(*job);
    turns.push_back({tier, priorities_.due(*job, now), job->startable_since(), job});
  }
  std::stable_sort(turns.begin(), turns.end());
  for (std::size_t i = 0; i < turns.size(); ++i) jobs[i] = turns[i].job;
}

bool Controller::may_displace(const Job& job, Time now) const {
  return !is_crash_looping(job.record.spec.id, now) && priorities_.may_displace(job);
}

// Most machines of a full fleet have room for nothing that waits: they are passed over in one go, not
// job by job.
std::vector<Partition> Controller::routing_partitions(const std::vector<const Job*>& jobs,
                                                      Time now) {
  std::optional<Resources> least, least_displacing;
  const auto lower_to = [](std::optional<Resources>& to, const Resources& need) {
    if (!to) to = need;
    for (std::size_t i = 0; i < need.v.size(); ++i) to->v[i] = std::min(to->v[i], need.v[i]);
  };
  for (const Job* job : jobs) {
    lower_to(least, job->record.spec.request);
    if (may_displace(*job, now)) lower_to(least_displacing, job->record.spec.request);
  }
  std::vector<Partition> all;
  for (const auto& [member, machines] : partitions(now, kRoomFresh)) {
    Partition partition{member, {}, 0};
    for (const MachineStatus* m : machines) {
      if (!m->open) continue;
      partition.free_cores += m->free.cores();
      Resources with_lower = m->free;
      with_lower += m->preemptible;
      if (m->free.fits(*least) || (least_displacing && with_lower.fits(*least_displacing))) {
        partition.places.push_back({m, m->free, m->preemptible});
      }
    }
    all.push_back(std::move(partition));
  }
  return all;
}

void Controller::update_candidates(Routing& r, std::size_t partition) const {
  r.chances[partition] =
      r.partitions[partition].chances(r.spec(), settings_.controller_zones, r.may_displace);
}

std::vector<TaskNo> Controller::tasks_to_offer(const Job& job, std::size_t most, Time now) const {
  const JobId& id = job.record.spec.id;
  std::vector<TaskNo> waiting;
  for (std::size_t c = 0; c < job.chunks.size() && waiting.size() < most; ++c) {
    const auto& record = job.chunks[c].record;
    const TaskNo first = job.chunk_first(c);
    for (TaskNo i = 0; i < job.chunk_size(c) && waiting.size() < most; ++i) {
      if (record.done[i] || record.assigned.contains(first + i) ||
          is_offered({id, first + i}, now)) {
        continue;
      }
      waiting.push_back(first + i);
    }
  }
  return waiting;
}

// Offers the next `n` of the job's waiting tasks to that part.
void Controller::offer(Routing& r, std::size_t partition, std::size_t n) {
  auto& offers = r.out[r.partitions[partition].member];
  for (std::size_t i = r.next; i < r.next + n; ++i) {
    add(offers, r.spec().id, r.waiting[i]);
    offered_[{r.spec().id, r.waiting[i]}] = r.now;
  }
  r.next += n;
}

// Arrays are split by free room; a record's tasks stay together as far as that goes, so that parts
// seldom write the same one.
void Controller::offer_array(Routing& r) {
  const std::size_t partitions = r.partitions.size(), room = r.room();
  const std::size_t n = std::min(r.waiting.size(), room);
  std::vector<double> quota(partitions);
  std::vector<std::size_t> left(partitions);
  for (std::size_t p = 0; p < partitions; ++p) {
    left[p] = r.chances[p].room;
    quota[p] = static_cast<double>(n) * static_cast<double>(left[p]) / static_cast<double>(room);
  }
  const auto record_of = [&r](std::size_t i) { return r.job->record.chunk_of(r.waiting[i]); };
  while (r.next < n) {
    std::size_t run = 1;  // waiting tasks of one record
    while (r.next + run < n && record_of(r.next + run) == record_of(r.next)) ++run;
    std::size_t best = partitions;
    for (std::size_t p = 0; p < partitions; ++p) {
      if (left[p] > 0 && (best == partitions || quota[p] > quota[best])) best = p;
    }
    if (best == partitions) break;
    const std::size_t share = std::min(run, left[best]);
    offer(r, best, share);
    r.partitions[best].take(r.spec(), share);
    left[best] -= share;
    quota[best] -= static_cast<double>(share);
  }
  for (std::size_t p = 0; p < partitions; ++p) update_candidates(r, p);
}

// The part that suits one more task of the job best, if any can take it. A part where the image is
// already beats a roomier one where it must be fetched, and so does one with room where controllers are.
std::optional<std::size_t> Controller::best_partition(const Routing& r) const {
  const bool hurries =
      r.spec().rank <= protocol::Rank::kUrgent && priorities_.start_within(r.spec()).has_value();
  std::optional<std::size_t> best;
  int best_rank = 0;
  for (std::size_t p = 0; p < r.partitions.size(); ++p) {
    const Chances& c = r.chances[p];
    const bool takes_place = hurries && c.displaces_has;
    if (c.room == 0 && !takes_place) continue;
    const int rank = c.has_near ? 4 : c.has ? 3 : takes_place ? 2 : c.near ? 1 : 0;
    if (!best || rank > best_rank ||
        (rank == best_rank && r.partitions[p].free_cores > r.partitions[*best].free_cores)) {
      best = p;
      best_rank = rank;
    }
  }
  return best;
}

// Others than arrays go to the roomiest part that fits them.
void Controller::offer_to_roomiest(Routing& r) {
  while (!r.done()) {
    const auto best = best_partition(r);
    if (!best) return;
    const std::size_t room = r.chances[*best].room, left = r.waiting.size() - r.next;
    const std::size_t n = r.spec().one_zone ? std::clamp<std::size_t>(room, 1, left) : 1;
    offer(r, *best, n);
    if (room > 0) {
      r.partitions[*best].take(r.spec(), n);
    } else {
      r.partitions[*best].displace(r.spec());
    }
    update_candidates(r, *best);
  }
}

// Without room anywhere, what may displace other work goes where that can be done.
void Controller::offer_to_displace(Routing& r) {
  const std::size_t partitions = r.partitions.size();
  while (!r.done()) {
    // Now and then another part: what can give way there may be of a team that need not. Not
    // each time, or room would be made in all of them.
    const std::size_t from = ++displacing_[r.spec().id] / kOffersBeforeNextDisplacement;
    std::size_t i = 0;
    while (i < partitions && !r.chances[(from + i) % partitions].displaces) ++i;
    if (i == partitions) return;
    const std::size_t partition = (from + i) % partitions;
    offer(r, partition, 1);
    r.partitions[partition].displace(r.spec());
    update_candidates(r, partition);
  }
}

void Controller::route_job(Routing& r, const Job& job) {
  r.job = &job;
  r.may_displace = may_displace(job, r.now);
  r.chances.assign(r.partitions.size(), {});
  for (std::size_t p = 0; p < r.partitions.size(); ++p) update_candidates(r, p);
  const bool gang = r.spec().kind == protocol::Kind::kGang;
  const std::size_t room = r.room();
  // A gang starts only if all its tasks find room in one round.
  if (gang && room < job.pending()) return;
  const auto ahead = starving_tasks(job, r.now);
  if (room == 0 && !ahead && !r.may_displace) return;
  std::size_t most = ahead ? *ahead : std::max<std::size_t>(room, kLeastOffered);
  if (!gang && is_crash_looping(r.spec().id, r.now)) most = 1;
  r.waiting = tasks_to_offer(job, most, r.now);
  r.next = 0;
  if (gang && r.waiting.size() < job.pending()) return;
  if (room > 0 && r.spec().kind != protocol::Kind::kService && !r.spec().one_zone) {
    offer_array(r);
  } else {
    offer_to_roomiest(r);
  }
  // A job that has waited too long is offered where there is no room as well: it is gathered there.
  if (!gang && ahead && r.room() == 0 && !r.done()) {
    offer(r, (++displacing_[r.spec().id] / kOffersBeforeNextReservation) % r.partitions.size(), 1);
  }
  if (!gang && r.may_displace) offer_to_displace(r);
}

std::map<MemberId, protocol::Offers> Controller::route(Time now) {
  if (!has_authority(now)) return {};
  prune_offers(now);
  std::vector<const Job*> jobs = jobs_to_route(now);
  if (jobs.empty()) return {};
  priorities_.update(now);
  sort_by_turn(jobs, now);
  Routing r;
  r.now = now;
  r.partitions = routing_partitions(jobs, now);
  for (const Job* job : jobs) route_job(r, *job);
  for (auto& [member, offers] : r.out) {
    offers.from = self_;
    offers.epoch = cache_.view()->epoch;
  }
  return std::move(r.out);
}

}  // namespace saddleslip::coordination

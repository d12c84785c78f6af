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
constexpr std::size_t kStayToDisplace = 2;  // offers, before another part is asked to make room
constexpr std::size_t kStayWithPart = 40;   // offers, before another part is asked to gather room
constexpr Seconds kRoomFresh{4.0};          // a sibling's room is relied on for this long

// A machine of a part, less what was offered to it here.
struct Place {
  const MachineRoom* machine;
  Resources free, lower, idle_rank;

  Resources& yielding(JobPriorities::Displaces displaces) {
    return displaces == JobPriorities::Displaces::kIdleRank ? idle_rank : lower;
  }
  const Resources& yielding(JobPriorities::Displaces displaces) const {
    return displaces == JobPriorities::Displaces::kIdleRank ? idle_rank : lower;
  }
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

struct Part {
  MemberId member;
  std::vector<Place> places;
  double free_cores = 0;

  Chances chances(const protocol::JobSpec& spec, const std::set<std::string>& near_zones,
                  JobPriorities::Displaces displaces) const {
    const bool may_displace = displaces != JobPriorities::Displaces::kNothing;
    Chances c;
    for (const Place& p : places) {
      const MachineRoom& m = *p.machine;
      const bool fits_now = p.free.fits(spec.need);
      if ((!fits_now && !may_displace) || !may_run(spec, m.type, m.zone, m.spot)) continue;
      double fits = 1e9;
      for (std::size_t i = 0; i < p.free.v.size(); ++i) {
        if (spec.need.v[i] > 0) fits = std::min(fits, p.free.v[i] / spec.need.v[i] + 1e-9);
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
        r += p.yielding(displaces);
        if (r.fits(spec.need)) {
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
      const MachineRoom& m = *p.machine;
      if (!p.free.fits(spec.need) || !may_run(spec, m.type, m.zone, m.spot)) continue;
      while (n > 0 && p.free.fits(spec.need)) {
        p.free -= spec.need;
        free_cores -= spec.need.cores();
        --n;
      }
    }
  }

  void displace(const protocol::JobSpec& spec, JobPriorities::Displaces displaces) {
    for (Place& p : places) {
      const MachineRoom& m = *p.machine;
      Resources r = p.free;
      r += p.yielding(displaces);
      if (!r.fits(spec.need) || !may_run(spec, m.type, m.zone, m.spot)) continue;
      p.yielding(displaces) -= spec.need;
      return;
    }
  }
};

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
  siblings_.erase(member);
  for (const protocol::Offers& all : offers) {
    for (const protocol::Offer& o : all.offers) {
      for (const auto& [first, count] : o.ranges) {
        for (TaskNo i = 0; i < count; ++i) offered_.erase({o.job, first + i});
      }
    }
  }
}

std::map<MemberId, protocol::Offers> Controller::route(Time now) {
  std::map<MemberId, protocol::Offers> out;
  if (!entitled(now)) return out;
  const Seconds patience = settings_.tuning.round_period * 1.2;
  if (base::between(tidied_, now) > patience) {
    tidied_ = now;
    std::erase_if(offered_, [&](const auto& o) { return base::between(o.second, now) > patience; });
    std::erase_if(displacing_, [&](const auto& d) { return !ledger_.job(d.first); });
    std::erase_if(accepted_, [&](const JobId& id) { return !ledger_.job(id); });
  }
  const auto is_offered = [&](const TaskId& task) {
    const auto o = offered_.find(task);
    return o != offered_.end() && base::between(o->second, now) <= patience;
  };
  std::vector<const Job*> jobs;
  for (const auto& [id, job] : ledger_.jobs()) {
    if (job.pending() == 0 || !failures_.may_retry(id, now)) continue;
    const Life* home = home_of(*ledger_.view(), id);
    const bool at_home = home && *home == self_;
    const bool is_new = base::between(job.seen, now) < kFirstOffers;
    if (accepted_.contains(id) ? at_home || is_new : at_home && !is_new) jobs.push_back(&job);
  }
  if (jobs.empty()) return out;
  priorities_.update_guarantees(now);
  // Urgent ones see the free room first; among equals what is due first.
  struct Turn {
    int tier;
    double due, submitted;
    const Job* job;
    bool operator<(const Turn& o) const {
      return std::tie(tier, due, submitted) < std::tie(o.tier, o.due, o.submitted);
    }
  };
  std::vector<Turn> turns;
  for (const Job* job : jobs) {
    turns.push_back({starved(*job, now) ? -1 : priorities_.tier(*job), priorities_.due(*job, now),
                     job->record.submitted, job});
  }
  std::stable_sort(turns.begin(), turns.end());

  // Most machines of a full fleet have room for nothing that waits: they are passed over in one go,
  // not job by job.
  const auto displaces = [this, now](const Job& job) {
    return is_suspect(job.record.spec.id, now) ? JobPriorities::Displaces::kNothing
                                               : priorities_.displaces(job);
  };
  const auto may_displace = [&displaces](const Job& job) {
    return displaces(job) != JobPriorities::Displaces::kNothing;
  };
  std::optional<Resources> least, least_displacing;
  const auto lower_to = [](std::optional<Resources>& to, const Resources& need) {
    if (!to) to = need;
    for (std::size_t i = 0; i < need.v.size(); ++i) to->v[i] = std::min(to->v[i], need.v[i]);
  };
  for (const Job* job : jobs) {
    lower_to(least, job->record.spec.need);
    if (may_displace(*job)) lower_to(least_displacing, job->record.spec.need);
  }
  const auto known = parts(now, kRoomFresh);
  std::vector<Part> all;
  for (const auto& [member, machines] : known) {
    Part part{member, {}, 0};
    for (const MachineRoom* m : machines) {
      if (!m->open) continue;
      part.free_cores += m->free.cores();
      Resources with_lower = m->free;
      with_lower += m->lower;
      if (m->free.fits(*least) || (least_displacing && with_lower.fits(*least_displacing))) {
        part.places.push_back({m, m->free, m->lower, m->idle_rank});
      }
    }
    all.push_back(std::move(part));
  }
  std::vector<Chances> chances(all.size());
  for (const Turn& turn : turns) {
    const Job* job = turn.job;
    const auto& spec = job->record.spec;
    std::size_t room = 0;
    const auto look_again = [&](std::size_t p) {
      room -= chances[p].room;
      chances[p] = all[p].chances(spec, settings_.controller_zones, displaces(*job));
      room += chances[p].room;
    };
    for (std::size_t p = 0; p < all.size(); ++p) {
      chances[p] = {};
      look_again(p);
    }
    const bool gang = spec.kind == protocol::Kind::kGang;
    // A gang starts only if all its tasks find room in one round.
    if (gang && room < job->pending()) continue;
    const auto ahead = starved(*job, now);
    if (room == 0 && !ahead && !may_displace(*job)) continue;
    std::size_t most = ahead ? *ahead : std::max<std::size_t>(room, 8);
    if (!gang && is_suspect(spec.id, now)) most = 1;
    std::vector<TaskNo> waiting;
    for (std::size_t c = 0; c < job->chunks.size() && waiting.size() < most; ++c) {
      const auto& record = job->chunks[c].record;
      const TaskNo first = job->chunk_first(c);
      for (TaskNo i = 0; i < job->chunk_size(c) && waiting.size() < most; ++i) {
        if (record.done[i] || record.held.contains(first + i) || is_offered({spec.id, first + i})) {
          continue;
        }
        waiting.push_back(first + i);
      }
    }
    const auto offer = [&](std::size_t part, std::size_t from, std::size_t n) {
      auto& offers = out[all[part].member];
      for (std::size_t i = from; i < from + n; ++i) {
        add(offers, spec.id, waiting[i]);
        offered_[{spec.id, waiting[i]}] = now;
      }
    };
    std::size_t next = 0;
    const bool hurries =
        JobPriorities::is_urgent(*job) && priorities_.start_within(spec).has_value();
    if (gang && waiting.size() < job->pending()) continue;
    if (room > 0 && spec.kind != protocol::Kind::kService && !spec.one_zone) {
      // Arrays are split by free room; a record's tasks stay together as far as that goes, so that
      // parts seldom write the same one.
      const std::size_t n = std::min(waiting.size(), room);
      std::vector<double> quota(all.size());
      for (std::size_t p = 0; p < all.size(); ++p) {
        quota[p] = static_cast<double>(n) * static_cast<double>(chances[p].room) /
                   static_cast<double>(room);
      }
      std::vector<std::size_t> left(all.size());
      for (std::size_t p = 0; p < all.size(); ++p) left[p] = chances[p].room;
      while (next < n) {
        std::size_t run = 1;  // waiting tasks of one record
        while (next + run < n &&
               job->record.chunk_of(waiting[next + run]) == job->record.chunk_of(waiting[next])) {
          ++run;
        }
        std::size_t best = all.size();
        for (std::size_t p = 0; p < all.size(); ++p) {
          if (left[p] > 0 && (best == all.size() || quota[p] > quota[best])) best = p;
        }
        if (best == all.size()) break;
        const std::size_t share = std::min(run, left[best]);
        offer(best, next, share);
        all[best].take(spec, share);
        left[best] -= share;
        quota[best] -= static_cast<double>(share);
        next += share;
      }
      for (std::size_t p = 0; p < all.size(); ++p) look_again(p);
    } else {
      // Others go to the roomiest part that fits them.
      while (next < waiting.size()) {
        std::size_t best = all.size();
        int best_rank = 0;
        for (std::size_t p = 0; p < all.size(); ++p) {
          const Chances& c = chances[p];
          const bool takes_place = hurries && c.displaces_has;
          if (c.room == 0 && !takes_place) continue;
          // A part where the image is already beats a roomier one where it must be fetched, and
          // so does one with room where controllers are.
          const int rank = c.has_near ? 4 : c.has ? 3 : takes_place ? 2 : c.near ? 1 : 0;
          if (best == all.size() || rank > best_rank ||
              (rank == best_rank && all[p].free_cores > all[best].free_cores)) {
            best = p;
            best_rank = rank;
          }
        }
        if (best == all.size()) break;
        const std::size_t n =
            spec.one_zone ? std::clamp<std::size_t>(chances[best].room, 1, waiting.size() - next)
                          : 1;
        offer(best, next, n);
        if (chances[best].room > 0) {
          all[best].take(spec, n);
        } else {
          all[best].displace(spec, displaces(*job));
        }
        look_again(best);
        next += n;
      }
    }
    // A job that has waited too long is offered where there is no room as well: it is gathered there.
    if (!gang && ahead && room == 0 && next < waiting.size()) {
      offer((++displacing_[spec.id] / kStayWithPart) % all.size(), next, 1);
      ++next;
    }
    // Without room anywhere, what may displace other work goes where that can be done.
    if (!gang && may_displace(*job)) {
      while (next < waiting.size()) {
        // Now and then another part: what can give way there may be of a team that need not. Not
        // each time, or room would be made in all of them.
        const std::size_t from = ++displacing_[spec.id] / kStayToDisplace;
        std::size_t i = 0;
        while (i < all.size() && !chances[(from + i) % all.size()].displaces) ++i;
        if (i == all.size()) break;
        const std::size_t p = (from + i) % all.size();
        offer(p, next, 1);
        all[p].displace(spec, displaces(*job));
        look_again(p);
        ++next;
      }
    }
  }
  for (auto& [member, offers] : out) {
    offers.from = self_;
    offers.epoch = ledger_.view()->epoch;
  }
  return out;
}

}  // namespace saddleslip::coordination

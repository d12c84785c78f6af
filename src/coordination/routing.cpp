// Which part is offered which tasks. A job's home splits its waiting tasks among the parts by free
// room; what is still waiting after a while is offered anew, to another part if one has room.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "coordination/controller.h"

namespace saddleslip::coordination {

namespace {

constexpr Seconds kFirstOffers{0.6};  // made by the node that accepted the job, then by its home
constexpr Seconds kRoomFresh{4.0};    // a sibling's room is relied on for this long

struct Part {
  MemberId member;
  std::vector<MachineRoom> machines;

  std::size_t room_for(const protocol::JobSpec& spec) const {
    return room_if(spec, [](const MachineRoom&) { return true; });
  }

  template <class F>
  std::size_t room_if(const protocol::JobSpec& spec, F wanted) const {
    std::size_t n = 0;
    for (const MachineRoom& m : machines) {
      if (!wanted(m)) continue;
      if (!m.open || !may_run(spec, m.type, m.zone, m.spot)) continue;
      double fits = 1e9;
      for (std::size_t i = 0; i < m.free.v.size(); ++i) {
        if (spec.need.v[i] > 0) fits = std::min(fits, m.free.v[i] / spec.need.v[i] + 1e-9);
      }
      n += static_cast<std::size_t>(std::max(0.0, std::floor(fits)));
    }
    return n;
  }

  double free_cores() const {
    double n = 0;
    for (const MachineRoom& m : machines) n += m.open ? m.free.cores() : 0;
    return n;
  }

  // Could one task be placed if lower ranks were stopped?
  bool could_displace(const protocol::JobSpec& spec, bool with_image = false) const {
    return std::any_of(machines.begin(), machines.end(), [&](const MachineRoom& m) {
      if (with_image && !m.has_image(spec.image)) {
        return false;
      }
      Resources r = m.free;
      r += m.lower;
      return m.open && may_run(spec, m.type, m.zone, m.spot) && r.fits(spec.need);
    });
  }

  void take(const protocol::JobSpec& spec, std::size_t n) {
    for (MachineRoom& m : machines) {
      if (!m.open || !may_run(spec, m.type, m.zone, m.spot)) continue;
      while (n > 0 && m.free.fits(spec.need)) {
        m.free -= spec.need;
        --n;
      }
    }
  }

  void displace(const protocol::JobSpec& spec) {
    for (MachineRoom& m : machines) {
      Resources r = m.free;
      r += m.lower;
      if (!m.open || !may_run(spec, m.type, m.zone, m.spot) || !r.fits(spec.need)) continue;
      m.lower -= spec.need;
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
  std::erase_if(offered_, [&](const auto& o) { return base::between(o.second, now) > patience; });

  find_guaranteed();
  std::erase_if(accepted_, [&](const JobId& id) { return !ledger_.job(id); });
  std::vector<const Job*> jobs;
  for (const auto& [id, job] : ledger_.jobs()) {
    if (job.pending() == 0) continue;
    const Life* home = home_of(*ledger_.view(), id);
    const bool at_home = home && *home == self_;
    const bool is_new = base::between(job.seen, now) < kFirstOffers;
    if (accepted_.contains(id) ? at_home || is_new : at_home && !is_new) jobs.push_back(&job);
  }
  if (jobs.empty()) return out;
  // Urgent ones see the free room first; among equals what is due first.
  std::stable_sort(jobs.begin(), jobs.end(), [&](const Job* a, const Job* b) {
    const int ta = tier_of(*a), tb = tier_of(*b);
    if (ta != tb) return ta < tb;
    const double da = due(*a, now), db = due(*b, now);
    return da != db ? da < db : a->record.submitted < b->record.submitted;
  });

  std::vector<Part> all;
  for (auto& [member, machines] : parts(now, kRoomFresh))
    all.push_back({member, std::move(machines)});
  for (const Job* job : jobs) {
    const auto& spec = job->record.spec;
    std::vector<TaskNo> waiting;
    std::size_t room = 0;
    std::vector<std::size_t> room_in(all.size());
    for (std::size_t p = 0; p < all.size(); ++p) room += room_in[p] = all[p].room_for(spec);
    const bool gang = spec.kind == protocol::Kind::kGang;
    // A gang starts only if all its tasks find room in one round.
    if (gang && room < job->pending()) continue;
    const std::size_t most = std::max<std::size_t>(room, 8);
    for (std::size_t c = 0; c < job->chunks.size() && waiting.size() < most; ++c) {
      const auto& record = job->chunks[c].record;
      const TaskNo first = job->chunk_first(c);
      for (TaskNo i = 0; i < job->chunk_size(c) && waiting.size() < most; ++i) {
        if (record.done[i] || record.held.contains(first + i) ||
            offered_.contains({spec.id, first + i})) {
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
    const bool hurries = spec.rank <= protocol::Rank::kUrgent && start_within(spec).has_value();
    if (gang && waiting.size() < job->pending()) continue;
    if (room > 0 && spec.kind != protocol::Kind::kService && !spec.one_zone) {
      // Arrays are split by free room.
      const std::size_t n = std::min(waiting.size(), room);
      for (std::size_t p = 0; p < all.size() && next < n; ++p) {
        std::size_t share = static_cast<std::size_t>(std::ceil(
            static_cast<double>(n) * static_cast<double>(room_in[p]) / static_cast<double>(room)));
        share = std::min({share, room_in[p], n - next});
        if (share == 0) continue;
        offer(p, next, share);
        all[p].take(spec, share);
        next += share;
      }
    } else {
      // Others go to the roomiest part that fits them.
      while (next < waiting.size()) {
        std::size_t best = all.size();
        int best_rank = 0;
        for (std::size_t p = 0; p < all.size(); ++p) {
          const bool displaces = hurries && all[p].could_displace(spec, true);
          if (all[p].room_for(spec) == 0 && !displaces) continue;
          // A part where the image is already beats a roomier one where it must be fetched, and
          // so does one with room where controllers are.
          const auto has = [&](const MachineRoom& m) { return m.has_image(spec.image); };
          const auto near = [&](const MachineRoom& m) {
            return settings_.controller_zones.contains(m.zone);
          };
          const int rank =
              all[p].room_if(spec, [&](const auto& m) { return has(m) && near(m); }) > 0 ? 4
              : all[p].room_if(spec, has) > 0                                            ? 3
              : displaces                                                                ? 2
              : all[p].room_if(spec, near) > 0                                           ? 1
                                                                                         : 0;
          if (best == all.size() || rank > best_rank ||
              (rank == best_rank && all[p].free_cores() > all[best].free_cores())) {
            best = p;
            best_rank = rank;
          }
        }
        if (best == all.size()) break;
        const std::size_t n = spec.one_zone ? std::clamp<std::size_t>(all[best].room_for(spec), 1,
                                                                      waiting.size() - next)
                                            : 1;
        offer(best, next, n);
        if (all[best].room_for(spec) > 0) {
          all[best].take(spec, n);
        } else {
          all[best].displace(spec);
        }
        next += n;
      }
    }
    // Without room anywhere, what may displace other work goes where that can be done.
    if (!gang && (tier_of(*job) <= 3 || tier_of(*job) % 2 == 0)) {
      while (next < waiting.size()) {
        const auto p = std::find_if(all.begin(), all.end(),
                                    [&](const Part& part) { return part.could_displace(spec); });
        if (p == all.end()) break;
        offer(static_cast<std::size_t>(p - all.begin()), next, 1);
        p->displace(spec);
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

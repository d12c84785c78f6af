#include "coordination/fleet.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "coordination/packing.h"

namespace saddleslip::coordination {

namespace {

constexpr double kDrainBelow = 0.55;  // a machine that is busier than this is not emptied
constexpr double kFarFromControllers = 1.6;
constexpr double kInTheWay = 1.05;
constexpr double kInServicesWay = 1.3;  // ordinary machines are all that services may use
constexpr double kSpread = 0.02;  // how much dearer a zone looks that has all machines already
constexpr std::size_t kMostAtOnce = 200;  // machines rented by one plan
constexpr std::size_t kDrainOneOf = 40;   // one machine of so many is emptied at a time

// What a kind costs for each task of the demand that it can really be filled with.
double cost_per_task(const MachineType& type, bool spot, const Demand& d, std::size_t count) {
  Resources free = type.size;
  std::size_t fits = 0;
  while (fits < count && free.fits(d.need)) {
    free -= d.need;
    ++fits;
  }
  if (fits == 0) return -1;
  return (spot ? type.spot_price : type.price) / static_cast<double>(fits);
}

}  // namespace

bool may_run(const protocol::JobSpec& spec, const std::string& type, const std::string& zone,
             bool spot) {
  if (spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != zone) return false;
  return !spec.types ||
         std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

FleetPlan plan_fleet(const FleetInput& in) {
  FleetPlan plan;
  if (!in.catalogue || in.catalogue->empty()) return plan;
  const auto type_of = [&](const std::string& name) -> const MachineType* {
    for (const MachineType& t : *in.catalogue) {
      if (t.name == name) return &t;
    }
    return nullptr;
  };

  struct Site {
    MachineKind kind;
    const MachineRoom* machine = nullptr;
    bool used = false;
  };
  std::vector<Site> sites;
  std::vector<Bin> bins;
  Resources scale;
  const auto grow = [&scale](const Resources& size) {
    for (std::size_t i = 0; i < scale.v.size(); ++i) scale.v[i] = std::max(scale.v[i], size.v[i]);
  };
  for (const MachineType& t : *in.catalogue) grow(t.size);
  for (const MachineRoom* m : in.machines) {
    if (!m->open && !m->soon) continue;
    sites.push_back({{m->type, m->zone, m->spot}, m, false});
    bins.push_back({m->free});
  }
  for (const auto& b : in.booting) {
    const MachineType* t = type_of(b.type);
    if (!t) continue;
    sites.push_back({{b.type, b.zone, b.spot}, nullptr, false});
    bins.push_back({t->size});
  }

  // A zone most of whose machines are silent is cut off: new ones there could not be used either.
  std::map<std::string, std::pair<int, int>> silent;
  for (const MachineRoom* m : in.machines) {
    auto& zone = silent[m->zone];
    ++zone.second;
    if (m->silent) ++zone.first;
  }
  const auto cut_off = [&silent](const std::string& zone) {
    const auto z = silent.find(zone);
    return z != silent.end() && z->second.first >= 2 && z->second.first * 2 > z->second.second;
  };

  std::vector<Group> groups;
  for (const Demand& d : in.demand) {
    Group g;
    g.need = d.need;
    g.count = d.count;
    g.tier = d.tier;
    g.allowed = [&sites, &d](std::size_t b) {
      return !d.spec ||
             may_run(*d.spec, sites[b].kind.type, sites[b].kind.zone, sites[b].kind.spot);
    };
    g.placed = [&sites](std::size_t b) { sites[b].used = true; };
    groups.push_back(std::move(g));
  }
  pack(groups, bins, scale);

  // What found no room: the cheapest kind for the first group, then whatever else fits into it.
  std::vector<std::size_t> by_tier(groups.size());
  for (std::size_t g = 0; g < groups.size(); ++g) by_tier[g] = g;
  std::stable_sort(by_tier.begin(), by_tier.end(),
                   [&](std::size_t x, std::size_t y) { return groups[x].tier < groups[y].tier; });
  std::map<std::string, double> in_zone;
  for (const Site& s : sites) ++in_zone[s.kind.zone];
  double all = static_cast<double>(sites.size()) + 1;
  const auto cheapest =
      [&](std::size_t g) -> std::optional<std::pair<const MachineType*, MachineKind>> {
    const Demand& d = in.demand[g];
    const MachineType* best = nullptr;
    MachineKind kind;
    double least = 0;
    for (const MachineType& t : *in.catalogue) {
      for (const std::string& zone : t.zones) {
        for (const bool spot : {true, false}) {
          if (d.spec ? !may_run(*d.spec, t.name, zone, spot) : spot) continue;
          if (spot && in.spot_share <= 0) continue;
          if (d.spot_only && !spot) continue;
          if (cut_off(zone) && !(d.spec && d.spec->zone)) continue;
          const MachineKind k{t.name, zone, spot};
          const auto refused = in.refused.find(k);
          if (refused != in.refused.end() && in.now < refused->second) continue;
          double cost = cost_per_task(t, spot, d, groups[g].count);
          if (cost < 0) continue;
          // Equal prices: spread over the zones, so that no one fault takes all.
          cost *= 1.0 + kSpread * in_zone[zone] / all;
          // Services go where controllers are, and other work keeps out of the way.
          const bool service = !d.spec || d.spec->kind == protocol::Kind::kService;
          if (service != in.controller_zones.contains(zone))
            cost *= service ? kFarFromControllers : spot ? kInTheWay : kInServicesWay;
          if (!best || cost < least) {
            best = &t;
            kind = k;
            least = cost;
          }
        }
      }
    }
    if (!best) return {};
    return std::pair(best, kind);
  };
  std::size_t rented = 0;
  for (const std::size_t first : by_tier) {
    while (groups[first].count > 0 && rented < kMostAtOnce) {
      const auto best = cheapest(first);
      if (!best) break;
      const auto& [type, kind] = *best;
      const auto same = std::find_if(plan.rent.begin(), plan.rent.end(),
                                     [&k = kind](const Rent& r) { return r.kind == k; });
      if (same == plan.rent.end()) {
        plan.rent.push_back({kind, 1});
      } else {
        ++same->count;
      }
      ++rented;
      ++in_zone[kind.zone];
      ++all;
      sites.push_back({kind, nullptr, true});
      bins.push_back({type->size});
      Resources& free = bins.back().free;
      for (const std::size_t g : by_tier) {
        Group& group = groups[g];
        while (group.count > 0 && free.fits(group.need) && group.allowed(sites.size() - 1)) {
          free -= group.need;
          --group.count;
        }
      }
    }
  }

  // Machines whose services fit elsewhere, where their images are, at no one's cost: room that is
  // left after all that waits or is expected, on machines that stay anyway.
  if (in.calm && plan.rent.empty()) {
    struct Candidate {
      double gain;
      std::size_t site;
    };
    std::vector<Candidate> candidates;
    for (std::size_t b = 0; b < sites.size(); ++b) {
      const MachineRoom* m = sites[b].machine;
      const MachineType* type = m ? type_of(m->type) : nullptr;
      if (!type || m->spot || m->tasks == 0 || !m->open) continue;
      const auto movable = in.movable.find(m->id);
      if (movable == in.movable.end() || movable->second.empty()) continue;
      const double busy = type->size.cores() - m->free.cores();
      if (busy > type->size.cores() * kDrainBelow) continue;
      candidates.push_back({type->price / static_cast<double>(movable->second.size()), b});
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const Candidate& x, const Candidate& y) { return x.gain > y.gain; });
    const std::size_t most = std::max<std::size_t>(1, in.machines.size() / kDrainOneOf);
    std::set<std::size_t> leaving, filling;
    for (const Candidate& c : candidates) {
      if (plan.drain.size() >= most) break;
      if (filling.contains(c.site)) continue;
      std::vector<std::size_t> to;
      for (const protocol::JobSpec* spec : in.movable.at(sites[c.site].machine->id)) {
        std::size_t at = sites.size();
        for (std::size_t o = 0; o < sites.size() && at == sites.size(); ++o) {
          const MachineRoom* other = sites[o].machine;
          if (o == c.site || !other || !other->open || other->tasks == 0 || leaving.contains(o) ||
              !bins[o].free.fits(spec->need) ||
              !may_run(*spec, other->type, other->zone, other->spot) ||
              !other->has_image(spec->image)) {
            continue;
          }
          at = o;
        }
        if (at == sites.size()) break;
        bins[at].free -= spec->need;
        to.push_back(at);
      }
      const auto& services = in.movable.at(sites[c.site].machine->id);
      if (to.size() < services.size()) {
        for (std::size_t i = 0; i < to.size(); ++i) bins[to[i]].free += services[i]->need;
        continue;
      }
      leaving.insert(c.site);
      filling.insert(to.begin(), to.end());
      plan.drain.push_back(sites[c.site].machine->id);
    }
  }

  for (const Site& s : sites) {
    if (s.machine && !s.used && s.machine->tasks == 0 &&
        base::between(s.machine->idle_since, in.now) >= in.idle_return) {
      plan.close.push_back(s.machine->id);
    }
  }
  return plan;
}

}  // namespace saddleslip::coordination

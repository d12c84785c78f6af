#include "coordination/fleet.h"

#include <algorithm>
#include <cmath>

#include "coordination/packing.h"

namespace saddleslip::coordination {

namespace {

constexpr double kDrainBelow = 0.55;  // a machine that is busier than this is not emptied
constexpr double kFarFromControllers = 1.25;
constexpr double kInTheWay = 1.05;
constexpr std::size_t kMostAtOnce = 12;  // machines rented by one plan

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
  for (const MachineRoom& m : in.machines) {
    if (!m.open && !m.soon) continue;
    sites.push_back({{m.type, m.zone, m.spot}, &m, false});
    bins.push_back({m.free});
  }
  for (const auto& b : in.booting) {
    const MachineType* t = type_of(b.type);
    if (!t) continue;
    sites.push_back({{b.type, b.zone, b.spot}, nullptr, false});
    bins.push_back({t->size});
  }

  // A zone most of whose machines are silent is cut off: new ones there could not be used either.
  std::map<std::string, std::pair<int, int>> silent;
  for (const MachineRoom& m : in.machines) {
    ++silent[m.zone].second;
    if (m.silent) ++silent[m.zone].first;
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
  std::map<MachineKind, int> rent;
  std::size_t rented = 0;
  while (rented < kMostAtOnce) {
    std::size_t at = groups.size();
    for (std::size_t g = 0; g < groups.size(); ++g) {
      if (groups[g].count > 0 && (at == groups.size() || groups[g].tier < groups[at].tier)) at = g;
    }
    if (at == groups.size()) break;
    const Demand& d = in.demand[at];
    const MachineType* best = nullptr;
    MachineKind kind;
    double least = 0;
    for (const MachineType& t : *in.catalogue) {
      for (const std::string& zone : t.zones) {
        for (const bool spot : {true, false}) {
          if (d.spec ? !may_run(*d.spec, t.name, zone, spot) : spot) continue;
          if (spot && in.spot_share <= 0) continue;
          if (cut_off(zone) && !(d.spec && d.spec->zone)) continue;
          const MachineKind k{t.name, zone, spot};
          const auto refused = in.refused.find(k);
          if (refused != in.refused.end() && in.now < refused->second) {
            continue;
          }
          double cost = cost_per_task(t, spot, d, groups[at].count);
          if (cost < 0) continue;
          // Equal prices: spread over the zones, so that no one fault takes all.
          const auto have = std::count_if(sites.begin(), sites.end(),
                                          [&](const Site& s) { return s.kind.zone == zone; });
          cost *= 1.0 + 1e-4 * static_cast<double>(have);
          // Services go where controllers are, and other work keeps out of the way.
          const bool service = !d.spec || d.spec->kind == protocol::Kind::kService;
          if (service != in.controller_zones.contains(zone))
            cost *= service ? kFarFromControllers : kInTheWay;
          if (!best || cost < least) {
            best = &t;
            kind = k;
            least = cost;
          }
        }
      }
    }
    if (!best) {
      groups[at].count = 0;
      continue;
    }
    ++rent[kind];
    ++rented;
    sites.push_back({kind, nullptr, true});
    bins.push_back({best->size});
    // Only the new machine has room for any of them.
    std::vector<Bin> one = {bins.back()};
    const std::size_t index = sites.size() - 1;
    std::vector<Group> rest = groups;
    for (std::size_t g = 0; g < rest.size(); ++g) {
      rest[g].allowed = [&groups, g, index](std::size_t) {
        return !groups[g].allowed || groups[g].allowed(index);
      };
      rest[g].placed = nullptr;
    }
    pack(rest, one, scale);
    bool progress = false;
    for (std::size_t g = 0; g < groups.size(); ++g) {
      progress = progress || rest[g].count != groups[g].count;
      groups[g].count = rest[g].count;
    }
    if (!progress) groups[at].count = 0;
  }
  for (const auto& [kind, n] : rent) plan.rent.push_back({kind, n});

  if (in.calm && plan.rent.empty()) {
    double most = 0;
    for (std::size_t b = 0; b < sites.size(); ++b) {
      const MachineRoom* m = sites[b].machine;
      const MachineType* type = m ? type_of(m->type) : nullptr;
      if (!type || m->spot || m->tasks == 0) continue;
      const auto movable = in.movable.find(m->id);
      if (movable == in.movable.end() || movable->second.empty()) continue;
      const double busy = type->size.cores() - m->free.cores();
      if (busy > type->size.cores() * kDrainBelow) continue;
      // Room that is left after all that waits or is expected, on machines that stay anyway.
      std::vector<Bin> left = bins;
      bool all = true;
      for (const protocol::JobSpec* spec : movable->second) {
        std::size_t to = sites.size();
        for (std::size_t o = 0; o < sites.size() && to == sites.size(); ++o) {
          const MachineRoom* other = sites[o].machine;
          if (o == b || !other || other->tasks == 0 || !left[o].free.fits(spec->need) ||
              !may_run(*spec, other->type, other->zone, other->spot) ||
              !other->has_image(spec->image)) {
            continue;
          }
          to = o;
        }
        all = all && to < sites.size();
        if (!all) break;
        left[to].free -= spec->need;
      }
      const double gain = type->price / static_cast<double>(movable->second.size());
      if (all && gain > most) {
        most = gain;
        plan.drain = m->id;
      }
    }
  }

  for (const Site& s : sites) {
    if (s.machine && !s.used && s.machine->tasks == 0 &&
        Seconds(s.machine->idle_s) >= in.idle_return) {
      plan.close.push_back(s.machine->id);
    }
  }
  return plan;
}

}  // namespace saddleslip::coordination

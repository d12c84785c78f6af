#include "coordination/fleet/scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "coordination/scheduling/packing.h"

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
  while (fits < count && free.fits(d.request)) {
    free -= d.request;
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

namespace {

// The steps of one plan. What waits is packed into the room that there is, then into machines that
// are to be rented; what is left over shows which machines can go.
class ScalingPlanner {
 public:
  explicit ScalingPlanner(const ScalingInput& in) : in_(in) {}

  ScalingPlan run() {
    if (!in_.catalogue || in_.catalogue->empty()) return {};
    add_sites();
    count_silent();
    pack_demand();
    rent();
    if (in_.calm && plan_.scale_out.empty()) drain();
    cordon_idle();
    return std::move(plan_);
  }

 private:
  // A machine that there is, that boots, or that is to be rented. Its bin has the same index.
  struct Site {
    MachineKind kind;
    const MachineStatus* machine = nullptr;
    bool used = false;
  };
  struct Choice {
    const MachineType* type;
    MachineKind kind;
    double cost;
  };
  struct ZoneHealth {
    int silent = 0, all = 0;
  };

  const MachineType* type_of(const std::string& name) const {
    for (const MachineType& t : *in_.catalogue) {
      if (t.name == name) return &t;
    }
    return nullptr;
  }

  void add_sites();
  void count_silent();
  // A zone most of whose machines are silent is cut off: new ones there could not be used either.
  bool cut_off(const std::string& zone) const;
  void pack_demand();
  std::optional<double> cost_of(std::size_t group, const MachineType& type,
                                const MachineKind& kind) const;
  std::optional<Choice> cheapest(std::size_t group) const;
  void rent();
  void add_rental(const Choice& choice);
  void drain();
  bool empties(std::size_t site, const std::set<std::size_t>& leaving,
               std::vector<std::size_t>& to);
  void cordon_idle();

  const ScalingInput& in_;
  ScalingPlan plan_;
  std::vector<Site> sites_;
  std::vector<Bin> bins_;
  std::vector<Group> groups_;  // one for each demand
  std::vector<std::size_t> by_tier_;
  Resources scale_;
  std::map<std::string, ZoneHealth> health_;
  std::map<std::string, double> in_zone_;  // machines, those to be rented too
};

void ScalingPlanner::add_sites() {
  for (const MachineType& t : *in_.catalogue) {
    for (std::size_t i = 0; i < scale_.v.size(); ++i) {
      scale_.v[i] = std::max(scale_.v[i], t.size.v[i]);
    }
  }
  for (const MachineStatus* m : in_.machines) {
    if (!m->open && !m->soon) continue;
    sites_.push_back({{m->type, m->zone, m->spot}, m, false});
    bins_.push_back({m->free});
  }
  for (const auto& b : in_.booting) {
    const MachineType* t = type_of(b.type);
    if (!t) continue;
    sites_.push_back({{b.type, b.zone, b.spot}, nullptr, false});
    bins_.push_back({t->size});
  }
  for (const Site& s : sites_) ++in_zone_[s.kind.zone];
}

void ScalingPlanner::count_silent() {
  for (const MachineStatus* m : in_.machines) {
    ZoneHealth& zone = health_[m->zone];
    ++zone.all;
    if (m->silent) ++zone.silent;
  }
}

bool ScalingPlanner::cut_off(const std::string& zone) const {
  const auto z = health_.find(zone);
  return z != health_.end() && z->second.silent >= 2 && z->second.silent * 2 > z->second.all;
}

void ScalingPlanner::pack_demand() {
  groups_.reserve(in_.demand.size());
  for (const Demand& d : in_.demand) {
    Group g;
    g.request = d.request;
    g.count = d.count;
    g.tier = d.tier;
    g.allowed = [this, &d](std::size_t b) {
      const MachineKind& kind = sites_[b].kind;
      return !d.spec || may_run(*d.spec, kind.type, kind.zone, kind.spot);
    };
    g.placed = [this](std::size_t b) { sites_[b].used = true; };
    groups_.push_back(std::move(g));
  }
  pack(groups_, bins_, scale_);
  by_tier_.resize(groups_.size());
  for (std::size_t g = 0; g < groups_.size(); ++g) by_tier_[g] = g;
  std::stable_sort(by_tier_.begin(), by_tier_.end(), [this](std::size_t x, std::size_t y) {
    return groups_[x].tier < groups_[y].tier;
  });
}

// What a machine of this kind costs for each task of the group; none if it can't be had or used.
std::optional<double> ScalingPlanner::cost_of(std::size_t group, const MachineType& type,
                                              const MachineKind& kind) const {
  const Demand& d = in_.demand[group];
  if (d.spec ? !may_run(*d.spec, kind.type, kind.zone, kind.spot) : kind.spot) return {};
  if (kind.spot && in_.spot_share <= 0) return {};
  if (d.spot_only && !kind.spot) return {};
  if (cut_off(kind.zone) && !(d.spec && d.spec->zone)) return {};
  const auto refused = in_.refused.find(kind);
  if (refused != in_.refused.end() && in_.now < refused->second) return {};
  double cost = cost_per_task(type, kind.spot, d, groups_[group].count);
  if (cost < 0) return {};
  // Equal prices: spread over the zones, so that no one fault takes all.
  const auto there = in_zone_.find(kind.zone);
  const double count = there == in_zone_.end() ? 0 : there->second;
  cost *= 1.0 + kSpread * count / (static_cast<double>(sites_.size()) + 1);
  // Services go where controllers are, and other work keeps out of the way.
  const bool service = !d.spec || d.spec->kind == protocol::Kind::kService;
  if (service != in_.controller_zones.contains(kind.zone))
    cost *= service ? kFarFromControllers : kind.spot ? kInTheWay : kInServicesWay;
  return cost;
}

std::optional<ScalingPlanner::Choice> ScalingPlanner::cheapest(std::size_t group) const {
  std::optional<Choice> best;
  for (const MachineType& t : *in_.catalogue) {
    for (const std::string& zone : t.zones) {
      for (const bool spot : {true, false}) {
        const MachineKind kind{t.name, zone, spot};
        const auto cost = cost_of(group, t, kind);
        if (cost && (!best || *cost < best->cost)) best = Choice{&t, kind, *cost};
      }
    }
  }
  return best;
}

// What found no room: the cheapest kind for the first group, then whatever else fits into it.
void ScalingPlanner::rent() {
  std::size_t rented = 0;
  for (const std::size_t first : by_tier_) {
    while (groups_[first].count > 0 && rented < kMostAtOnce) {
      const auto best = cheapest(first);
      if (!best) break;
      add_rental(*best);
      ++rented;
    }
  }
}

void ScalingPlanner::add_rental(const Choice& choice) {
  const auto same = std::find_if(plan_.scale_out.begin(), plan_.scale_out.end(),
                                 [&](const ScaleOut& r) { return r.kind == choice.kind; });
  if (same == plan_.scale_out.end()) {
    plan_.scale_out.push_back({choice.kind, 1});
  } else {
    ++same->count;
  }
  ++in_zone_[choice.kind.zone];
  sites_.push_back({choice.kind, nullptr, true});
  bins_.push_back({choice.type->size});
  Resources& free = bins_.back().free;
  for (const std::size_t g : by_tier_) {
    Group& group = groups_[g];
    while (group.count > 0 && free.fits(group.request) && group.allowed(sites_.size() - 1)) {
      free -= group.request;
      --group.count;
    }
  }
}

// Machines whose services fit elsewhere, where their images are, at no one's cost: room that is left
// after all that waits or is expected, on machines that stay anyway.
void ScalingPlanner::drain() {
  struct Candidate {
    double gain;
    std::size_t site;
  };
  std::vector<Candidate> candidates;
  for (std::size_t b = 0; b < sites_.size(); ++b) {
    const MachineStatus* m = sites_[b].machine;
    const MachineType* type = m ? type_of(m->type) : nullptr;
    if (!type || m->spot || m->tasks == 0 || !m->open) continue;
    const auto movable = in_.movable.find(m->id);
    if (movable == in_.movable.end() || movable->second.empty()) continue;
    const double busy = type->size.cores() - m->free.cores();
    if (busy > type->size.cores() * kDrainBelow) continue;
    candidates.push_back({type->price / static_cast<double>(movable->second.size()), b});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& x, const Candidate& y) { return x.gain > y.gain; });
  const std::size_t most = std::max<std::size_t>(1, in_.machines.size() / kDrainOneOf);
  std::set<std::size_t> leaving, filling;
  for (const Candidate& c : candidates) {
    if (plan_.drain.size() >= most) break;
    std::vector<std::size_t> to;
    if (filling.contains(c.site) || !empties(c.site, leaving, to)) continue;
    leaving.insert(c.site);
    filling.insert(to.begin(), to.end());
    plan_.drain.push_back(sites_[c.site].machine->id);
  }
}

// Do all services of this machine fit elsewhere? Then the room for them is taken, and `to` says where.
bool ScalingPlanner::empties(std::size_t site, const std::set<std::size_t>& leaving,
                             std::vector<std::size_t>& to) {
  const auto& services = in_.movable.at(sites_[site].machine->id);
  const auto takes = [&](std::size_t o, const protocol::JobSpec& spec) {
    const MachineStatus* other = sites_[o].machine;
    return o != site && other && other->open && other->tasks > 0 && !leaving.contains(o) &&
           bins_[o].free.fits(spec.request) &&
           may_run(spec, other->type, other->zone, other->spot) && other->has_image(spec.image);
  };
  for (const protocol::JobSpec* spec : services) {
    std::size_t at = 0;
    while (at < sites_.size() && !takes(at, *spec)) ++at;
    if (at == sites_.size()) break;
    bins_[at].free -= spec->request;
    to.push_back(at);
  }
  if (to.size() == services.size()) return true;
  for (std::size_t i = 0; i < to.size(); ++i) bins_[to[i]].free += services[i]->request;
  return false;
}

void ScalingPlanner::cordon_idle() {
  for (const Site& s : sites_) {
    if (s.machine && !s.used && s.machine->tasks == 0 &&
        base::between(s.machine->idle_since, in_.now) >= in_.idle_return) {
      plan_.cordon.push_back(s.machine->id);
    }
  }
}

}  // namespace

ScalingPlan plan_scaling(const ScalingInput& in) {
  return ScalingPlanner(in).run();
}

}  // namespace saddleslip::coordination

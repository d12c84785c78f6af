#include "coordination/fleet/scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "coordination/scheduling/packing.h"

namespace saddleslip::coordination {

namespace {

constexpr double kMaxDrainedUse = 0.55;  // a machine with a higher share of cores in use stays
constexpr std::size_t kMaxRented = 200;  // machines rented by one plan
constexpr std::size_t kMachinesPerDrain = 40;  // one machine of so many is drained at a time

// Factors on the price of a machine in the wrong zone. Services run where
// controllers are, and other work should leave these zones to them.
constexpr double kServiceFarFromControllers = 1.6;
constexpr double kOtherWorkOnSpotNearControllers = 1.05;
constexpr double kOtherWorkOnDemandNearControllers = 1.3;  // services run on these machines only
// By how much a zone that has all machines already is dearer than one that has
// none.
constexpr double kZoneSpread = 0.02;

// A zone counts as cut off with so many silent machines, if they are more than
// half of its machines.
constexpr int kMinSilentOfCutOffZone = 2;

// The price of a machine of this type for each task of the demand that it would
// be filled with; none if not one fits.
std::optional<double> price_per_task(const MachineType& type, bool spot, const Demand& demand,
                                     std::size_t count) {
  Resources free = type.size;
  std::size_t tasks = 0;
  while (tasks < count && free.fits(demand.request)) {
    free -= demand.request;
    ++tasks;
  }
  if (tasks == 0) return {};
  return (spot ? type.spot_price : type.price) / static_cast<double>(tasks);
}

// The steps of one plan. Demand is packed into the free capacity that there is,
// then into machines that are to be rented; machines that no demand was packed
// into can go.
class ScalingPlanner {
 public:
  explicit ScalingPlanner(const ScalingInput& input) : input_(input) {}

  ScalingPlan run() {
    if (!input_.catalogue || input_.catalogue->empty()) return {};
    add_hosts();
    count_silent_machines();
    pack_demand();
    rent();
    if (input_.may_drain && plan_.scale_out.empty()) drain();
    cordon_idle();
    return std::move(plan_);
  }

 private:
  // A machine that there is, that boots, or that is to be rented. Its bin has
  // the same index.
  struct Host {
    MachineKind kind;
    const MachineStatus* machine = nullptr;  // if it reports already
    bool used = false;                       // some demand was packed into it
  };
  struct Choice {
    const MachineType* type;
    MachineKind kind;
    double cost;
  };
  struct ZoneHealth {
    int silent = 0;
    int all = 0;
  };
  struct DrainCandidate {
    double saved_per_service;  // of the machine's price
    std::size_t host;
  };

  const MachineType* type_of(const std::string& name) const;
  void add_hosts();
  void add_host(const MachineKind& kind, const MachineStatus* machine, const Resources& free);
  void count_silent_machines();
  // Are most of the zone's machines silent? New ones there could not be used
  // either.
  bool is_cut_off(const std::string& zone) const;
  void pack_demand();
  bool may_rent(const Demand& demand, const MachineKind& kind) const;
  double placement_factor(const Demand& demand, const MachineKind& kind) const;
  std::optional<double> cost_of(std::size_t group, const MachineType& type,
                                const MachineKind& kind) const;
  std::optional<Choice> cheapest(std::size_t group) const;
  void rent();
  void add_rental(const Choice& choice);
  void drain();
  std::vector<DrainCandidate> drain_candidates() const;
  // Moves all services of this host to others, if they fit there; returns these
  // others, or nothing if some service fits nowhere.
  std::optional<std::vector<std::size_t>> move_services(std::size_t host,
                                                        const std::set<std::size_t>& leaving);
  std::optional<std::size_t> host_for(const protocol::JobSpec& service, std::size_t from,
                                      const std::set<std::size_t>& leaving) const;
  void cordon_idle();

  const ScalingInput& input_;
  ScalingPlan plan_;
  std::vector<Host> hosts_;
  std::vector<Bin> bins_;
  std::vector<Group> groups_;               // one for each demand
  std::vector<std::size_t> group_by_tier_;  // indices of groups
  Resources scale_;
  std::map<std::string, ZoneHealth> health_;        // by zone
  std::map<std::string, double> machines_in_zone_;  // those to be rented too
};

const MachineType* ScalingPlanner::type_of(const std::string& name) const {
  for (const MachineType& type : *input_.catalogue) {
    if (type.name == name) return &type;
  }
  return nullptr;
}

void ScalingPlanner::add_hosts() {
  for (const MachineType& type : *input_.catalogue) {
    for (std::size_t i = 0; i < scale_.v.size(); ++i) {
      scale_.v[i] = std::max(scale_.v[i], type.size.v[i]);
    }
  }
  for (const MachineStatus* machine : input_.machines) {
    if (!machine->open && !machine->soon) continue;
    add_host({machine->type, machine->zone, machine->spot}, machine, machine->free);
  }
  for (const protocol::Booting& booting : input_.booting) {
    const MachineType* type = type_of(booting.type);
    if (type) add_host({booting.type, booting.zone, booting.spot}, nullptr, type->size);
  }
}

void ScalingPlanner::add_host(const MachineKind& kind, const MachineStatus* machine,
                              const Resources& free) {
  hosts_.push_back({kind, machine, false});
  bins_.push_back({free});
  ++machines_in_zone_[kind.zone];
}

void ScalingPlanner::count_silent_machines() {
  for (const MachineStatus* machine : input_.machines) {
    ZoneHealth& zone = health_[machine->zone];
    ++zone.all;
    if (machine->silent) ++zone.silent;
  }
}

bool ScalingPlanner::is_cut_off(const std::string& zone) const {
  const auto at = health_.find(zone);
  if (at == health_.end()) return false;
  const ZoneHealth& health = at->second;
  return health.silent >= kMinSilentOfCutOffZone && health.silent * 2 > health.all;
}

void ScalingPlanner::pack_demand() {
  groups_.reserve(input_.demand.size());
  for (const Demand& demand : input_.demand) {
    Group group;
    group.request = demand.request;
    group.count = demand.count;
    group.tier = demand.tier;
    group.allowed = [this, &demand](std::size_t bin) {
      const MachineKind& kind = hosts_[bin].kind;
      return !demand.spec || may_run(*demand.spec, kind.type, kind.zone, kind.spot);
    };
    group.placed = [this](std::size_t bin) { hosts_[bin].used = true; };
    groups_.push_back(std::move(group));
  }
  pack(groups_, bins_, scale_);
  group_by_tier_.resize(groups_.size());
  for (std::size_t i = 0; i < groups_.size(); ++i) group_by_tier_[i] = i;
  std::stable_sort(
      group_by_tier_.begin(), group_by_tier_.end(),
      [this](std::size_t a, std::size_t b) { return groups_[a].tier < groups_[b].tier; });
}

// Can such a machine be had now, and would the demand use it?
bool ScalingPlanner::may_rent(const Demand& demand, const MachineKind& kind) const {
  if (demand.spec ? !may_run(*demand.spec, kind.type, kind.zone, kind.spot) : kind.spot)
    return false;
  if (kind.spot && input_.spot_share <= 0) return false;
  if (demand.spot_only && !kind.spot) return false;
  if (is_cut_off(kind.zone) && !(demand.spec && demand.spec->zone)) return false;
  const auto backoff = input_.retry_at.find(kind);
  return backoff == input_.retry_at.end() || input_.now >= backoff->second;
}

double ScalingPlanner::placement_factor(const Demand& demand, const MachineKind& kind) const {
  const bool is_service = !demand.spec || demand.spec->kind == protocol::Kind::kService;
  if (is_service == input_.controller_zones.contains(kind.zone)) return 1.0;
  if (is_service) return kServiceFarFromControllers;
  return kind.spot ? kOtherWorkOnSpotNearControllers : kOtherWorkOnDemandNearControllers;
}

// What a machine of this kind costs for each task of the group; none if it
// can't be had or used.
std::optional<double> ScalingPlanner::cost_of(std::size_t group, const MachineType& type,
                                              const MachineKind& kind) const {
  const Demand& demand = input_.demand[group];
  if (!may_rent(demand, kind)) return {};
  const auto price = price_per_task(type, kind.spot, demand, groups_[group].count);
  if (!price) return {};
  // Equal prices: spread over the zones, so that no one fault takes all
  // machines.
  const auto in_zone = machines_in_zone_.find(kind.zone);
  const double there = in_zone == machines_in_zone_.end() ? 0 : in_zone->second;
  const double spread = 1.0 + kZoneSpread * there / (static_cast<double>(hosts_.size()) + 1);
  return *price * spread * placement_factor(demand, kind);
}

std::optional<ScalingPlanner::Choice> ScalingPlanner::cheapest(std::size_t group) const {
  std::optional<Choice> best;
  for (const MachineType& type : *input_.catalogue) {
    for (const std::string& zone : type.zones) {
      for (const bool spot : {true, false}) {
        const MachineKind kind{type.name, zone, spot};
        const auto cost = cost_of(group, type, kind);
        if (cost && (!best || *cost < best->cost)) best = Choice{&type, kind, *cost};
      }
    }
  }
  return best;
}

// For demand that found no capacity: the cheapest kind for the first group,
// which is then filled with whatever else fits.
void ScalingPlanner::rent() {
  std::size_t rented = 0;
  for (const std::size_t group : group_by_tier_) {
    while (groups_[group].count > 0 && rented < kMaxRented) {
      const auto best = cheapest(group);
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
  add_host(choice.kind, nullptr, choice.type->size);
  const std::size_t host = hosts_.size() - 1;
  hosts_[host].used = true;
  Resources& free = bins_[host].free;
  for (const std::size_t index : group_by_tier_) {
    Group& group = groups_[index];
    while (group.count > 0 && free.fits(group.request) && group.allowed(host)) {
      free -= group.request;
      --group.count;
    }
  }
}

// Empties machines whose services fit on others that have their images: into
// capacity that is left after all demand, on machines that stay anyway.
void ScalingPlanner::drain() {
  const std::size_t most = std::max<std::size_t>(1, input_.machines.size() / kMachinesPerDrain);
  std::set<std::size_t> leaving, receiving;
  for (const DrainCandidate& candidate : drain_candidates()) {
    if (plan_.drain.size() >= most) break;
    if (receiving.contains(candidate.host)) continue;
    const auto receivers = move_services(candidate.host, leaving);
    if (!receivers) continue;
    leaving.insert(candidate.host);
    receiving.insert(receivers->begin(), receivers->end());
    plan_.drain.push_back(hosts_[candidate.host].machine->id);
  }
}

// Machines of which little is in use, the ones that save most for each service
// moved first.
std::vector<ScalingPlanner::DrainCandidate> ScalingPlanner::drain_candidates() const {
  std::vector<DrainCandidate> candidates;
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    const MachineStatus* machine = hosts_[host].machine;
    const MachineType* type = machine ? type_of(machine->type) : nullptr;
    if (!type || machine->spot || machine->tasks == 0 || !machine->open) continue;
    const auto services = input_.movable_services.find(machine->id);
    if (services == input_.movable_services.end() || services->second.empty()) continue;
    const double used_cores = type->size.cores() - machine->free.cores();
    if (used_cores > type->size.cores() * kMaxDrainedUse) continue;
    candidates.push_back({type->price / static_cast<double>(services->second.size()), host});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const DrainCandidate& a, const DrainCandidate& b) {
                     return a.saved_per_service > b.saved_per_service;
                   });
  return candidates;
}

std::optional<std::vector<std::size_t>> ScalingPlanner::move_services(
    std::size_t host, const std::set<std::size_t>& leaving) {
  const auto& services = input_.movable_services.at(hosts_[host].machine->id);
  std::vector<std::size_t> receivers;
  for (const protocol::JobSpec* service : services) {
    const auto receiver = host_for(*service, host, leaving);
    if (!receiver) break;
    bins_[*receiver].free -= service->request;
    receivers.push_back(*receiver);
  }
  if (receivers.size() == services.size()) return receivers;
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    bins_[receivers[i]].free += services[i]->request;
  }
  return {};
}

std::optional<std::size_t> ScalingPlanner::host_for(const protocol::JobSpec& service,
                                                    std::size_t from,
                                                    const std::set<std::size_t>& leaving) const {
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    const MachineStatus* machine = hosts_[host].machine;
    if (host != from && machine && machine->open && machine->tasks > 0 && !leaving.contains(host) &&
        bins_[host].free.fits(service.request) &&
        may_run(service, machine->type, machine->zone, machine->spot) &&
        machine->has_image(service.image)) {
      return host;
    }
  }
  return {};
}

void ScalingPlanner::cordon_idle() {
  for (const Host& host : hosts_) {
    const MachineStatus* machine = host.machine;
    if (machine && !host.used && machine->tasks == 0 &&
        base::between(machine->idle_since, input_.now) >= input_.idle_return) {
      plan_.cordon.push_back(machine->id);
    }
  }
}

}  // namespace

bool may_run(const protocol::JobSpec& spec, const std::string& type, const std::string& zone,
             bool spot) {
  if (spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != zone) return false;
  return !spec.types ||
         std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

ScalingPlan plan_scaling(const ScalingInput& input) {
  return ScalingPlanner(input).run();
}

}  // namespace saddleslip::coordination

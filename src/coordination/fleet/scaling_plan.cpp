#include "coordination/fleet/scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "coordination/scheduling/packing.h"

namespace saddleslip::coordination {

namespace {

// A machine with a higher share of its cores in use is not drained.
constexpr double kMaxCoreUseToDrain = 0.55;
constexpr std::size_t kMaxRentedPerPlan = 200;
// The number of machines is divided by this to get how many one plan may drain; one is always
// allowed.
constexpr std::size_t kMachinesPerDrain = 40;

// Factors on the price of a machine in an unsuitable zone. Services are placed in the zones of the
// controllers, and other work is kept out of these zones.
constexpr double kServiceOutsideControllerZonesFactor = 1.6;
constexpr double kSpotInControllerZonesFactor = 1.05;
// Higher than the factor for spot instances, because services run only on on-demand machines.
constexpr double kOnDemandInControllerZonesFactor = 1.3;
// Prices are raised by up to this fraction for a zone, in proportion to the share of all machines
// that it already holds.
constexpr double kZoneSpreadWeight = 0.02;

// The minimum number of silent machines in a zone that is considered cut off. They must also be
// more than half of its machines.
constexpr int kMinSilentInCutOffZone = 2;

// Returns the price of a machine of this type per task of the demand, when filled with its tasks,
// or nothing if none of them fits.
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

// Builds one plan step by step. Demand is packed first into the free capacity of running and
// booting machines, then into machines to be rented. Machines without any demand may be released.
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
  // A running or booting machine, or one to be rented. `bins_` has its free capacity at the same
  // index.
  struct Host {
    MachineKind kind;
    const MachineStatus* machine = nullptr;  // null unless the machine reports to a member
    bool is_needed = false;                  // demand was packed into it, or it is to be rented
  };
  // A kind of machine that could be rented for a group of tasks, and its cost for each task.
  struct RentalOption {
    const MachineType* type;
    MachineKind kind;
    double cost;
  };
  // The numbers of silent and of all reporting machines in a zone.
  struct ZoneHealth {
    int silent = 0;
    int total = 0;
  };
  // A host that could be drained.
  struct DrainCandidate {
    double saved_price_per_service;  // price of the machine for each service that has to move
    std::size_t host;
  };

  // Returns the catalogue's entry for this type, or null if there is none.
  const MachineType* type_of(const std::string& name) const;
  // Adds the running and booting machines as hosts.
  void add_hosts();
  void add_host(const MachineKind& kind, const MachineStatus* machine, const Resources& free);
  // Counts the silent machines of each zone.
  void count_silent_machines();
  // Returns whether most of the zone's machines are silent. New machines there could not be used
  // either.
  bool is_cut_off(const std::string& zone) const;
  // Packs the demand into the hosts.
  void pack_demand();
  // Returns whether a machine of this kind can be rented now and could run the demand.
  bool may_rent(const Demand& demand, const MachineKind& kind) const;
  // Returns the factor on the price for how well the zone suits the demand.
  double placement_factor(const Demand& demand, const MachineKind& kind) const;
  // Returns the cost of this kind of machine for each task of the group, or nothing if it cannot be
  // rented or used.
  std::optional<double> cost_of(std::size_t group, const MachineType& type,
                                const MachineKind& kind) const;
  // Returns the cheapest kind of machine that can be rented for the group, if any.
  std::optional<RentalOption> cheapest(std::size_t group) const;
  // Adds machines to the plan for demand that no host has capacity for.
  void rent();
  // Adds one machine to be rented to the plan, and fills it with demand.
  void add_rented_host(const RentalOption& option);
  // Adds machines to the plan whose services can move to other machines.
  void drain();
  // Returns the hosts that run services and have few cores in use, by descending savings for each
  // service to move.
  std::vector<DrainCandidate> drain_candidates() const;
  // Moves all services of this host to other hosts if there is room for all of them. Returns the
  // receiving hosts, or nothing if some service does not fit anywhere.
  std::optional<std::vector<std::size_t>> move_services(
      std::size_t host, const std::set<std::size_t>& draining_hosts);
  // Returns a host with room and the image for the service, or nothing if there is none.
  std::optional<std::size_t> host_for(const protocol::JobSpec& service, std::size_t from,
                                      const std::set<std::size_t>& draining_hosts) const;
  // Adds idle machines without demand to the plan, to be cordoned.
  void cordon_idle();

  const ScalingInput& input_;
  ScalingPlan plan_;
  std::vector<Host> hosts_;
  std::vector<Bin> bins_;
  std::vector<PackingGroup> groups_;        // one for each entry of the demand, at the same index
  std::vector<std::size_t> group_by_tier_;  // indices of groups, the most urgent tier first
  // The largest size of any machine type in each dimension, for packing.
  Resources scale_;
  std::map<std::string, ZoneHealth> zone_health_;   // by zone name
  std::map<std::string, double> machines_in_zone_;  // including machines to be rented
};

const MachineType* ScalingPlanner::type_of(const std::string& name) const {
  for (const MachineType& type : *input_.catalogue) {
    if (type.name == name) return &type;
  }
  return nullptr;
}

void ScalingPlanner::add_hosts() {
  for (const MachineType& type : *input_.catalogue) {
    for (std::size_t i = 0; i < scale_.amounts.size(); ++i) {
      scale_.amounts[i] = std::max(scale_.amounts[i], type.size.amounts[i]);
    }
  }
  for (const MachineStatus* machine : input_.machines) {
    if (!machine->open && !machine->awaits_confirmation) continue;
    add_host({machine->type, machine->zone, machine->spot}, machine, machine->free);
  }
  for (const protocol::BootingMachine& booting : input_.booting) {
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
    ZoneHealth& zone = zone_health_[machine->zone];
    ++zone.total;
    if (machine->is_silent) ++zone.silent;
  }
}

bool ScalingPlanner::is_cut_off(const std::string& zone) const {
  const auto found = zone_health_.find(zone);
  if (found == zone_health_.end()) return false;
  const ZoneHealth& health = found->second;
  return health.silent >= kMinSilentInCutOffZone && health.silent * 2 > health.total;
}

void ScalingPlanner::pack_demand() {
  groups_.reserve(input_.demand.size());
  for (const Demand& demand : input_.demand) {
    PackingGroup group;
    group.request = demand.request;
    group.count = demand.count;
    group.tier = demand.tier;
    group.may_place = [this, &demand](std::size_t bin) {
      const MachineKind& kind = hosts_[bin].kind;
      return !demand.spec || may_run(*demand.spec, kind.type, kind.zone, kind.spot);
    };
    group.on_placed = [this](std::size_t bin) { hosts_[bin].is_needed = true; };
    groups_.push_back(std::move(group));
  }
  pack(groups_, bins_, scale_);
  group_by_tier_.resize(groups_.size());
  for (std::size_t i = 0; i < groups_.size(); ++i) group_by_tier_[i] = i;
  std::stable_sort(
      group_by_tier_.begin(), group_by_tier_.end(),
      [this](std::size_t a, std::size_t b) { return groups_[a].tier < groups_[b].tier; });
}

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
  if (is_service) return kServiceOutsideControllerZonesFactor;
  return kind.spot ? kSpotInControllerZonesFactor : kOnDemandInControllerZonesFactor;
}

std::optional<double> ScalingPlanner::cost_of(std::size_t group, const MachineType& type,
                                              const MachineKind& kind) const {
  const Demand& demand = input_.demand[group];
  if (!may_rent(demand, kind)) return {};
  const auto price = price_per_task(type, kind.spot, demand, groups_[group].count);
  if (!price) return {};
  // At equal prices, machines are spread over the zones, so that the failure of one zone does not
  // take all of them.
  const auto in_zone = machines_in_zone_.find(kind.zone);
  const double machines_in_this_zone = in_zone == machines_in_zone_.end() ? 0 : in_zone->second;
  const double spread_factor =
      1.0 + kZoneSpreadWeight * machines_in_this_zone / (static_cast<double>(hosts_.size()) + 1);
  return *price * spread_factor * placement_factor(demand, kind);
}

std::optional<ScalingPlanner::RentalOption> ScalingPlanner::cheapest(std::size_t group) const {
  std::optional<RentalOption> best;
  for (const MachineType& type : *input_.catalogue) {
    for (const std::string& zone : type.zones) {
      for (const bool spot : {true, false}) {
        const MachineKind kind{type.name, zone, spot};
        const auto cost = cost_of(group, type, kind);
        if (cost && (!best || *cost < best->cost)) best = RentalOption{&type, kind, *cost};
      }
    }
  }
  return best;
}

// Rents the cheapest kind for the most urgent group without capacity, and fills each new machine
// with all demand that fits.
void ScalingPlanner::rent() {
  std::size_t rented = 0;
  for (const std::size_t group : group_by_tier_) {
    while (groups_[group].count > 0 && rented < kMaxRentedPerPlan) {
      const auto best = cheapest(group);
      if (!best) break;
      add_rented_host(*best);
      ++rented;
    }
  }
}

void ScalingPlanner::add_rented_host(const RentalOption& option) {
  const auto existing =
      std::find_if(plan_.scale_out.begin(), plan_.scale_out.end(),
                   [&](const ScaleOut& rental) { return rental.kind == option.kind; });
  if (existing == plan_.scale_out.end()) {
    plan_.scale_out.push_back({option.kind, 1});
  } else {
    ++existing->count;
  }
  add_host(option.kind, nullptr, option.type->size);
  const std::size_t host = hosts_.size() - 1;
  hosts_[host].is_needed = true;
  Resources& free = bins_[host].free;
  for (const std::size_t index : group_by_tier_) {
    PackingGroup& group = groups_[index];
    while (group.count > 0 && free.fits(group.request) && group.may_place(host)) {
      free -= group.request;
      --group.count;
    }
  }
}

// Drains machines whose services fit on other machines that hold their images. Services are moved
// only into capacity that remains after all demand is packed, on machines that are kept.
void ScalingPlanner::drain() {
  const std::size_t max_drained =
      std::max<std::size_t>(1, input_.machines.size() / kMachinesPerDrain);
  std::set<std::size_t> draining_hosts, receiving_hosts;
  for (const DrainCandidate& candidate : drain_candidates()) {
    if (plan_.drain.size() >= max_drained) break;
    if (receiving_hosts.contains(candidate.host)) continue;
    const auto receivers = move_services(candidate.host, draining_hosts);
    if (!receivers) continue;
    draining_hosts.insert(candidate.host);
    receiving_hosts.insert(receivers->begin(), receivers->end());
    plan_.drain.push_back(hosts_[candidate.host].machine->id);
  }
}

std::vector<ScalingPlanner::DrainCandidate> ScalingPlanner::drain_candidates() const {
  std::vector<DrainCandidate> candidates;
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    const MachineStatus* machine = hosts_[host].machine;
    const MachineType* type = machine ? type_of(machine->type) : nullptr;
    if (!type || machine->spot || machine->tasks == 0 || !machine->open) continue;
    const auto services = input_.movable_services.find(machine->id);
    if (services == input_.movable_services.end() || services->second.empty()) continue;
    const double used_cores = type->size.cores() - machine->free.cores();
    if (used_cores > type->size.cores() * kMaxCoreUseToDrain) continue;
    candidates.push_back({type->price / static_cast<double>(services->second.size()), host});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const DrainCandidate& a, const DrainCandidate& b) {
                     return a.saved_price_per_service > b.saved_price_per_service;
                   });
  return candidates;
}

std::optional<std::vector<std::size_t>> ScalingPlanner::move_services(
    std::size_t host, const std::set<std::size_t>& draining_hosts) {
  const auto& services = input_.movable_services.at(hosts_[host].machine->id);
  std::vector<std::size_t> receivers;
  for (const protocol::JobSpec* service : services) {
    const auto receiver = host_for(*service, host, draining_hosts);
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

std::optional<std::size_t> ScalingPlanner::host_for(
    const protocol::JobSpec& service, std::size_t from,
    const std::set<std::size_t>& draining_hosts) const {
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    const MachineStatus* machine = hosts_[host].machine;
    if (host != from && machine && machine->open && machine->tasks > 0 &&
        !draining_hosts.contains(host) && bins_[host].free.fits(service.request) &&
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
    if (machine && !host.is_needed && machine->tasks == 0 &&
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

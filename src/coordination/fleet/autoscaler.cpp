#include "coordination/fleet/autoscaler.h"

#include <algorithm>
#include <map>

namespace saddleslip::coordination {

namespace {

constexpr Seconds kDrainDelayAfterDemand{10.0};  // after the last task without capacity
constexpr Seconds kDrainInterval{3.0};           // between the drains of two machines
// The part of a value in the state service that is not available to the list of booting machines.
constexpr std::size_t kFleetRecordOverheadBytes = 1024;
// After a change of leader or of ownership, the autoscaler waits for this many heartbeat intervals
// plus a margin, so that all machines have reported to their owners.
constexpr double kSettleHeartbeats = 2.0;
constexpr Seconds kSettleMargin{1.0};
// A listed machine that reports to no member for longer than this, in worker leases plus the lag of
// the list, is released.
constexpr double kUnreportedLeases = 2.0;

}  // namespace

Autoscaler::Autoscaler(const base::Settings& settings, const storage::StateCache& cache,
                       const JobPriorities& priorities)
    : settings_(settings), cache_(cache), demand_(settings, cache, priorities), booting_(cache) {}

void Autoscaler::become_leader(Time now) {
  leader_since_ = now;
  booting_.load();
  releases_.clear();
}

ScalingActions Autoscaler::plan(const FleetStatus& fleet, const ReleaseRequests& requests,
                                const JobPredicate& is_crash_looping) {
  ScalingActions actions;
  arrivals_.update(cache_, fleet.now);
  actions.release = releases_.machines_to_release(requests, fleet);
  if (!is_settled(fleet)) return actions;
  release_failed_boots(fleet, actions.release);
  ScalingInput input = scaling_input(fleet);
  add_demand(input, is_crash_looping);
  input.may_drain = may_drain(fleet.now);
  if (input.may_drain) input.movable_services = demand_.movable_services();
  actions.plan = plan_scaling(input);
  if (!actions.plan.scale_out.empty()) last_unplaced_work_at_ = fleet.now;
  actions.own_machine_requests = request_from_owners(actions.plan, fleet);
  return actions;
}

// While the machines of a partition are unknown, demand may already have capacity there, and
// renting for it would pay twice.
bool Autoscaler::is_settled(const FleetStatus& fleet) const {
  const Seconds settle = settings_.heartbeat_interval * kSettleHeartbeats + kSettleMargin;
  const Time changed_at = std::max(leader_since_, fleet.view_installed_at);
  return fleet.partitions.size() >= cache_.view()->members.size() &&
         base::between(changed_at, fleet.now) >= settle;
}

bool Autoscaler::may_drain(Time now) const {
  return base::between(std::max(last_unplaced_work_at_, leader_since_), now) >
             kDrainDelayAfterDemand &&
         base::between(last_drain_at_, now) > kDrainInterval;
}

void Autoscaler::release_failed_boots(const FleetStatus& fleet, std::vector<MachineId>& release) {
  for (const MachineId& id : booting_.remove_finished_boots(fleet)) {
    release.push_back(id);
    releases_.add(id);
  }
}

ScalingInput Autoscaler::scaling_input(const FleetStatus& fleet) const {
  ScalingInput input;
  input.now = fleet.now;
  input.catalogue = &cache_.catalogue();
  input.retry_at = backoff_.retry_at();
  input.idle_return = settings_.tuning.idle_return;
  input.controller_zones = settings_.controller_zones;
  input.spot_share = settings_.tuning.spot_share;
  for (const OwnedMachines& partition : fleet.partitions) {
    input.machines.insert(input.machines.end(), partition.machines.begin(),
                          partition.machines.end());
  }
  input.booting = booting_.likely_to_boot(fleet.now, fleet.wall_now);
  return input;
}

void Autoscaler::add_demand(ScalingInput& input, const JobPredicate& is_crash_looping) {
  input.demand = demand_.waiting_demand(is_crash_looping, input.now);
  if (!input.demand.empty()) last_unplaced_work_at_ = input.now;
  const ServiceArrivals::ForecastParameters forecast{leader_since_, demand_.shortest_boot_time(),
                                                     settings_.tuning.headroom};
  const std::vector<Demand> expected = arrivals_.expected_demand(forecast, input.now);
  input.demand.insert(input.demand.end(), expected.begin(), expected.end());
}

MachineRequests Autoscaler::request_from_owners(const ScalingPlan& plan, const FleetStatus& fleet) {
  std::map<MachineId, base::MemberId> owner;
  for (const OwnedMachines& partition : fleet.partitions) {
    for (const MachineStatus* machine : partition.machines) owner[machine->id] = partition.owner;
  }
  MachineRequests own_requests;
  for (const MachineId& id : plan.drain) {
    last_drain_at_ = fleet.now;
    if (owner[id] == fleet.self) {
      own_requests.drain.push_back(id);
    } else {
      requests_.add_drain(owner[id], id);
    }
  }
  for (const MachineId& id : plan.cordon) {
    if (owner[id] == fleet.self) {
      own_requests.cordon.push_back(id);
    } else {
      requests_.add_cordon(owner[id], id);
    }
  }
  return own_requests;
}

void Autoscaler::review_list(const std::vector<CloudMachine>& cloud_machines,
                             const FleetStatus& fleet) {
  std::set<MachineId> known_machines = fleet.reporting_machines();
  for (const protocol::BootingMachine& machine : booting_.all()) known_machines.insert(machine.id);
  std::set<MachineId> listed;
  for (const CloudMachine& machine : cloud_machines) {
    listed.insert(machine.id);
    if (!fleet.is_released(machine.id)) review_machine(machine, known_machines, fleet);
  }
  releases_.forget_unlisted(listed);
}

void Autoscaler::review_machine(const CloudMachine& machine,
                                const std::set<MachineId>& known_machines,
                                const FleetStatus& fleet) {
  if (machine.state == protocol::CloudState::kFailed) {
    releases_.add(machine.id);
  } else if (known_machines.contains(machine.id)) {
    releases_.record_reporting(machine.id);
  } else if (!booting_.adopt(machine, fleet.wall_now)) {
    const Seconds limit = settings_.worker_lease * kUnreportedLeases + settings_.list_lag;
    releases_.record_unreported(machine.id, fleet, limit);
  }
}

void Autoscaler::record_rented(const MachineKind& kind, const std::vector<MachineId>& machines,
                               double wall_now) {
  for (const MachineId& id : machines) {
    booting_.add(id, kind, wall_now);
    backoff_.record_success(kind);
  }
}

void Autoscaler::record_out_of_capacity(const MachineKind& kind, Time now) {
  backoff_.record_refusal(kind, now);
}

void Autoscaler::record_released(const std::vector<MachineId>& machines) {
  for (const MachineId& id : machines) releases_.remove(id);
}

protocol::Transaction Autoscaler::booting_record() const {
  protocol::Transaction transaction;
  transaction.preconditions[protocol::kLeaderKey] = cache_.version(protocol::kLeaderKey);
  transaction.writes.push_back(
      {protocol::kFleetKey,
       to_json(booting_.all(), settings_.value_bytes - kFleetRecordOverheadBytes),
       {}});
  return transaction;
}

}  // namespace saddleslip::coordination

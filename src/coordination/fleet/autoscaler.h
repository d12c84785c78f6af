// The autoscaler: decides for the leader which machines to rent, drain, cordon
// and release.
//
// Demand (waiting tasks, expected services) is packed into the machines that
// there are and that are booting; what finds no capacity is rented, what is
// left over is drained, cordoned and released. The autoscaler calls nobody: its
// owner carries out the actions and records what came of them.
//
// Takes the time as an argument. Not safe for use from several threads at once:
// the owner locks.
#pragma once

#include <vector>

#include "base/settings.h"
#include "coordination/fleet/booting_machines.h"
#include "coordination/fleet/capacity_backoff.h"
#include "coordination/fleet/demand_estimator.h"
#include "coordination/fleet/fleet_status.h"
#include "coordination/fleet/member_requests.h"
#include "coordination/fleet/pending_releases.h"
#include "coordination/fleet/scaling_plan.h"
#include "coordination/fleet/service_arrivals.h"

namespace saddleslip::coordination {

// What is to be done now.
struct ScalingActions {
  ScalingPlan plan;                // whose `scale_out` is to be rented
  std::vector<MachineId> release;  // to be released by the cloud
  MachineRequests own;             // what this member is to do with machines of its own
};

class Autoscaler {
 public:
  Autoscaler(const base::Settings& settings, const storage::StateCache& cache,
             const JobPriorities& priorities);

  // This member leads from now on: takes over the machines that boot, and
  // judges the others anew.
  void become_leader(Time now);

  // To be called by the leader only, with a view in the state cache. Nothing is
  // rented until the machines of all members are known.
  ScalingActions plan(const FleetStatus& fleet, const ReleaseRequests& requests,
                      const JobPredicate& is_crash_looping);
  // Takes in the cloud's list of machines: finds those that boot and those that
  // are of no use.
  void review_list(const std::vector<CloudMachine>& list, const FleetStatus& fleet);

  void record_rented(const MachineKind& kind, const std::vector<MachineId>& machines,
                     double wall_now);
  // The cloud had fewer machines of this kind than it was asked for.
  void record_out_of_capacity(const MachineKind& kind, Time now);
  void record_released(const std::vector<MachineId>& machines);

  // Puts on record which machines are booting, for the next leader.
  protocol::Transaction booting_record() const;
  // What that member is to do with machines of its own, with the answer to its
  // status.
  MachineRequests take_requests(const base::MemberId& member) { return requests_.take(member); }

 private:
  bool is_settled(const FleetStatus& fleet) const;
  // No task was without capacity, and no machine was drained, for a while.
  bool may_drain(Time now) const;
  void release_failed_boots(const FleetStatus& fleet, std::vector<MachineId>& release);
  ScalingInput scaling_input(const FleetStatus& fleet) const;
  void add_demand(ScalingInput& input, const JobPredicate& is_crash_looping);
  // Returns the requests to this member, and keeps those to others until they
  // tell their status.
  MachineRequests request_from_owners(const ScalingPlan& plan, const FleetStatus& fleet);
  void review_machine(const CloudMachine& machine, const std::set<MachineId>& known,
                      const FleetStatus& fleet);

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  DemandEstimator demand_;
  ServiceArrivals arrivals_;
  BootingMachines booting_;
  CapacityBackoff backoff_;
  PendingReleases releases_;
  MemberRequests requests_;
  Time leader_since_{};
  Time last_unplaced_work_at_{};  // a task was without capacity, or a machine
                                  // was rented
  Time last_drain_at_{};
};

}  // namespace saddleslip::coordination

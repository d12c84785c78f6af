// The autoscaler of the leader: decides which machines to rent, drain, cordon and release.
//
// Demand (waiting tasks and expected services) is packed into the running and booting machines.
// Machines are rented for demand that does not fit; machines without demand are drained or
// cordoned, and then released. The autoscaler makes no calls to the cloud or to other members: its
// owner carries out the actions and records their results.
//
// Takes the time as an argument. Not thread-safe: the owner holds a lock.
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

// The actions that one run of the autoscaler asks its owner to carry out.
struct ScalingActions {
  ScalingPlan plan;                      // `plan.scale_out` lists the machines to rent
  std::vector<MachineId> release;        // machines to release in the cloud
  MachineRequests own_machine_requests;  // requests for machines that this member owns
};

// Plans the size of the fleet while this member is the leader. The settings, the state cache and
// the job priorities must outlive it.
class Autoscaler {
 public:
  Autoscaler(const base::Settings& settings, const storage::StateCache& cache,
             const JobPriorities& priorities);

  // Starts a new term as leader: loads the recorded list of booting machines and discards pending
  // releases, which are decided again.
  void become_leader(Time now);

  // Returns the actions for the present state of the fleet. Only the leader may call this, and only
  // with a view in the state cache. Nothing is rented until the machines of all members are known.
  ScalingActions plan(const FleetStatus& fleet, const ReleaseRequests& requests,
                      const JobPredicate& is_crash_looping);
  // Processes the cloud's list of machines: finds machines that are booting, that have failed, or
  // that report to no member.
  void review_list(const std::vector<CloudMachine>& cloud_machines, const FleetStatus& fleet);

  // Records that the cloud rented these machines, which are booting now.
  void record_rented(const MachineKind& kind, const std::vector<MachineId>& machines,
                     double wall_now);
  // Records that the cloud had fewer machines of this kind than were requested.
  void record_out_of_capacity(const MachineKind& kind, Time now);
  // Records that the cloud released these machines.
  void record_released(const std::vector<MachineId>& machines);

  // Returns the transaction that stores the list of booting machines for the next leader.
  protocol::Transaction booting_record() const;
  // Returns and removes the requests to a member, to be sent in reply to its status report.
  MachineRequests take_requests(const base::MemberId& member) { return requests_.take(member); }

 private:
  // Returns whether the machines of all members are known and all of them have had time to report.
  bool is_settled(const FleetStatus& fleet) const;
  // Returns whether enough time has passed since a task was without capacity and since the last
  // drain.
  bool may_drain(Time now) const;
  // Adds the machines that took too long to boot to `release` and to the pending releases.
  void release_failed_boots(const FleetStatus& fleet, std::vector<MachineId>& release);
  // Returns the input of a plan, except its demand and what depends on whether machines may be
  // drained.
  ScalingInput scaling_input(const FleetStatus& fleet) const;
  // Adds the demand of waiting tasks and of expected services to the input of a plan.
  void add_demand(ScalingInput& input, const JobPredicate& is_crash_looping);
  // Returns the requests to this member. Stores requests to other members until their next status
  // report.
  MachineRequests request_from_owners(const ScalingPlan& plan, const FleetStatus& fleet);
  // Processes one machine of the cloud's list that is not released yet.
  void review_machine(const CloudMachine& machine, const std::set<MachineId>& known_machines,
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
  Time last_unplaced_work_at_{};  // when a task last lacked capacity or a machine was rented
  Time last_drain_at_{};
};

}  // namespace saddleslip::coordination

// The decisions of one controller: state and `now` in, actions out. No socket, clock or thread.
// Not safe for use from several threads at once: the owner locks.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/fleet/autoscaler.h"
#include "coordination/machines/attempt_tracker.h"
#include "coordination/machines/capacity_calculator.h"
#include "coordination/machines/machine_registry.h"
#include "coordination/machines/peer_registry.h"
#include "coordination/membership/authority_lease.h"
#include "coordination/membership/leadership.h"
#include "coordination/membership/membership_proposals.h"
#include "coordination/membership/ownership.h"
#include "coordination/membership/ownership_claims.h"
#include "coordination/membership/ownership_transfers.h"
#include "coordination/membership/pause_detector.h"
#include "coordination/membership/peer_contact.h"
#include "coordination/membership/view.h"
#include "coordination/membership/worker_contact_monitor.h"
#include "coordination/scheduling/capacity_reservations.h"
#include "coordination/scheduling/failure_tracker.h"
#include "coordination/scheduling/job_priorities.h"
#include "coordination/scheduling/offer_pool.h"
#include "coordination/scheduling/offer_router.h"
#include "coordination/scheduling/packing.h"
#include "coordination/scheduling/preemption_planner.h"
#include "coordination/scheduling/record_batch.h"
#include "storage/machine.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

using base::AgentIncarnation;
using base::TaskId;
using base::TaskNo;
using base::Version;
using protocol::Command;
using protocol::Heartbeat;
using protocol::Item;
using protocol::JobId;
using protocol::MemberStatus;
using protocol::Transaction;
using storage::Job;
using storage::Machine;
using storage::StateCache;

struct WorkerReply {
  int status = 503;
  std::string body;
};

// A direct order to a worker.
struct CommandBatch {
  MachineId machine;
  std::string address;
  FencingToken fencing_token;
  AgentIncarnation agent_incarnation;
  std::vector<Command> commands;
};

// One batched record: committed first, acted upon after.
struct RoundPlan {
  Transaction txn;
  struct Start {
    TaskId task;
    protocol::Assignment assignment;
  };
  std::vector<Start> starts;
  struct Completion {
    TaskId task;
    MachineId machine;
    std::string why;
    bool done = false;
  };
  std::vector<Completion> completions;
  bool more = false;  // there was more than one record can hold
  bool empty() const { return txn.writes.empty(); }
};

// How much of the store's write rate a round may use.
enum class WriteBudget {
  kExhausted,  // more than its share is used up: only what users wait for
  kNormal,
  kSurplus,  // also records that could wait
};

// The leader's word to a member that told its status.
struct Instructions {
  std::vector<MachineId> released;  // released: they and all on them are gone
  std::vector<MachineId> cordon;    // to be closed and given back if nothing is on them
  std::vector<MachineId> drain;     // to be emptied by moving services, then given back
  bool again = false;  // the status builds upon one that this node doesn't have: tell all
};

class Controller {
 public:
  explicit Controller(const base::Settings& settings);

  StateCache& cache() { return cache_; }
  const StateCache& cache() const { return cache_; }

  // --- membership
  // See AuthorityLease for these.
  void begin_incarnation(ControllerIncarnation incarnation, Time now) {
    authority_.begin_incarnation(std::move(incarnation), now);
  }
  void end_incarnation() { authority_.end_incarnation(); }
  void lease_acquired(Time sent) { authority_.lease_acquired(sent); }
  void lease_renewed(Time sent, std::uint64_t cache_generation) {
    authority_.lease_renewed(sent, cache_generation);
  }
  void cache_replaced() { authority_.cache_replaced(); }
  std::uint64_t cache_generation() const { return authority_.cache_generation(); }
  const ControllerIncarnation& self() const { return authority_.self(); }
  bool has_lease(Time now) const { return authority_.has_lease(now); }
  // May this process answer workers and send them commands now?
  bool has_authority(Time now) const {
    return authority_.has_authority(now, ownership_.installed_view());
  }
  bool is_leader(Time now) const { return leadership_.is_leader(now); }
  // To be called after the cache took in changes: installs a new view, notes a new leader.
  void install_view(Time now);
  // See MembershipProposals for these.
  Transaction member_record(base::LeaseId lease, bool reaches_others) const {
    return proposals_.member_record(lease, reaches_others);
  }
  std::optional<Transaction> propose_membership_change(Time now, base::LeaseId lease);

  // --- workers
  WorkerReply handle_heartbeat(const Heartbeat& heartbeat, Time now);
  // Claims, by way of the store, for when the leader is out of reach.
  std::optional<Transaction> propose_ownership_claims(Time now);
  void handle_command_reply(const MachineId& machine, const std::optional<Heartbeat>& heartbeat,
                            Time now);
  // A direct order was not answered: until the machine reports again, what it is to do goes with
  // the answer to its report. With dozens of dead machines, waiting for each held up all orders.
  void commands_lost(const MachineId& machine) { machines_.mark_commands_lost(machine); }
  void mark_released(const std::vector<MachineId>& machines, Time now);
  void cordon_idle(const std::vector<MachineId>& machines);
  void drain(const std::vector<MachineId>& machines);

  void tell_time(Time now, double wall_now) { priorities_.set_time_of_day(now, wall_now); }

  // Another controller's word that this job's cancellation is committed, ahead of the watch, which may
  // be silent here: the state service may refuse this node alone, and its authority, that lasts for a
  // moment yet, must not be used to start the job's tasks.
  void notify_cancelled(const JobId& id) { cache_.notify_cancelled(id); }
  // May the order still go out? Takes out the starts of what was cancelled since it was made.
  bool drop_stale_commands(CommandBatch& order, Time now) const;

  // --- rounds
  void add_offers(const protocol::Offers& offers, Time now) { offer_pool_.add(offers, now); }
  // A job was accepted here: its first offers are made here, not by its home, which may be down.
  void accepted(const JobId& job) { offer_router_.add_submitted_job(job); }
  // Offers did not reach their part: its owner is passed over until it is heard again.
  void offers_lost(const MemberId& member, const std::vector<protocol::Offers>& offers);
  // Splits waiting tasks of this node's jobs among the parts; own shares go to its own pool.
  std::map<MemberId, protocol::Offers> route(Time now);
  RoundPlan plan(Time now, WriteBudget write_budget);
  // The plan was committed at this version: the starts to send at once.
  std::vector<CommandBatch> committed(const RoundPlan& plan, Version version, Time now);
  // Stops for tasks that are to go, to be sent at once rather than with the next report's answer.
  std::vector<CommandBatch> stops(Time now);
  // The upkeep of records, for which this member is the home: at most one transaction to commit.
  std::optional<Transaction> finalize_one_job(Time now);
  std::optional<Transaction> split_one_record(Time now);
  std::optional<Transaction> collect_garbage();

  // --- siblings
  // What `to` is to be told: what changed since what it has, as far as it has said so.
  MemberStatus status(const MemberId& to, Time now);
  Instructions handle_peer_status(const MemberStatus& status, Time now);
  // The sibling took in the status up to there (0: it asks for all).
  void status_acknowledged(const MemberId& by, std::uint64_t upto) {
    machines_.acknowledge(by, upto);
  }
  void peer_reached(const MemberId& member, Time now) { peer_contact_.record_reached(member, now); }
  // Has another controller, heard of lately, a lease while this one has none?
  bool peers_have_state(Time now) const { return peers_.any_has_state(now); }

  // --- fleet, for the leader
  // The autoscaler's plan; what it asks of this member's own machines is done already.
  ScalingActions plan_scaling(Time now, double wall_now);
  // The cloud listed these machines.
  void listed(const std::vector<protocol::CloudMachine>& machines, Time now, double wall_now);
  void refused(const MachineKind& kind, Time now) { autoscaler_.record_out_of_capacity(kind, now); }
  void rented(const MachineKind& kind, const std::vector<MachineId>& machines, double wall_now);
  std::optional<Transaction> fleet_record() const { return autoscaler_.booting_record(); }
  // The cloud released these machines.
  void released(const std::vector<MachineId>& machines, Time now);

 private:
  using Partitions = std::vector<std::pair<MemberId, std::vector<const MachineStatus*>>>;

  const ControllerIncarnation* owner(const MachineId& machine) const {
    return ownership_.owner(machine);
  }
  bool owns(const MachineId& machine) const { return ownership_.owns(machine); }
  bool is_schedulable(const Machine& m, Time now) const { return machines_.is_schedulable(m, now); }
  void record_heartbeat(const Heartbeat& heartbeat, HeartbeatSource source, Time now);
  const storage::MachineCapacity& capacity(const Machine& m) const { return capacity_.of(m); }
  std::vector<MachineId> release_requests() const;
  std::vector<MachineId> misdirected(Time now) const { return ownership_claims_.misdirected(now); }
  // Machines of other members that this one claims.
  std::vector<MachineId> ownership_claims(Time now);
  void detect_pause(Time now) { pauses_.record_running(now); }
  Time listening_since() const { return contact_monitor_.listening_since(); }
  // Does this controller hear the machines that it owns?
  protocol::WorkerContact worker_contact(Time now) const;
  void watch_contact(Time now) { contact_monitor_.update_census(count_overdue(now), now); }
  MachineCensus count_overdue(Time now) const;
  bool is_overdue(const Machine& m, Time now) const;
  // The machines that this controller owns and does not hear.
  std::vector<MachineId> silent_machines(Time now) const;
  // What this member says of itself to the leader, if that is itself.
  MemberReport own_report(Time now);
  std::string zone_of(const MachineId& machine) const { return machines_.zone_of(machine); }
  static bool reported_ended(const Machine& m, const TaskId& task,
                             const protocol::Assignment& assignment) {
    return m.reported_ended(task, assignment);
  }
  // A job that was offered to this part, and which of its tasks wait here.
  struct WaitingJob {
    const Job* job;
    std::vector<TaskNo> tasks;
    std::map<std::string, TaskNo> zones;  // where its tasks are, for one_zone and spread
    bool zones_known = true;
  };
  // The machines that take new tasks, with their bins for packing.
  struct OpenMachines {
    std::vector<Bin> bins;
    std::vector<Machine*> machines;
    Resources scale;
  };
  // The steps of a round's plan.
  static void record_completion(RoundPlan::Completion end, RecordBatch& batch, RoundPlan& plan);
  // Records what must be on record now; returns the ends that can wait.
  std::vector<RoundPlan::Completion> record_completions(
      std::vector<RoundPlan::Completion> completions, WriteBudget write_budget, Time now,
      RecordBatch& batch, RoundPlan& plan);
  std::set<TaskId> settle_large_records(std::vector<RoundPlan::Completion>& completions,
                                        const RecordBatch& batch) const;
  void record_deferred_completions(std::vector<RoundPlan::Completion> completions,
                                   WriteBudget write_budget, Time now, RecordBatch& batch,
                                   RoundPlan& plan);
  std::vector<WaitingJob> waiting_jobs(WriteBudget write_budget, Time now,
                                       const RecordBatch& batch);
  void find_zones(WaitingJob& w) const;
  OpenMachines open_machines(Time now);
  std::vector<int> order_by_due(const std::vector<WaitingJob>& waiting,
                                const std::vector<Bin>& bins, Time now) const;
  void place(std::vector<WaitingJob>& waiting, Time now, RoundPlan& plan);
  bool may_start(const WaitingJob& w, const Heartbeat& r, const Resources& planned) const;
  int preference(const protocol::JobSpec& spec, const Machine& m,
                 std::optional<Seconds> start_within, bool displaces, Time now) const;
  static void record_starts(RecordBatch& batch, RoundPlan& plan);
  void free_capacity(const std::vector<WaitingJob>& waiting, const RoundPlan& plan, Time now);
  void collect_completions(Time now, std::vector<RoundPlan::Completion>& completions);
  void collect_completions_on(const MachineId& machine, Machine* m, Time now,
                              std::vector<RoundPlan::Completion>& completions);
  bool can_defer(const RoundPlan::Completion& end, const std::set<TaskId>& ended, Time now);
  // Decides which jobs with failures are sound, and closes the machines that turn out to be faulty.
  void evaluate_failures(Time now);
  // Has a task of the job been running here for so long, on a machine where none of it failed?
  bool runs_for_long(const Job& job, Time now) const;
  // Does the job fail on every machine, as far as this controller or a sibling has seen?
  bool is_crash_looping(const JobId& job, Time now) const;
  // How long an attempt ran that is over, as far as this controller saw.
  Seconds run_before_end(const RoundPlan::Completion& end) const;
  void learn_run_time(const RoundPlan::Completion& end);
  void housekeeping(Time now);
  // How long a machine may be unheard, or heard without showing a response, before it counts as silent.
  struct SilenceLimits {
    Seconds unheard, unanswered;
  };
  struct SilenceCensus {
    std::set<MachineId> silent;
    std::size_t owned = 0, overdue = 0;
  };
  SilenceLimits silence_limits() const;
  void progress_drains(Time now);
  SilenceCensus take_silence_census(Time now);
  bool may_release_silent(const SilenceCensus& census, Time now);
  void update_silent_machines(const SilenceCensus& census, Time now);
  void move_service_away(Machine& m, const Partitions& known, Time now);
  // What the autoscaler is told about the fleet.
  FleetStatus fleet_status(Time now, double wall_now);
  ReleaseRequests fleet_release_requests(Time now) const;
  // Has it waited so long that it goes before others? Then so many of its tasks do.
  std::optional<std::size_t> starving_tasks(const Job& job, Time now) const;
  void reserve_capacity(const Job& job, Time now);
  // Machines that the record has tasks on, that this node owns, and that have not reported to it.
  const std::vector<MachineId>& unheard_owned(Time now);
  Seconds fetch_time(const Machine& m, const protocol::JobSpec& spec) const;
  // The machines of each part whose owner was heard of lately. The pointers hold until the machines
  // or the siblings' words change.
  Partitions partitions(Time now, Seconds remembered);

  const base::Settings& settings_;
  StateCache cache_;
  JobPriorities priorities_;
  PeerRegistry peers_;
  AuthorityLease authority_;
  Ownership ownership_;
  PeerContact peer_contact_;
  Leadership leadership_;
  MembershipProposals proposals_;
  PauseDetector pauses_;
  WorkerContactMonitor contact_monitor_;
  OwnershipClaims ownership_claims_;
  OwnershipTransfers transfers_;
  // Short names for what other parts of this class read until they are classes of their own.
  const ControllerIncarnation& self_ = authority_.self();
  const Version& installed_view_ = ownership_.installed_view();
  const FencingToken& base_fencing_token_ = ownership_.base_fencing_token();
  const Time& view_installed_at_ = ownership_.view_installed_at();
  std::optional<Time> many_silent_at_;

  AttemptTracker attempts_{cache_};
  CapacityCalculator capacity_{cache_, priorities_, attempts_};
  MachineRegistry machines_{settings_, cache_, capacity_};
  const std::map<MachineId, Time>& released_ = machines_.released();
  CapacityReservations reservations_{cache_};
  PreemptionPlanner preemption_{settings_, cache_,    priorities_,
                                capacity_, machines_, reservations_};
  std::map<MachineId, Time> owned_since_;  // for machines never heard: the base of lease proofs
  std::set<MachineId> silent_machines_;    // owned, silent, and to be released for proof
  OfferPool offer_pool_{settings_};
  FailureTracker failures_;
  OfferRouter offer_router_{settings_, cache_, priorities_, failures_};
  std::vector<MachineId> unheard_owned_;
  Time unheard_owned_at_{};

  Autoscaler autoscaler_;
};

}  // namespace saddleslip::coordination

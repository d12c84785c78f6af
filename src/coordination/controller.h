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

#include "coordination/fleet/boot_tracker.h"
#include "coordination/fleet/scaling_plan.h"
#include "coordination/machines/peer_registry.h"
#include "coordination/machines/status_revisions.h"
#include "coordination/membership/view.h"
#include "coordination/scheduling/failure_tracker.h"
#include "coordination/scheduling/job_priorities.h"
#include "coordination/scheduling/packing.h"
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

// A sibling that was not reached for this long counts as cut off.
inline constexpr Seconds kReachable{4.0};

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

// The machines of one member as seen by routing.
struct Partition;

class Controller {
 public:
  explicit Controller(const base::Settings& settings);

  StateCache& cache() { return cache_; }
  const StateCache& cache() const { return cache_; }

  // --- membership
  // A lease was taken: a new life. Until the view names it, nothing may be done.
  void begin_incarnation(ControllerIncarnation incarnation, Time now);
  const ControllerIncarnation& self() const { return self_; }
  // The lease of this life was taken by a call sent at `sent`.
  void lease_acquired(Time sent);
  // The lease was renewed by a call sent at `sent`, and the ledger was proved current after that: it
  // holds all that was committed before the call, cancellations and views. `copy` is cache_generation() as
  // of before that proof: a copy that was read anew meanwhile was not proved current.
  void lease_renewed(Time sent, std::uint64_t cache_generation);
  std::uint64_t cache_generation() const { return cache_generation_; }
  void end_incarnation();
  // The ledger was read anew, page by page: parts of it are older than what was proved before, so that
  // nothing may be commanded until a renewal has proved it current again.
  void cache_replaced() {
    authority_valid_until_ = Time{};
    ++cache_generation_;
  }
  // May this process answer workers and give them orders now?
  bool has_authority(Time now) const;
  bool has_lease(Time now) const { return now < lease_valid_until_; }
  bool is_leader(Time now) const;
  // After the ledger took in changes: follows a new view.
  void install_view(Time now);
  // The key by which others know of this life.
  Transaction member_record(base::LeaseId lease, bool reaches_others) const;
  // What leadership asks for: to take it, or to write a new view. At most one transaction.
  std::optional<Transaction> propose_membership_change(Time now, base::LeaseId lease);

  // --- workers
  WorkerReply handle_heartbeat(const Heartbeat& heartbeat, Time now);
  // Claims, by way of the store, for when the leader is out of reach.
  std::optional<Transaction> propose_ownership_claims(Time now);
  void handle_command_reply(const MachineId& machine, const std::optional<Heartbeat>& heartbeat,
                            Time now);
  // A direct order was not answered: until the machine reports again, what it is to do goes with
  // the answer to its report. With dozens of dead machines, waiting for each held up all orders.
  void commands_lost(const MachineId& machine);
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
  void add_offers(const protocol::Offers& offers, Time now);
  // A job was accepted here: its first offers are made here, not by its home, which may be down.
  void accepted(const JobId& job) { accepted_.insert(job); }
  // Offers did not reach their part: its owner is passed over until it is heard again.
  void offers_lost(const MemberId& member, const std::vector<protocol::Offers>& offers);
  // Splits waiting tasks of this node's jobs among the parts; own shares go to its own pool.
  std::map<MemberId, protocol::Offers> route(Time now);
  RoundPlan plan(Time now, WriteBudget write_budget);
  // The plan was committed at this version: the starts to send at once.
  std::vector<CommandBatch> committed(const RoundPlan& plan, Version version, Time now);
  // Stops for tasks that are to go, to be sent at once rather than with the next report's answer.
  std::vector<CommandBatch> stops(Time now);
  std::optional<Transaction> finalize_one_job(Time now);
  // Divides the chunks of a job that no value of the store holds any more.
  std::optional<Transaction> split_one_record(Time now);
  std::optional<Transaction> collect_garbage();

  // --- siblings
  // What `to` is to be told: what changed since what it has, as far as it has said so.
  MemberStatus status(const MemberId& to, Time now);
  Instructions handle_peer_status(const MemberStatus& status, Time now);
  // The sibling took in the status up to there (0: it asks for all).
  void status_acknowledged(const MemberId& by, std::uint64_t upto) {
    status_revisions_.acknowledge(by, upto);
  }
  void peer_reached(const MemberId& member, Time now) { reached_[member] = now; }
  // Has another controller, heard of lately, a lease while this one has none?
  bool peers_have_state(Time now) const { return peers_.any_has_state(now); }

  // --- fleet, for the leader
  struct ScalingActions {
    ScalingPlan plan;
    std::vector<MachineId> release;
  };
  ScalingActions plan_scaling(Time now, double wall_now);
  void listed(const std::vector<protocol::CloudMachine>& machines, Time now, double wall_now);
  void refused(const MachineKind& kind, Time now);
  void rented(const MachineKind& kind, const std::vector<MachineId>& machines, double wall_now);
  std::optional<Transaction> fleet_record() const;
  void released(const std::vector<MachineId>& machines, Time now);

 private:
  using Partitions = std::vector<std::pair<MemberId, std::vector<const MachineStatus*>>>;
  struct PoolEntry {
    JobId job;
    std::vector<std::pair<TaskNo, TaskNo>> ranges;
    Time until{};
  };

  // Puts on record that all controllers read this version's format, if they do and it is not yet.
  std::optional<Transaction> propose_format_upgrade() const;
  Time ttl_after(Time sent) const;
  // As the view says. Asked for every machine in every round, and the same until the view changes.
  const ControllerIncarnation* owner(const MachineId& machine) const;
  bool owns(const MachineId& machine) const;
  // Does it report, and hear what it is answered?
  bool is_schedulable(const Machine& m, Time now) const;
  bool has_recent_heartbeat(const Machine& m, Time now) const;
  void record_heartbeat(const Heartbeat& heartbeat, Time now, bool renews_lease);
  std::vector<Command> reconcile(const Machine& m) const;
  std::vector<Command> stops_for(const Machine& m) const;
  const storage::MachineCapacity& capacity(const Machine& m) const;
  Resources being_stopped(const Machine& m) const;
  void update_status(Machine& m, Time now);
  std::vector<MachineId> release_requests() const;
  std::vector<MachineId> misdirected(Time now) const;
  // A machine of that owner reported here and was sent there.
  void record_misdirected_heartbeat(const MachineId& machine, const ControllerIncarnation& owner,
                                    Time now);
  // Machines that come back again and again: they reach this node, and not their owner.
  std::vector<MachineId> ownership_claims(Time now);
  // Notices that this process stood still, its clock running on.
  void detect_pause(Time now);
  Time listening_since() const;
  // Does this controller hear the machines that it owns?
  protocol::WorkerContact worker_contact(Time now) const;
  // Asked in each round: since when does it hear hardly any of them?
  void watch_contact(Time now);
  struct MachineCensus {
    std::size_t owned = 0, overdue = 0;
    bool are_lost() const;
    bool are_heard() const;
  };
  MachineCensus count_overdue(Time now) const;
  bool is_overdue(const Machine& m, Time now) const;
  protocol::WorkerContact contact_of(const ControllerIncarnation& member, Time now) const;
  std::vector<MachineId> silent_machines_of(const ControllerIncarnation& member, Time now) const;
  // Adds the machines of members that have lost their workers. False: there are none.
  bool fail_over_silent_machines(Time now, std::map<MachineId, ControllerIncarnation>& to) const;
  // All members' claims that the leader has heard of, if it is time for a view that follows them.
  std::map<MachineId, ControllerIncarnation> gather_ownership_claims(Time now);
  std::string zone_of(const MachineId& machine) const;
  static const protocol::ReportedAttempt* reported_attempt(const Machine& m, const TaskId& task,
                                                           const protocol::Assignment& assignment);
  // Has the machine reported the end of this attempt? Its room is free then, on record or not.
  static bool reported_ended(const Machine& m, const TaskId& task,
                             const protocol::Assignment& assignment);
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
  void move_service_away(Machine& m, const Partitions& known, Time now);
  void count_arrivals(Time now);
  std::map<JobId, std::size_t> timely_share(Time now, double boot) const;
  // The steps of routing.
  struct Routing;
  bool is_offered(const TaskId& task, Time now) const;
  void prune_offers(Time now);
  std::vector<const Job*> jobs_to_route(Time now) const;
  void sort_by_turn(std::vector<const Job*>& jobs, Time now) const;
  bool may_displace(const Job& job, Time now) const;
  std::vector<Partition> routing_partitions(const std::vector<const Job*>& jobs, Time now);
  void update_candidates(Routing& r, std::size_t partition) const;
  std::vector<TaskNo> tasks_to_offer(const Job& job, std::size_t most, Time now) const;
  void offer(Routing& r, std::size_t partition, std::size_t n);
  void offer_array(Routing& r);
  std::optional<std::size_t> best_partition(const Routing& r) const;
  void offer_to_roomiest(Routing& r);
  void offer_to_displace(Routing& r);
  void route_job(Routing& r, const Job& job);
  // The steps of the fleet's plan.
  std::vector<MachineId> releases_due(const Partitions& known, Time now) const;
  ScalingInput scaling_input(const Partitions& known, Time now) const;
  void drop_booted(ScalingInput& in, Time now, double wall_now, std::vector<MachineId>& release);
  Seconds boot_time(const std::string& type_name) const;
  double soonest_boot() const;
  std::size_t within_quota(const protocol::JobSpec& spec, std::size_t waiting,
                           std::map<std::string, Resources>& team_room) const;
  void add_waiting(ScalingInput& in, Time now);
  void add_expected_services(ScalingInput& in, Time now) const;
  void add_movable_services(ScalingInput& in) const;
  void pass_on(const ScalingPlan& plan, const Partitions& known, Time now);
  // A waiting job that may displace other work, and what was done for it and before it.
  struct Preemption {
    const Job* job;
    double cores_over_quota;                 // cores that its team must give up first
    std::map<std::string, double> stopping;  // cores of each team that were told to stop
    std::map<MachineId, Resources> taken;    // room that was made for the job
  };
  struct Victim {
    TaskId task;
    Resources request;
    Seconds lost;
  };
  struct PreemptionCandidate {
    std::vector<TaskId> tasks;
    double lost = 0;  // core seconds
  };
  void preempt(const std::vector<std::pair<const Job*, std::size_t>>& waiting, Time now);
  std::map<std::string, double> stopping_cores() const;
  double cores_over_quota(const protocol::JobSpec& spec) const;
  bool may_stop(const Preemption& p, const Job& other) const;
  std::vector<Victim> candidates(const Preemption& p, const Machine& m, Time now) const;
  std::optional<PreemptionCandidate> preemption_on(const Preemption& p, const Machine& m,
                                                   Time now) const;
  bool preempt_for_one(Preemption& p, Time now);
  // Has it waited so long that it goes before others? Then so many of its tasks do.
  std::optional<std::size_t> starving_tasks(const Job& job, Time now) const;
  void reserve_capacity(const Job& job, Time now);
  // Machines that the record has tasks on, that this node owns, and that have not reported to it.
  const std::vector<MachineId>& unheard_owned(Time now);
  Seconds fetch_time(const Machine& m, const protocol::JobSpec& spec) const;
  bool displaces_for_image(const Job& job, Time now) const;
  // The machines of each part whose owner was heard of lately. The pointers hold until the machines
  // or the siblings' words change.
  Partitions partitions(Time now, Seconds remembered);

  const base::Settings& settings_;
  StateCache cache_;
  JobPriorities priorities_;
  ControllerIncarnation self_;
  bool has_incarnation_ = false;
  Time incarnation_since_{};
  Time lease_valid_until_{};
  Time authority_valid_until_{};
  Version authority_view_;
  std::uint64_t cache_generation_ = 0;  // counts the times that the ledger was read anew
  Version installed_view_;
  FencingToken base_fencing_token_;
  Time view_installed_at_{};
  std::optional<Time> authority_since_;
  Time last_running_at_{},
      resumed_after_pause_at_{};  // when this process was last seen to run, and went on
  std::optional<Time> many_silent_at_;
  std::optional<Time> unheard_since_;  // while it hears hardly any of its machines

  mutable std::unordered_map<MachineId, std::size_t> owners_;  // by place in the view's members
  mutable Version owners_view_version_;
  std::map<MachineId, Machine> machines_;
  struct MisdirectedHeartbeats {
    ControllerIncarnation owner;  // to whom it was sent
    Time first{}, last{};
    int times = 0;
  };
  std::map<MachineId, std::pair<MemberId, Time>> override_since_;
  struct CapacityReservation {
    JobId job;
    Time until{};
    bool for_starving_job =
        false;  // for a job that waited too long, rather than one that displaces others
  };
  std::map<MachineId, CapacityReservation>
      reservations_;  // kept free of other work until the job fits
  std::map<MachineId, MisdirectedHeartbeats> misdirected_;  // sent to their owners, and back again
  std::optional<Time>
      claims_pending_since_;               // since when there are claims that no view follows yet
  std::map<MachineId, Time> owned_since_;  // for machines never heard: the base of lease proofs
  std::map<MachineId, AgentIncarnation> ended_incarnations_;
  std::map<MachineId, Time> released_;
  std::map<TaskId, base::Attempt> absent_;  // cancelled, and certainly never to start
  std::map<MachineId, std::string> zones_;
  std::map<std::pair<TaskId, std::uint64_t>, Time> stop_sent_;
  std::map<TaskId, Time> completion_seen_at_;  // of ends that wait to be put on record with others
  std::set<MachineId> silent_machines_;        // owned, silent, and to be released for proof
  std::deque<PoolEntry> pool_;
  std::unordered_map<TaskId, Time> offered_;
  Time offers_pruned_at_{};
  std::set<JobId> accepted_;
  std::map<JobId, std::size_t> displacing_;  // how often a part was asked to make room
  FailureTracker failures_;
  std::vector<MachineId> unheard_owned_;
  Time unheard_owned_at_{};
  std::map<JobId, Time> preempting_;

  PeerRegistry peers_;
  StatusRevisions status_revisions_;
  std::map<MemberId, Time> reached_;
  std::map<MemberId, Time> member_since_;
  std::set<MemberId> excluded_;
  Time leader_since_{};
  bool was_leader_ = false;

  std::map<MachineKind, Time> refused_;  // not to be asked for before then
  std::map<MachineKind, int> refusals_;  // in a row
  std::vector<protocol::Booting> booting_;
  BootTracker boots_;
  std::map<MachineId, Time> unheard_;  // listed, but reporting to nobody, since
  std::set<MachineId> to_release_;     // what the leader itself found to be of no use
  struct Arrivals {
    protocol::JobSpec spec;
    std::deque<std::pair<Time, TaskNo>> recent;
  };
  std::map<std::string, Arrivals> arrivals_;  // of services, by class
  std::set<JobId> counted_;
  std::map<MemberId, std::set<MachineId>> to_cordon_, to_drain_;
  Time last_unplaced_work_at_{};  // something waited for room, or was rented
  Time last_drain_at_{};
};

}  // namespace saddleslip::coordination

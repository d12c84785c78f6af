// The decisions of one controller process. Each call takes the current time as an argument and
// returns the actions to carry out; the class itself uses no sockets, clocks or threads.
//
// Not safe for use from several threads at once: the caller must hold a lock.
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
#include "coordination/membership/former_authority.h"
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
using base::TaskNumber;
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

// The HTTP response to a worker's heartbeat.
struct WorkerReply {
  int status = 503;
  std::string body;
};

// Commands that are sent to a worker's agent directly, rather than in the response to a heartbeat.
struct CommandBatch {
  MachineId machine;
  std::string address;
  FencingToken fencing_token;
  AgentIncarnation agent_incarnation;
  std::vector<Command> commands;
};

// The result of one scheduling round: a transaction to commit, and the starts and completions that
// take effect once it is committed.
struct RoundPlan {
  Transaction transaction;
  // An attempt that the transaction assigns to a machine.
  struct Start {
    TaskId task;
    protocol::Assignment assignment;
  };
  std::vector<Start> starts;
  // An attempt that the transaction records as ended.
  struct Completion {
    TaskId task;
    MachineId machine;
    std::string reason;  // the cause, for the log
    bool done = false;   // whether the task succeeded and is not started again
  };
  std::vector<Completion> completions;
  bool has_more_changes = false;  // changes are left over that did not fit into one transaction
  bool empty() const { return transaction.writes.empty(); }
};

// How much of the state service's write rate a round may use.
enum class WriteBudget {
  kExhausted,  // the rate limit is used up: only urgent work is recorded
  kNormal,
  kSurplus,  // writes are plentiful: deferrable completions are recorded too
};

// Instructions to a member, sent in reply to its status report. Only the leader sends `cordon` and
// `drain`.
struct MemberInstructions {
  std::vector<MachineId> released;  // the cloud has released these: their tasks have ended
  std::vector<MachineId> cordon;  // to be cordoned if no tasks are assigned to them, then released
  std::vector<MachineId> drain;   // to be cordoned and emptied by moving services, then released
  // The status was a delta to a revision that this controller does not have: a full status is
  // needed.
  bool needs_full_status = false;
};

// Owns the state of one controller and combines its parts: membership, heartbeats, scheduling
// rounds, exchange of status with peers and, while it is the leader, the autoscaling of the fleet.
class Controller {
 public:
  explicit Controller(const base::Settings& settings);

  StateCache& cache() { return cache_; }
  const StateCache& cache() const { return cache_; }

  // --- membership
  // Starts a new incarnation of this controller, which does not hold a lease or authority yet.
  void begin_incarnation(ControllerIncarnation incarnation, Time now) {
    authority_.begin_incarnation(std::move(incarnation), now);
  }
  // Ends the incarnation, because its lease is lost or given up.
  void end_incarnation() { authority_.end_incarnation(); }
  // Records that a call sent at `sent` acquired or renewed the lease; this gives no authority.
  void record_lease_acquired(Time sent) { authority_.record_lease_acquired(sent); }
  // Records that the cache was verified to be current after a call at `sent` renewed the lease.
  // This extends the authority, unless the cache was reloaded since `cache_generation` was read.
  void record_lease_renewed(Time sent, std::uint64_t cache_generation) {
    authority_.record_lease_renewed(sent, cache_generation);
  }
  // Records that the cache was reloaded, which suspends authority until the lease is next renewed.
  void cache_replaced() { authority_.cache_replaced(); }
  // Returns the number of reloads of the cache, to be passed to record_lease_renewed().
  std::uint64_t cache_generation() const { return authority_.cache_generation(); }
  // Returns this controller's current incarnation, or the last one if it has ended.
  const ControllerIncarnation& self() const { return authority_.self(); }
  // Returns whether this incarnation's lease in the state service is valid by the local clock.
  bool has_lease(Time now) const { return authority_.has_lease(now); }
  // Returns whether this process may answer workers and send them commands now.
  bool has_authority(Time now) const {
    return authority_.has_authority(now, ownership_.installed_view());
  }
  // Returns how long this process may act without a further renewal; negative if it may not.
  Seconds authority_left(Time now) const { return authority_.authority_left(now); }
  // Returns the first fencing token of the installed view.
  FencingToken base_fencing_token() const { return ownership_.base_fencing_token(); }
  // Returns the number of machines that this member owns and has received heartbeats from.
  std::size_t machine_count() const { return machines_.size(); }
  // Returns whether this incarnation is the stored leader and still has its lease.
  bool is_leader(Time now) const { return leadership_.is_leader(now); }
  // Installs a new view and detects changes of the leader. Must be called after each change to the
  // cache.
  void install_view(Time now);
  // Returns the transaction that writes this member's own record under its lease.
  Transaction member_record(base::LeaseId lease, bool reaches_others) const {
    return proposals_.member_record(lease, reaches_others);
  }
  // Returns the next change to propose to the membership records or, as the leader, to the view;
  // none if no change is needed.
  std::optional<Transaction> propose_membership_change(Time now, base::LeaseId lease);

  // --- workers
  // Records a heartbeat and returns the response: commands if this controller owns the machine, a
  // redirect to the owner or an error otherwise.
  WorkerReply handle_heartbeat(const Heartbeat& heartbeat, Time now);
  // Returns a transaction that stores this member's ownership claims in the state service, which is
  // done only while the leader cannot be reached; otherwise claims are sent with the status.
  std::optional<Transaction> propose_ownership_claims(Time now);
  // Records the heartbeat that an agent includes in its reply to a command, if it is present.
  void handle_command_reply(const MachineId& machine, const std::optional<Heartbeat>& heartbeat,
                            Time now);
  // Marks that a command batch was not answered. Until its next heartbeat the machine gets commands
  // in heartbeat responses only: with dozens of dead machines, waiting for each one's timeout
  // delayed the commands to all others.
  void handle_undelivered_commands(const MachineId& machine) {
    machines_.mark_commands_lost(machine);
  }
  // Marks that the cloud has released these machines: their tasks have ended.
  void mark_released(const std::vector<MachineId>& machines, Time now);
  // Cordons those of these machines that have no assigned tasks.
  void cordon_idle(const std::vector<MachineId>& machines);
  // Cordons these machines and starts moving their services to others.
  void drain(const std::vector<MachineId>& machines);

  // Sets which wall-clock time (seconds since 1970) corresponds to `now`.
  void set_time_of_day(Time now, double wall_now) { priorities_.set_time_of_day(now, wall_now); }

  // Records another controller's notification that the job's cancellation is committed. The watch
  // may not deliver it: if the state service refuses this controller alone, its authority lasts for
  // a moment longer and must not be used to start the job's tasks.
  void notify_cancelled(const JobId& id) { cache_.notify_cancelled(id); }
  // Removes the starts of jobs that were cancelled after the batch was built. Returns whether the
  // batch may still be sent: commands are left, and this process has authority.
  bool drop_stale_commands(CommandBatch& batch, Time now) const;

  // --- rounds
  // Adds offered tasks to the pool from which this member's own machines are filled.
  void add_offers(const protocol::Offers& offers, Time now) { offer_pool_.add(offers, now); }
  // Registers a job whose submission this controller accepted: this controller makes the job's
  // first offers, since the job's home (the member that routes and finalizes it) may be down.
  void add_submitted_job(const JobId& job) { offer_router_.add_submitted_job(job); }
  // Marks that offers could not be delivered to a member: it gets no offers until its next full
  // status.
  void handle_undelivered_offers(const MemberId& member,
                                 const std::vector<protocol::Offers>& offers);
  // Distributes the waiting tasks of this member's jobs among the members by the free capacity of
  // their machines. Returns the offers by member.
  std::map<MemberId, protocol::Offers> route_waiting_tasks(Time now);
  // Runs one scheduling round: collects completions, places waiting tasks on machines, and chooses
  // tasks to preempt. Returns the transaction to commit, with the starts and completions that it
  // records.
  RoundPlan plan_round(Time now, WriteBudget write_budget);
  // Applies a plan that was committed at this version. Returns the start commands to send at once.
  std::vector<CommandBatch> apply_committed_plan(const RoundPlan& plan, Version version, Time now);
  // Returns the kill commands to send at once instead of with the next heartbeat responses.
  std::vector<CommandBatch> kill_commands_due(Time now);
  // Returns a transaction that finalizes one ended job whose home is this member; none if there is
  // none.
  std::optional<Transaction> finalize_one_job(Time now);
  // Returns a transaction that splits one oversized task record of a job whose home is this member;
  // none if there is none.
  std::optional<Transaction> split_one_record(Time now);
  // Returns a transaction that removes records whose jobs no longer exist; none if there are none.
  std::optional<Transaction> collect_garbage();

  // --- peers
  // Returns this member's status for a peer: the changes since the revision that the peer
  // acknowledged.
  MemberStatus status(const MemberId& peer, Time now);
  // Applies a peer's status and returns the instructions to send in reply.
  MemberInstructions handle_peer_status(const MemberStatus& status, Time now);
  // Records that the peer has applied the status up to this revision; 0 requests a full status.
  void acknowledge_status(const MemberId& peer, std::uint64_t revision) {
    machines_.acknowledge(peer, revision);
  }
  // Records that a call to the member was answered.
  void record_peer_reached(const MemberId& member, Time now) {
    peer_contact_.record_reached(member, now);
  }
  // Returns whether a peer reported a few seconds ago that it holds a lease in the state service.
  bool any_peer_has_lease(Time now) const { return peers_.any_has_lease(now); }

  // --- fleet, for the leader
  // Returns the leader's scaling actions; none if this process is not the leader. Drains and
  // cordons of this member's own machines are carried out before it returns.
  ScalingActions plan_scaling(Time now, double wall_now);
  // Handles the cloud's list of rented machines.
  void handle_machine_list(const std::vector<protocol::CloudMachine>& machines, Time now,
                           double wall_now);
  // Records that the cloud had fewer machines of this kind than were requested.
  void record_out_of_capacity(const MachineKind& kind, Time now) {
    autoscaler_.record_out_of_capacity(kind, now);
  }
  // Records that the cloud has rented these machines to the cluster.
  void record_rented_machines(const MachineKind& kind, const std::vector<MachineId>& machines,
                              double wall_now);
  // Returns the transaction that records which machines are booting, for the next leader.
  std::optional<Transaction> fleet_record() const { return autoscaler_.booting_record(); }
  // Records that the cloud has released these machines.
  void record_released_machines(const std::vector<MachineId>& machines, Time now);

 private:
  // The machines by the member that owns them; each member's share is called its partition.
  using Partitions = std::vector<std::pair<MemberId, std::vector<const MachineStatus*>>>;

  const ControllerIncarnation* owner(const MachineId& machine) const {
    return ownership_.owner(machine);
  }
  bool owns(const MachineId& machine) const { return ownership_.owns(machine); }
  bool is_schedulable(const Machine& machine, Time now) const {
    return machines_.is_schedulable(machine, now);
  }
  void record_heartbeat(const Heartbeat& heartbeat, HeartbeatSource source, Time now);
  const storage::MachineCapacity& capacity(const Machine& machine) const {
    return capacity_.of(machine);
  }
  // Returns the machines of this member that the leader should release: drained ones and silent
  // ones.
  std::vector<MachineId> release_requests() const;
  // Returns the machines of other members that recently sent their heartbeats to this member.
  std::vector<MachineId> misdirected(Time now) const { return ownership_claims_.misdirected(now); }
  // Returns the machines of other members that this member claims.
  std::vector<MachineId> ownership_claims(Time now);
  void detect_pause(Time now) { pauses_.record_activity(now); }
  Time listening_since() const { return contact_monitor_.listening_since(); }
  // Returns whether this controller receives the heartbeats of the machines that it owns.
  protocol::WorkerContact worker_contact(Time now) const;
  void update_worker_contact(Time now) { contact_monitor_.update_counts(count_overdue(now), now); }
  OverdueCounts count_overdue(Time now) const;
  bool is_overdue(const Machine& machine, Time now) const;
  // Returns the machines that this controller owns and whose heartbeats are overdue or never
  // arrived.
  std::vector<MachineId> silent_machines(Time now) const;
  // Returns this member's own report, used in place of a status message when it is the leader
  // itself.
  MemberReport own_report(Time now);
  std::string zone_of(const MachineId& machine) const { return machines_.zone_of(machine); }
  static bool reported_ended(const Machine& machine, const TaskId& task,
                             const protocol::Assignment& assignment) {
    return machine.reported_ended(task, assignment);
  }
  // A job that was offered to this member, with those of its tasks that wait for a machine here.
  struct WaitingJob {
    const Job* job;
    std::vector<TaskNumber> tasks;
    // The number of assigned tasks by zone, if one_zone or spread is set.
    std::map<std::string, TaskNumber> zones;
    bool zones_known = true;  // false if the zone of an assigned task is unknown
  };
  // The machines that accept new tasks, with their bins for packing. `scale` holds the largest
  // capacity of a machine in each resource, by which the packing normalizes.
  struct OpenMachines {
    std::vector<Bin> bins;
    std::vector<Machine*> machines;
    Resources scale;
  };
  // Adds a completion to the batch and, if the batch takes it, to the plan.
  static void record_completion(RoundPlan::Completion completion, RecordBatch& batch,
                                RoundPlan& plan);
  // Records the completions that must be recorded in this round; returns those that can be
  // deferred.
  std::vector<RoundPlan::Completion> record_completions(
      std::vector<RoundPlan::Completion> completions, WriteBudget write_budget, Time now,
      RecordBatch& batch, RoundPlan& plan);
  // Handles records above the size limit, which may be rewritten only once enough of their tasks
  // have ended: drops completions that must wait for more, and returns those to record together.
  std::set<TaskId> filter_large_record_completions(std::vector<RoundPlan::Completion>& completions,
                                                   const RecordBatch& batch) const;
  // Records deferred completions whose record is written anyway, or all of them while writes are
  // plentiful.
  void record_deferred_completions(std::vector<RoundPlan::Completion> completions,
                                   WriteBudget write_budget, Time now, RecordBatch& batch,
                                   RoundPlan& plan);
  // Returns the offered jobs that have tasks waiting and may start them in this round.
  std::vector<WaitingJob> waiting_jobs(WriteBudget write_budget, Time now,
                                       const RecordBatch& batch);
  // Counts the job's assigned tasks by zone.
  void count_tasks_by_zone(WaitingJob& waiting_job) const;
  // Returns the machines of this member that may be given tasks in this round.
  OpenMachines open_machines(Time now);
  // Returns the jobs' order by due time if the waiting tasks exceed the free capacity; otherwise
  // all zeros.
  std::vector<int> order_by_due_time(const std::vector<WaitingJob>& waiting,
                                     const std::vector<Bin>& bins, Time now) const;
  // Places waiting tasks on machines and adds the starts to the plan.
  void place_tasks(std::vector<WaitingJob>& waiting, Time now, RoundPlan& plan);
  // Returns whether another task of the job may start on the machine. `planned`: the resources that
  // this round already gives to the job's team.
  bool may_start(const WaitingJob& waiting_job, const Heartbeat& heartbeat,
                 const Resources& planned) const;
  // Returns the packing pass in which the machine is tried for the job: lower passes first,
  // negative means never.
  int packing_pass(const protocol::JobSpec& spec, const Machine& machine,
                   std::optional<Seconds> start_within, bool prefers_preemption, Time now) const;
  // Adds the plan's starts to the batch and drops those that the batch cannot take.
  static void record_starts(RecordBatch& batch, RoundPlan& plan);
  // Reserves machines or preempts lower-ranked tasks for the tasks that were not placed.
  void free_capacity(const std::vector<WaitingJob>& waiting, const RoundPlan& plan, Time now);
  // Collects the attempts that have certainly ended on the machines of this member.
  void collect_completions(Time now, std::vector<RoundPlan::Completion>& completions);
  // Collects the attempts that have certainly ended on one machine. `machine` is null if the
  // machine has not sent a heartbeat to this controller.
  void collect_completions_on(const MachineId& id, Machine* machine, Time now,
                              std::vector<RoundPlan::Completion>& completions);
  // Returns whether the completion can be recorded later, together with others of the same record.
  bool can_defer(const RoundPlan::Completion& completion, const std::set<TaskId>& ended, Time now);
  // Decides which jobs with failed attempts are sound, and cordons the machines that are faulty.
  void evaluate_failures(Time now);
  // Returns whether a task of the job has run long enough here to show that the job is sound.
  // Machines on which one of its tasks failed lately do not count.
  bool has_stable_run(const Job& job, Time now) const;
  // Returns whether the job fails on every machine, as seen by this controller or reported by a
  // peer.
  bool is_crash_looping(const JobId& id, Time now) const;
  // Returns how long the ended attempt ran, as observed by this controller; 0 if it is unknown.
  Seconds run_before_end(const RoundPlan::Completion& completion) const;
  // Feeds the run time of an ended attempt into the run time estimates.
  void learn_run_time(const RoundPlan::Completion& completion);
  // Runs the periodic checks of a round: drains, silent machines, failed attempts, worker contact.
  void run_periodic_checks(Time now);
  // How long a machine may send no heartbeats (`without_heartbeat`), or send heartbeats that show
  // that no response arrives (`without_response`), before it counts as silent.
  struct SilenceLimits {
    Seconds without_heartbeat, without_response;
  };
  // The silent machines of this member, and how many of its machines have overdue heartbeats.
  struct SilenceCounts {
    std::set<MachineId> silent;
    std::size_t owned = 0, overdue = 0;
  };
  SilenceLimits silence_limits() const;
  // Requests the release of empty cordoned machines, and moves services off draining machines.
  void progress_drains(Time now);
  SilenceCounts count_silent_machines(Time now);
  // Returns false while or shortly after many machines are silent at once: then the network is
  // probably at fault, and the machines must not be released.
  bool may_release_silent(const SilenceCounts& counts, Time now);
  // Updates the set of silent machines whose release is requested.
  void update_silent_machines(const SilenceCounts& counts, Time now);
  // Stops one service on a draining machine if another machine can take it now.
  void move_service_away(Machine& machine, const Partitions& known_partitions, Time now);
  // Returns the autoscaler's input: the machines of all members that reported within the last
  // minute.
  FleetStatus fleet_status(Time now, double wall_now);
  // Returns the release requests of this member and of the peers that reported recently.
  ReleaseRequests fleet_release_requests(Time now) const;
  // Returns how many tasks of a starving job go ahead of all other work; none if it is not
  // starving.
  std::optional<std::size_t> starving_tasks(const Job& job, Time now) const;
  // Returns the machines that have recorded assignments, are owned by this member, and have sent it
  // no heartbeat since it became the owner.
  const std::vector<MachineId>& owned_without_heartbeat(Time now);
  // Returns the time that the machine needs to fetch the job's image; 0 if the image is there.
  Seconds fetch_time(const Machine& machine, const protocol::JobSpec& spec) const;
  // Returns the machines of this member and of each peer whose last status is at most `max_age`
  // old. The pointers are valid until the machines or the peers' statuses change.
  Partitions partitions(Time now, Seconds max_age);

  const base::Settings& settings_;
  StateCache cache_;
  JobPriorities priorities_;
  PeerRegistry peers_;
  AuthorityLease authority_;
  Ownership ownership_;
  FormerAuthority former_authority_;
  PeerContact peer_contact_;
  Leadership leadership_;
  MembershipProposals proposals_;
  PauseDetector pauses_;
  WorkerContactMonitor contact_monitor_;
  OwnershipClaims ownership_claims_;
  OwnershipTransfers transfers_;
  // Aliases for frequently read members of the parts above.
  const ControllerIncarnation& self_ = authority_.self();
  const Version& installed_view_ = ownership_.installed_view();
  const Time& view_installed_at_ = ownership_.view_installed_at();
  std::optional<Time> many_silent_at_;  // when too many machines were last silent at once

  AttemptTracker attempts_{cache_};
  CapacityCalculator capacity_{cache_, priorities_, attempts_};
  MachineRegistry machines_{settings_, cache_, capacity_};
  const std::map<MachineId, Time>& released_ = machines_.released();
  CapacityReservations reservations_{cache_};
  PreemptionPlanner preemption_{settings_, cache_,    priorities_,
                                capacity_, machines_, reservations_};
  // Since when this member has owned a machine with recorded assignments. The silence of machines
  // that have sent no heartbeat counts from then on.
  std::map<MachineId, Time> owned_since_;
  // Silent machines of this member whose release is requested; a release proves that their tasks
  // ended.
  std::set<MachineId> silent_machines_;
  OfferPool offer_pool_{settings_};
  FailureTracker failures_;
  OfferRouter offer_router_{settings_, cache_, priorities_, failures_};
  // The cached result of owned_without_heartbeat().
  std::vector<MachineId> owned_without_heartbeat_;
  Time owned_without_heartbeat_at_{};  // when it was computed

  Autoscaler autoscaler_;
};

}  // namespace saddleslip::coordination

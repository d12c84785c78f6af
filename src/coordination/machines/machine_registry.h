// The machines that send their heartbeats to this controller.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "coordination/machines/capacity_calculator.h"
#include "coordination/machines/status_revisions.h"
#include "protocol/messages.h"
#include "protocol/records.h"
#include "storage/machine.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// How a heartbeat was received. Only a heartbeat that the agent sends by itself renews the
// machine's lease: an agent that cannot connect to any controller will lose its lease, and stop its
// tasks, even if it still replies to commands.
enum class HeartbeatSource { kAgent, kCommandReply };

// The installed view, as far as the fencing of machines depends on it.
struct InstalledView {
  base::FencingToken first_token;
  base::Time others_act_until{};  // when the owners under earlier views have ceased to act
  bool follows_previous = false;  // no view was skipped since the one installed before
};

// Records heartbeats and provides the state of the machines. Iterates as a map from machine id to
// machine. Holds state only; not safe for use from several threads at once.
class MachineRegistry {
 public:
  using Machines = std::map<base::MachineId, storage::Machine>;

  MachineRegistry(const base::Settings& settings, const storage::StateCache& cache,
                  const CapacityCalculator& capacity)
      : settings_(settings), cache_(cache), capacity_(capacity) {}

  Machines::iterator begin() { return machines_.begin(); }
  Machines::iterator end() { return machines_.end(); }
  Machines::iterator find(const base::MachineId& machine) { return machines_.find(machine); }
  Machines::const_iterator begin() const { return machines_.begin(); }
  Machines::const_iterator end() const { return machines_.end(); }
  Machines::const_iterator find(const base::MachineId& machine) const {
    return machines_.find(machine);
  }
  // Returns the machine, which must be known.
  storage::Machine& at(const base::MachineId& machine) { return machines_.at(machine); }
  bool contains(const base::MachineId& machine) const { return machines_.contains(machine); }
  std::size_t size() const { return machines_.size(); }

  // Drops the machines that this controller no longer owns, and fences the others with the tokens
  // of the new view.
  void install_view(const InstalledView& view,
                    const std::function<bool(const base::MachineId&)>& owns);

  // Records a heartbeat and returns its machine. Returns null and ignores the heartbeat if it is
  // not newer than the last one, if its machine was released, or if its agent incarnation has
  // ended.
  const storage::Machine* record_heartbeat(const protocol::Heartbeat& heartbeat,
                                           HeartbeatSource source, base::Time now);
  // Returns the response to the machine's last heartbeat. None if `heartbeat` is not the last one:
  // a later one was answered, and the agent would drop a response to this one.
  std::optional<std::string> response_to(const protocol::Heartbeat& heartbeat, base::Time now);
  // Ends the current incarnation of the machine's agent, whose lease has expired: its heartbeats
  // are ignored from now on.
  void end_agent_incarnation(const storage::Machine& machine);

  // Marks that a command to the machine was not answered. Until its next heartbeat, commands are
  // sent only in heartbeat responses: with dozens of dead machines, waiting for each one's timeout
  // delayed the commands to all others.
  void mark_commands_lost(const base::MachineId& machine);
  // Cordons the machine if it has no assigned tasks: it accepts no new tasks.
  void cordon_if_idle(const base::MachineId& machine);
  // Cordons the machine and marks its services to be moved to other machines.
  void drain(const base::MachineId& machine);

  // Records that the cloud has released the machine, so that its tasks have ended. Returns false if
  // the release was already recorded.
  bool mark_released(const base::MachineId& machine, base::Time now);
  // Returns the released machines and when each was released. They are kept for a while, since late
  // heartbeats and the cloud's lists may still name them.
  const std::map<base::MachineId, base::Time>& released() const { return released_; }
  // Drops machines that were released long ago and have no recorded assignments.
  void expire_released(base::Time now);

  // Returns the machine's zone; empty if it is unknown.
  std::string zone_of(const base::MachineId& machine) const;
  // Sets the machine's zone, whether or not the machine reports to this controller.
  void set_zone(const base::MachineId& machine, const std::string& zone) { zones_[machine] = zone; }
  // Sets the machine's zone unless a zone is already set.
  void set_zone_if_unknown(const base::MachineId& machine, const std::string& zone) {
    zones_.try_emplace(machine, zone);
  }

  // Returns whether the machine may be given tasks: it has sent a heartbeat recently, and its
  // heartbeats show that responses reach it.
  bool is_schedulable(const storage::Machine& machine, base::Time now) const;
  // Returns whether the machine's last heartbeat is at most 2.5 heartbeat intervals old.
  bool has_recent_heartbeat(const storage::Machine& machine, base::Time now) const;

  // Updates machine.status, the status that is sent to peers.
  void update_status(storage::Machine& machine, base::Time now);
  // Adds to the status all changes of machines after the revision that the peer has acknowledged.
  void add_status_changes(const base::MemberId& peer, base::Time now,
                          protocol::MemberStatus& status);
  // Records that the peer has applied the status up to this revision; 0 requests a full status.
  void acknowledge(const base::MemberId& peer, std::uint64_t revision) {
    status_revisions_.acknowledge(peer, revision);
  }

 private:
  // The parts of a machine's status that depend on the time; the members correspond to those of
  // MachineStatus.
  struct Condition {
    bool is_silent = false, heartbeat_overdue = false, awaits_confirmation = false,
         has_unacknowledged_response = false, open = false;
    base::Time idle_since{};
  };

  storage::Machine& add_machine(const protocol::Heartbeat& heartbeat, base::Time now);
  // Returns whether the heartbeat's machine was released or its agent incarnation has ended.
  bool is_outdated(const protocol::Heartbeat& heartbeat) const;
  // Cordons the machine if its last heartbeat passes on the cloud's notice that it will be
  // reclaimed.
  static void record_reclaim_notice(storage::Machine& machine, base::Time now);
  // Records which images the machine has or fetches, by the tasks in its last heartbeat.
  void record_images(storage::Machine& machine) const;
  // Records since when the machine's tasks have been running, and how long ended tasks ran.
  static void record_run_times(storage::Machine& machine, base::Time now);
  // Returns whether tasks are assigned to the machine, or it reports an attempt that has not ended.
  bool is_busy(const storage::Machine& machine) const;

  Condition condition_of(const storage::Machine& machine, const storage::MachineCapacity& capacity,
                         base::Time now) const;
  // Returns whether machine.status still corresponds to this condition and capacity.
  static bool is_status_current(const storage::Machine& machine, const Condition& condition,
                                const storage::MachineCapacity& capacity);

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  const CapacityCalculator& capacity_;
  Machines machines_;
  StatusRevisions status_revisions_;
  InstalledView view_;
  std::map<base::MachineId, base::Time> released_;
  std::map<base::MachineId, base::AgentIncarnation> ended_incarnations_;
  std::map<base::MachineId, std::string> zones_;
};

}  // namespace saddleslip::coordination

// The machines that report to this controller.
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

// How a heartbeat came. Only one that the agent sent by itself renews the machine's lease: an agent that
// can't open connections to any controller is about to lose all that runs on it, however well it replies.
enum class HeartbeatSource { kAgent, kCommandReply };

// A view that was just installed.
struct FencingBase {
  base::FencingToken first_token;
  base::Time installed_at{};
  bool follows_previous = false;  // no view between this one and the one before was skipped
};

// Takes in heartbeats, and answers what is known of machines. Iterates as a map from the machine's id to
// the machine. Holds state only; not safe for use from several threads at once.
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
  // Requires that the machine is known.
  storage::Machine& at(const base::MachineId& machine) { return machines_.at(machine); }
  bool contains(const base::MachineId& machine) const { return machines_.contains(machine); }
  std::size_t size() const { return machines_.size(); }

  // Drops the machines that are no longer owned; the others are fenced from the new view on.
  void install_view(const FencingBase& view,
                    const std::function<bool(const base::MachineId&)>& owns);

  // Returns the machine; null if the heartbeat is ignored: it is older than the last one, or its machine
  // is released, or its agent incarnation is known to be over.
  const storage::Machine* record_heartbeat(const protocol::Heartbeat& heartbeat,
                                           HeartbeatSource source, base::Time now);
  // The response to the machine's last heartbeat. Nothing if `heartbeat` is not the last one: what came
  // after it has been answered, and the agent drops a response to this one.
  std::optional<std::string> respond(const protocol::Heartbeat& heartbeat, base::Time now);
  // Heartbeats of the agent's present incarnation are ignored from now on: its lease has run out.
  void end_agent_incarnation(const storage::Machine& machine);

  // A command was not answered. Until the machine reports again, commands go with the responses to its
  // heartbeats only: with dozens of dead machines, waiting for each held up the commands for all others.
  void mark_commands_lost(const base::MachineId& machine);
  // The machine takes no new tasks if nothing is assigned to it.
  void cordon_if_idle(const base::MachineId& machine);
  // The machine takes no new tasks, and its services are moved elsewhere.
  void drain(const base::MachineId& machine);

  // The cloud has released the machine: all that ran on it is over. False: that was known.
  bool mark_released(const base::MachineId& machine, base::Time now);
  // When machines were released. Kept for a while, since late heartbeats and lists may name them.
  const std::map<base::MachineId, base::Time>& released() const { return released_; }
  void expire_released(base::Time now);

  // Empty: not known.
  std::string zone_of(const base::MachineId& machine) const;
  void set_zone(const base::MachineId& machine, const std::string& zone) { zones_[machine] = zone; }
  void set_zone_if_unknown(const base::MachineId& machine, const std::string& zone) {
    zones_.try_emplace(machine, zone);
  }

  // Has the machine reported lately, and does it receive what it is told?
  bool is_schedulable(const storage::Machine& machine, base::Time now) const;
  bool has_recent_heartbeat(const storage::Machine& machine, base::Time now) const;

  // Brings machine.status up to date.
  void update_status(storage::Machine& machine, base::Time now);
  // Adds to the status what has changed since what the peer has acknowledged.
  void add_changes(const base::MemberId& peer, base::Time now, protocol::MemberStatus& status);
  // The peer has taken in the status up to that revision; 0: it asks for all.
  void acknowledge(const base::MemberId& peer, std::uint64_t revision) {
    status_revisions_.acknowledge(peer, revision);
  }

 private:
  // What of a machine's status depends on the time.
  struct Condition {
    bool silent = false, late = false, soon = false, unsure = false, open = false;
    base::Time idle_since{};
  };

  storage::Machine& add_machine(const protocol::Heartbeat& heartbeat, base::Time now);
  bool is_outdated(const protocol::Heartbeat& heartbeat) const;
  static void note_notice(storage::Machine& machine, base::Time now);
  // Notes the images that the tasks of the last heartbeat use.
  void note_images(storage::Machine& machine) const;
  // Notes since when its tasks run, and how long those ran that run no more.
  static void note_run_times(storage::Machine& machine, base::Time now);
  bool is_busy(const storage::Machine& machine) const;

  Condition condition_of(const storage::Machine& machine, const storage::MachineCapacity& capacity,
                         base::Time now) const;
  static bool is_status_current(const storage::Machine& machine, const Condition& condition,
                                const storage::MachineCapacity& capacity);

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  const CapacityCalculator& capacity_;
  Machines machines_;
  StatusRevisions status_revisions_;
  FencingBase view_;
  std::map<base::MachineId, base::Time> released_;
  std::map<base::MachineId, base::AgentIncarnation> ended_incarnations_;
  std::map<base::MachineId, std::string> zones_;
};

}  // namespace saddleslip::coordination

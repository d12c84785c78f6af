#include "coordination/machines/machine_registry.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/log.h"
#include "coordination/machines/commands_due.h"

namespace saddleslip::coordination {

namespace {

using base::AgentIncarnation;
using base::MachineId;
using base::Seconds;
using base::TaskId;
using base::Time;
using protocol::Heartbeat;
using protocol::MachineStatus;
using protocol::TaskState;
using storage::Machine;
using storage::MachineCapacity;

// How long released machines are remembered, so that late heartbeats of theirs are ignored.
constexpr Seconds kReleasedRetention{600.0};
// A heartbeat response carries a new fencing token if the current one is older than this share of
// the worker lease.
constexpr double kTokenRenewalLeaseShare = 0.5;
// A machine is not schedulable after this many heartbeat intervals without a heartbeat.
constexpr double kRecentHeartbeatIntervals = 2.5;
// A half-open machine, which responses from here do not reach, tries the controllers in turn and
// sends its next heartbeat here within this time.
constexpr Seconds kHalfOpenRetryPeriod{20.0};

// Returns whether the status lists the machine's current images.
bool lists_same_images(const MachineStatus& status, const Machine& machine) {
  return std::equal(status.images.begin(), status.images.end(), machine.images.begin(),
                    machine.images.end(),
                    [](const std::string& a, const auto& b) { return a == b.first; });
}

// Returns the agent incarnation and the sequence number that identify the machine's last heartbeat.
std::pair<AgentIncarnation, base::Sequence> heartbeat_id(const Machine& machine) {
  return {machine.last_heartbeat.agent_incarnation, machine.last_heartbeat.sequence};
}

}  // namespace

void MachineRegistry::install_view(const InstalledView& view,
                                   const std::function<bool(const MachineId&)>& owns) {
  view_ = view;
  std::erase_if(machines_, [&](const auto& entry) {
    if (owns(entry.first)) return false;
    status_revisions_.record_departure(entry.first);
    return true;
  });
  for (auto& [id, machine] : machines_) {
    machine.continue_fencing(view.first_token, view.follows_previous, view.others_act_until);
  }
}

bool MachineRegistry::is_outdated(const Heartbeat& heartbeat) const {
  if (released_.contains(heartbeat.machine)) return true;
  const auto ended = ended_incarnations_.find(heartbeat.machine);
  return ended != ended_incarnations_.end() && heartbeat.agent_incarnation <= ended->second;
}

const Machine* MachineRegistry::record_heartbeat(const Heartbeat& heartbeat, HeartbeatSource source,
                                                 Time now) {
  if (is_outdated(heartbeat)) return nullptr;
  zones_[heartbeat.machine] = heartbeat.zone;
  const auto known = machines_.find(heartbeat.machine);
  const bool is_new = known == machines_.end();
  if (!is_new && !known->second.is_newer(heartbeat)) return nullptr;
  Machine& machine = is_new ? add_machine(heartbeat, now) : known->second;
  if (!is_new && heartbeat.agent_incarnation != machine.last_heartbeat.agent_incarnation) {
    spdlog::info("agent restarted, its earlier tasks have ended: machine={} agent_incarnation={}",
                 heartbeat.machine.get(), heartbeat.agent_incarnation.get());
    machine.begin_agent_incarnation(now);
  }
  const bool is_from_agent = source == HeartbeatSource::kAgent;
  if (is_from_agent && machine.track_acknowledgement(heartbeat.fencing_token, now)) {
    spdlog::info("machine is half open, responses do not reach it: machine={}",
                 heartbeat.machine.get());
  }
  machine.last_heartbeat = heartbeat;
  if (is_from_agent || is_new) machine.last_heartbeat_at = now;
  machine.commands_lost = false;
  record_reclaim_notice(machine, now);
  record_images(machine);
  record_run_times(machine, now);
  if (is_busy(machine)) machine.idle_since = now;
  std::erase_if(machine.tasks_to_evict, [&](const TaskId& task) {
    return !cache_.assignments_on(heartbeat.machine).contains(task);
  });
  return &machine;
}

Machine& MachineRegistry::add_machine(const Heartbeat& heartbeat, Time now) {
  status_revisions_.record_arrival(heartbeat.machine);
  Machine& machine = machines_[heartbeat.machine];
  machine.idle_since = now;
  machine.start_fencing(view_.first_token);
  machine.last_answered_at = view_.others_act_until;
  spdlog::info("machine joined: machine={} type={} zone={}{} agent_incarnation={} tasks={}",
               heartbeat.machine.get(), heartbeat.type, heartbeat.zone,
               heartbeat.spot ? " spot" : "", heartbeat.agent_incarnation.get(),
               heartbeat.tasks.size());
  return machine;
}

void MachineRegistry::record_reclaim_notice(Machine& machine, Time now) {
  const auto& notice = machine.last_heartbeat.time_to_preemption;
  if (!notice || machine.reclaim_at) return;
  machine.reclaim_at = base::after(now, *notice);
  machine.cordoned = true;
  spdlog::info("cloud will reclaim the machine: machine={} seconds_left={:.1f}",
               machine.last_heartbeat.machine.get(), notice->count());
}

void MachineRegistry::record_images(Machine& machine) const {
  machine.pulling.clear();
  const auto* type = cache_.type(machine.last_heartbeat.type);
  if (!type) return;
  for (const auto& [task, attempts] : machine.last_heartbeat.tasks) {
    const storage::Job* job = cache_.job(task.job);
    if (!job) continue;
    const auto& spec = job->record.spec;
    for (const auto& reported : attempts) {
      if (reported.state == TaskState::kPulling) {
        machine.pulling.insert(spec.image);
      } else if (reported.state == TaskState::kRunning ||
                 reported.cause == protocol::EndCause::kDone) {
        machine.record_image_use(spec.image, spec.image_gb, type->cache_gb);
      }
    }
  }
}

void MachineRegistry::record_run_times(Machine& machine, Time now) {
  const Heartbeat& heartbeat = machine.last_heartbeat;
  std::map<TaskId, Time> running;
  for (const auto& [task, attempts] : heartbeat.tasks) {
    for (const auto& reported : attempts) {
      if (reported.state != TaskState::kRunning) continue;
      const auto before = machine.running_since.find(task);
      const bool has_just_begun = before == machine.running_since.end();
      running[task] = has_just_begun ? now : before->second;
      if (has_just_begun) {
        spdlog::debug("task is running: task={}/{} machine={}", task.job.get(), task.no,
                      heartbeat.machine.get());
      }
    }
  }
  for (const auto& [task, since] : machine.running_since) {
    if (!running.contains(task)) machine.ended_run_times[task] = base::between(since, now);
  }
  std::erase_if(machine.ended_run_times,
                [&](const auto& entry) { return !heartbeat.tasks.contains(entry.first); });
  machine.running_since = std::move(running);
}

bool MachineRegistry::is_busy(const Machine& machine) const {
  const Heartbeat& heartbeat = machine.last_heartbeat;
  if (!cache_.assignments_on(heartbeat.machine).empty()) return true;
  return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [](const auto& entry) {
    return std::any_of(entry.second.begin(), entry.second.end(),
                       [](const auto& reported) { return reported.state != TaskState::kEnded; });
  });
}

std::optional<std::string> MachineRegistry::response_to(const Heartbeat& heartbeat, Time now) {
  const auto at = machines_.find(heartbeat.machine);
  if (at == machines_.end()) return {};
  Machine& machine = at->second;
  if (machine.last_heartbeat.sequence != heartbeat.sequence ||
      machine.last_heartbeat.agent_incarnation != heartbeat.agent_incarnation) {
    return {};
  }
  machine.last_answered_at = now;
  const auto token =
      machine.token_for_response(settings_.worker_lease * kTokenRenewalLeaseShare, now);
  const auto commands = commands_due(machine, capacity_.of(machine).has_kills_due, cache_);
  return protocol::encode_heartbeat_response(token, commands);
}

void MachineRegistry::end_agent_incarnation(const Machine& machine) {
  AgentIncarnation& ended = ended_incarnations_[machine.last_heartbeat.machine];
  ended = std::max(ended, machine.last_heartbeat.agent_incarnation);
}

void MachineRegistry::mark_commands_lost(const MachineId& machine) {
  const auto at = machines_.find(machine);
  if (at != machines_.end()) at->second.commands_lost = true;
}

void MachineRegistry::cordon_if_idle(const MachineId& machine) {
  const auto at = machines_.find(machine);
  if (at == machines_.end() || at->second.cordoned) return;
  if (!cache_.assignments_on(machine).empty()) return;
  at->second.cordoned = true;
  spdlog::info("idle machine cordoned: machine={}", machine.get());
}

void MachineRegistry::drain(const MachineId& machine) {
  const auto at = machines_.find(machine);
  if (at == machines_.end() || at->second.cordoned) return;
  at->second.cordoned = true;
  at->second.draining = true;
  spdlog::info("machine cordoned, its services are being moved: machine={}", machine.get());
}

bool MachineRegistry::mark_released(const MachineId& machine, Time now) {
  if (!released_.emplace(machine, now).second) return false;
  if (machines_.erase(machine) > 0) status_revisions_.record_departure(machine);
  zones_.erase(machine);
  spdlog::info("machine released: machine={}", machine.get());
  return true;
}

void MachineRegistry::expire_released(Time now) {
  std::erase_if(released_, [&](const auto& entry) {
    return base::between(entry.second, now) > kReleasedRetention &&
           !cache_.assignments_by_machine().contains(entry.first);
  });
}

std::string MachineRegistry::zone_of(const MachineId& machine) const {
  const auto at = zones_.find(machine);
  return at == zones_.end() ? std::string() : at->second;
}

bool MachineRegistry::is_schedulable(const Machine& machine, Time now) const {
  return machine.is_confirmed() && !machine.is_half_open() && has_recent_heartbeat(machine, now);
}

bool MachineRegistry::has_recent_heartbeat(const Machine& machine, Time now) const {
  return base::between(machine.last_heartbeat_at, now) <
         settings_.heartbeat_interval * kRecentHeartbeatIntervals;
}

MachineRegistry::Condition MachineRegistry::condition_of(const Machine& machine,
                                                         const MachineCapacity& capacity,
                                                         Time now) const {
  const Seconds since_heartbeat = base::between(machine.last_heartbeat_at, now);
  Condition condition;
  condition.is_silent = !is_schedulable(machine, now);
  // A late heartbeat does not make the machine unschedulable yet. Together with heartbeats that
  // arrive at other controllers it shows that the machine cannot reach this one.
  condition.heartbeat_overdue =
      since_heartbeat > settings_.heartbeat_interval * storage::kHeartbeatOverdueIntervals;
  condition.awaits_confirmation = !machine.cordoned && !machine.is_confirmed() &&
                                  !machine.is_half_open() && has_recent_heartbeat(machine, now);
  condition.has_unacknowledged_response =
      machine.unacknowledged_replies > 0 && since_heartbeat < kHalfOpenRetryPeriod;
  condition.open = !machine.cordoned && !condition.is_silent;
  condition.idle_since = capacity.assigned > 0 ? Time{} : machine.idle_since;
  return condition;
}

bool MachineRegistry::is_status_current(const Machine& machine, const Condition& condition,
                                        const MachineCapacity& capacity) {
  const MachineStatus& status = machine.status;
  return machine.status_changed_at != 0 && status.is_silent == condition.is_silent &&
         status.heartbeat_overdue == condition.heartbeat_overdue &&
         status.awaits_confirmation == condition.awaits_confirmation &&
         status.has_unacknowledged_response == condition.has_unacknowledged_response &&
         status.open == condition.open && status.idle_since == condition.idle_since &&
         status.tasks == capacity.assigned && status.free == capacity.free &&
         status.preemptible == capacity.preemptible &&
         (machine.status_heartbeat == heartbeat_id(machine) || lists_same_images(status, machine));
}

// The status is rebuilt only when something in it has changed: with hundreds of machines, copying
// it in each round and for each peer took most of the processor time.
void MachineRegistry::update_status(Machine& machine, Time now) {
  const MachineCapacity& capacity = capacity_.of(machine);
  const Condition condition = condition_of(machine, capacity, now);
  const auto heartbeat = heartbeat_id(machine);
  if (is_status_current(machine, condition, capacity)) {
    machine.status_heartbeat = heartbeat;
    return;
  }
  MachineStatus& status = machine.status;
  const bool is_new = machine.status_changed_at == 0;
  if (is_new) {
    status.id = machine.last_heartbeat.machine;
    status.type = machine.last_heartbeat.type;
    status.zone = machine.last_heartbeat.zone;
    status.spot = machine.last_heartbeat.spot;
  }
  status.is_silent = condition.is_silent;
  status.heartbeat_overdue = condition.heartbeat_overdue;
  status.awaits_confirmation = condition.awaits_confirmation;
  status.has_unacknowledged_response = condition.has_unacknowledged_response;
  status.open = condition.open;
  status.idle_since = condition.idle_since;
  status.free = capacity.free;
  status.preemptible = capacity.preemptible;
  status.tasks = capacity.assigned;
  if (is_new || machine.status_heartbeat != heartbeat) {
    status.images.clear();
    for (const auto& [image, gb] : machine.images) status.images.push_back(image);
    machine.status_heartbeat = heartbeat;
  }
  machine.status_changed_at = status_revisions_.advance();
}

void MachineRegistry::add_status_changes(const base::MemberId& peer, Time now,
                                         protocol::MemberStatus& status) {
  status.base_revision = status_revisions_.acknowledged(peer);
  for (auto& [id, machine] : machines_) {
    update_status(machine, now);
    if (machine.status_changed_at > status.base_revision) status.machines.push_back(machine.status);
  }
  status.departed_machines = status_revisions_.departed_since(status.base_revision);
  status.revision = status_revisions_.current();
  status_revisions_.prune_departed(settings_.peers);
}

}  // namespace saddleslip::coordination

#include "coordination/controller.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "coordination/records/finalization.h"
#include "coordination/records/garbage_collection.h"
#include "coordination/records/record_splitting.h"

namespace saddleslip::coordination {

namespace {

constexpr Seconds kReleaseRequestMaxAge{5.0};  // older release requests of peers are ignored
// The machines in a peer's last status count as part of the fleet for this long.
constexpr Seconds kFleetStatusMaxAge{60.0};
constexpr std::size_t kMaxReportedCrashLoopingJobs = 256;  // in one status message

}  // namespace

Controller::Controller(const base::Settings& settings)
    : settings_(settings),
      cache_(settings),
      priorities_(settings_, cache_),
      authority_(settings_, cache_),
      ownership_(cache_, authority_),
      former_authority_(settings_),
      leadership_(cache_, authority_),
      proposals_({settings_, cache_, authority_, leadership_, peer_contact_}),
      contact_monitor_(pauses_),
      ownership_claims_(settings_, ownership_, former_authority_, peers_),
      transfers_({settings_, cache_, authority_, ownership_, peers_}),
      autoscaler_(settings_, cache_, priorities_) {}

// --- membership

void Controller::install_view(Time now) {
  peer_contact_.update_members(cache_.members(), now);
  if (leadership_.update(now) == LeadershipChange::kGained) {
    proposals_.include_all_members();
    autoscaler_.become_leader(now);
  }
  const auto installation = ownership_.install_view(now);
  if (!installation) return;
  const FencingToken base = installation->base_fencing_token;
  const bool follows_previous = installation->follows_previous;
  former_authority_.record_view(*cache_.view(), cache_.members(), follows_previous, now);
  machines_.install_view({base, former_authority_.ends_at(), follows_previous},
                         [this](const MachineId& id) { return owns(id); });
  std::erase_if(owned_since_, [&](const auto& m) { return !follows_previous || !owns(m.first); });
  attempts_.forget_never_started();
  // Tasks offered to members that have left must be offered to others at once.
  offer_router_.forget_offers();
  std::string names;
  for (const ControllerIncarnation& m : cache_.view()->members) {
    names +=
        (names.empty() ? "" : ", ") + m.member.get() + "#" + std::to_string(m.incarnation.get());
  }
  spdlog::info("view installed: view={} members=[{}] this_process={} others_authority_s={:.1f}",
               cache_.view()->epoch.get(), names,
               has_member(*cache_.view(), self_) ? "a member" : "not a member",
               base::between(now, former_authority_.ends_at()).count());
}

std::optional<Transaction> Controller::propose_membership_change(Time now, base::LeaseId lease) {
  if (auto transaction = proposals_.propose(now, lease)) return transaction;
  if (!is_leader(now)) return {};
  proposals_.exclude_lost_members(now);
  const auto is_released = [this](const MachineId& id) { return released_.contains(id); };
  const auto new_owners = transfers_.due_transfers(own_report(now), is_released, now);
  return proposals_.propose_view(new_owners, is_released);
}

// --- workers

WorkerReply Controller::handle_heartbeat(const Heartbeat& heartbeat, Time now) {
  detect_pause(now);
  if (!cache_.view() || cache_.view()->members.empty()) {
    return {503, protocol::error_body("no view yet")};
  }
  const ControllerIncarnation* owner_incarnation = owner(heartbeat.machine);
  if (owner_incarnation->member != self_.member) {
    ownership_claims_.record_redirection(heartbeat.machine, *owner_incarnation, now);
    return {421, protocol::encode_redirect(owner_incarnation->member)};
  }
  if (!has_authority(now)) return {503, protocol::error_body("not entitled to act now")};
  if (released_.contains(heartbeat.machine)) return {503, protocol::error_body("released")};
  record_heartbeat(heartbeat, HeartbeatSource::kAgent, now);
  auto response = machines_.response_to(heartbeat, now);
  if (!response) return {503, protocol::error_body("an old report")};
  return {200, std::move(*response)};
}

void Controller::handle_command_reply(const MachineId& machine,
                                      const std::optional<Heartbeat>& heartbeat, Time now) {
  if (!heartbeat || heartbeat->machine != machine || !owns(machine)) return;
  record_heartbeat(*heartbeat, HeartbeatSource::kCommandReply, now);
}

void Controller::record_heartbeat(const Heartbeat& heartbeat, HeartbeatSource source, Time now) {
  const Machine* machine = machines_.record_heartbeat(heartbeat, source, now);
  if (machine && source == HeartbeatSource::kAgent) attempts_.mark_never_started(*machine);
}

bool Controller::drop_stale_commands(CommandBatch& batch, Time now) const {
  if (!has_authority(now)) return false;
  std::erase_if(batch.commands, [this](const Command& command) {
    const Job* job = cache_.job(command.task.job);
    return command.op == Command::Op::kRun && (!job || job->cancelled());
  });
  return !batch.commands.empty();
}

void Controller::mark_released(const std::vector<MachineId>& machines, Time now) {
  for (const MachineId& id : machines) {
    if (!machines_.mark_released(id, now)) continue;
    // Recompute the list, so that its tasks are recorded as ended now.
    owned_without_heartbeat_at_ = Time{};
    silent_machines_.erase(id);
    failures_.forget_machine(id);
  }
  machines_.expire_released(now);
}

void Controller::cordon_idle(const std::vector<MachineId>& machines) {
  for (const MachineId& id : machines) machines_.cordon_if_idle(id);
}

void Controller::drain(const std::vector<MachineId>& machines) {
  for (const MachineId& id : machines) machines_.drain(id);
}

// --- peers

std::vector<MachineId> Controller::release_requests() const {
  std::vector<MachineId> requested;
  for (const auto& [id, machine] : machines_) {
    if (machine.release_requested) requested.push_back(id);
  }
  for (const MachineId& id : silent_machines_) {
    const auto at = machines_.find(id);
    if (at == machines_.end() || !at->second.release_requested) requested.push_back(id);
  }
  return requested;
}

MemberStatus Controller::status(const MemberId& peer, Time now) {
  detect_pause(now);
  MemberStatus report;
  report.from = self_;
  report.has_lease = has_lease(now);
  machines_.add_status_changes(peer, now, report);
  report.release_requested = release_requests();
  report.misdirected = misdirected(now);
  report.worker_contact = worker_contact(now);
  report.crash_looping_jobs = failures_.crash_looping_jobs();
  if (report.crash_looping_jobs.size() > kMaxReportedCrashLoopingJobs)
    report.crash_looping_jobs.resize(kMaxReportedCrashLoopingJobs);
  if (cache_.leader() && cache_.leader()->member == peer)
    report.ownership_claims = ownership_claims(now);
  return report;
}

MemberInstructions Controller::handle_peer_status(const MemberStatus& status, Time now) {
  MemberInstructions instructions;
  if (!peers_.update(status, now)) {
    instructions.needs_full_status = true;
    return instructions;
  }
  for (const MachineStatus& machine : status.machines) {
    if (!released_.contains(machine.id)) machines_.set_zone(machine.id, machine.zone);
  }
  for (const MachineId& id : status.release_requested) {
    if (released_.contains(id)) instructions.released.push_back(id);
  }
  if (is_leader(now)) {
    MachineRequests requests = autoscaler_.take_requests(status.from.member);
    instructions.cordon = std::move(requests.cordon);
    instructions.drain = std::move(requests.drain);
  }
  return instructions;
}

Controller::Partitions Controller::partitions(Time now, Seconds max_age) {
  Partitions by_member;
  by_member.emplace_back(self_.member, std::vector<const MachineStatus*>{});
  by_member.back().second.reserve(machines_.size());
  for (auto& [id, machine] : machines_) {
    machines_.update_status(machine, now);
    by_member.back().second.push_back(&machine.status);
  }
  if (!cache_.view()) return by_member;
  for (const ControllerIncarnation& member : cache_.view()->members) {
    const auto peer = peers_.find(member.member);
    if (member == self_ || peer == peers_.end() || peer->second.from != member ||
        base::between(peer->second.last_status_at, now) > max_age) {
      continue;
    }
    by_member.emplace_back(member.member, std::vector<const MachineStatus*>{});
    by_member.back().second.reserve(peer->second.machines.size());
    for (const auto& [id, machine_status] : peer->second.machines)
      by_member.back().second.push_back(&machine_status);
  }
  return by_member;
}

// --- records

std::optional<Transaction> Controller::finalize_one_job(Time now) {
  if (!authority_.has_incarnation()) return {};
  return coordination::finalize_one_job(cache_, self_, settings_, priorities_.time_of_day(now));
}

std::optional<Transaction> Controller::split_one_record(Time now) {
  if (!has_authority(now)) return {};
  return coordination::split_one_record(cache_, self_, installed_view_, settings_);
}

std::optional<Transaction> Controller::collect_garbage() {
  if (!authority_.has_incarnation()) return {};
  return coordination::collect_garbage(cache_, self_, settings_);
}

// --- fleet

FleetStatus Controller::fleet_status(Time now, double wall_now) {
  FleetStatus fleet;
  fleet.now = now;
  fleet.wall_now = wall_now;
  fleet.self = self_.member;
  fleet.view_installed_at = view_installed_at_;
  for (auto& [member, machines] : partitions(now, kFleetStatusMaxAge)) {
    fleet.partitions.push_back({member, std::move(machines)});
  }
  fleet.is_released = [this](const MachineId& id) { return released_.contains(id); };
  return fleet;
}

ReleaseRequests Controller::fleet_release_requests(Time now) const {
  ReleaseRequests requests;
  const auto add = [&requests](const std::vector<MachineId>& requested,
                               const std::vector<MachineId>& misdirected_machines) {
    requests.requested.insert(requested.begin(), requested.end());
    requests.misdirected.insert(misdirected_machines.begin(), misdirected_machines.end());
  };
  add(release_requests(), misdirected(now));
  for (const auto& [member, peer] : peers_) {
    if (base::between(peer.last_status_at, now) > kReleaseRequestMaxAge ||
        !has_member(*cache_.view(), peer.from)) {
      continue;
    }
    add(peer.release_requested, peer.misdirected);
  }
  return requests;
}

ScalingActions Controller::plan_scaling(Time now, double wall_now) {
  if (!is_leader(now) || !has_authority(now) || cache_.catalogue().empty()) return {};
  const FleetStatus fleet = fleet_status(now, wall_now);
  const ReleaseRequests requests = fleet_release_requests(now);
  const auto crash_looping = [this, now](const JobId& id) { return is_crash_looping(id, now); };
  ScalingActions actions = autoscaler_.plan(fleet, requests, crash_looping);
  drain(actions.own_machine_requests.drain);
  cordon_idle(actions.own_machine_requests.cordon);
  return actions;
}

void Controller::handle_machine_list(const std::vector<protocol::CloudMachine>& machines, Time now,
                                     double wall_now) {
  if (!is_leader(now)) return;
  for (const protocol::CloudMachine& machine : machines) {
    if (!released_.contains(machine.id)) machines_.set_zone_if_unknown(machine.id, machine.zone);
  }
  autoscaler_.review_list(machines, fleet_status(now, wall_now));
}

void Controller::record_rented_machines(const MachineKind& kind,
                                        const std::vector<MachineId>& machines, double wall_now) {
  for (const MachineId& id : machines) machines_.set_zone(id, kind.zone);
  autoscaler_.record_rented(kind, machines, wall_now);
}

void Controller::record_released_machines(const std::vector<MachineId>& machines, Time now) {
  autoscaler_.record_released(machines);
  mark_released(machines, now);
}

}  // namespace saddleslip::coordination

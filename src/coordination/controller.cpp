#include "coordination/controller.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace saddleslip::coordination {

namespace {

constexpr std::size_t kMaxCrashLoopingJobs = 256;  // named in one status

}  // namespace

Controller::Controller(const base::Settings& settings)
    : settings_(settings),
      cache_(settings),
      priorities_(settings_, cache_),
      authority_(settings_, cache_),
      ownership_(cache_, authority_),
      leadership_(cache_, authority_),
      proposals_({settings_, cache_, authority_, leadership_, peer_contact_}),
      contact_monitor_(pauses_),
      ownership_claims_(settings_, ownership_, peers_),
      transfers_({settings_, cache_, authority_, ownership_, peers_}) {}

// --- membership

void Controller::install_view(Time now) {
  peer_contact_.update_members(cache_.members(), now);
  if (leadership_.update(now) == LeadershipChange::kGained) {
    proposals_.include_all_members();
    booting_ = cache_.booting();
    to_release_.clear();
    unheard_.clear();
  }
  const auto installed = ownership_.install_view(now);
  if (!installed) return;
  const FencingToken base = installed->base_fencing_token;
  const bool in_a_row = installed->follows_previous;
  machines_.install_view({base, now, in_a_row}, [this](const MachineId& id) { return owns(id); });
  std::erase_if(owned_since_, [&](const auto& m) { return !in_a_row || !owns(m.first); });
  attempts_.forget_never_started();
  // Shares handed to members that are gone must find a new home at once.
  offer_router_.forget_offers();
  std::string names;
  for (const ControllerIncarnation& m : cache_.view()->members) {
    names +=
        (names.empty() ? "" : ", ") + m.member.get() + "#" + std::to_string(m.incarnation.get());
  }
  spdlog::info("view {} of [{}], {}", cache_.view()->epoch.get(), names,
               has_member(*cache_.view(), self_) ? "a member" : "not a member");
}

std::optional<Transaction> Controller::propose_membership_change(Time now, base::LeaseId lease) {
  if (auto txn = proposals_.propose(now, lease)) return txn;
  if (!is_leader(now)) return {};
  proposals_.exclude_lost_members(now);
  const auto is_released = [this](const MachineId& id) { return released_.contains(id); };
  const auto transfers = transfers_.due(own_report(now), is_released, now);
  return proposals_.propose_view(transfers, is_released);
}

// --- workers

WorkerReply Controller::handle_heartbeat(const Heartbeat& heartbeat, Time now) {
  detect_pause(now);
  if (!cache_.view() || cache_.view()->members.empty()) {
    return {503, protocol::error_body("no view yet")};
  }
  const ControllerIncarnation* of = owner(heartbeat.machine);
  if (of->member != self_.member) {
    ownership_claims_.record_misdirected(heartbeat.machine, *of, now);
    return {421, protocol::redirect(of->member)};
  }
  if (!has_authority(now)) return {503, protocol::error_body("not entitled to act now")};
  if (released_.contains(heartbeat.machine)) return {503, protocol::error_body("released")};
  record_heartbeat(heartbeat, HeartbeatSource::kAgent, now);
  auto response = machines_.respond(heartbeat, now);
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
  if (machine && source == HeartbeatSource::kAgent) attempts_.note_heartbeat(*machine);
}

bool Controller::drop_stale_commands(CommandBatch& order, Time now) const {
  if (!has_authority(now)) return false;
  std::erase_if(order.commands, [this](const Command& c) {
    const Job* job = cache_.job(c.task.job);
    return c.op == Command::Op::kRun && (!job || job->cancelled());
  });
  return !order.commands.empty();
}

void Controller::mark_released(const std::vector<MachineId>& machines, Time now) {
  for (const MachineId& id : machines) {
    if (!machines_.mark_released(id, now)) continue;
    unheard_owned_at_ = Time{};  // its tasks are over: at once
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

// --- siblings

std::vector<MachineId> Controller::release_requests() const {
  std::vector<MachineId> out;
  for (const auto& [id, m] : machines_) {
    if (m.release_requested) out.push_back(id);
  }
  for (const MachineId& id : silent_machines_) {
    const auto at = machines_.find(id);
    if (at == machines_.end() || !at->second.release_requested) out.push_back(id);
  }
  return out;
}

MemberStatus Controller::status(const MemberId& to, Time now) {
  detect_pause(now);
  MemberStatus s;
  s.from = self_;
  s.has_state = has_lease(now);
  machines_.add_changes(to, now, s);
  s.release_requested = release_requests();
  s.misdirected = misdirected(now);
  s.contact = worker_contact(now);
  s.crash_looping_jobs = failures_.crash_looping_jobs();
  if (s.crash_looping_jobs.size() > kMaxCrashLoopingJobs)
    s.crash_looping_jobs.resize(kMaxCrashLoopingJobs);
  if (cache_.leader() && cache_.leader()->member == to) s.ownership_claims = ownership_claims(now);
  return s;
}

Instructions Controller::handle_peer_status(const MemberStatus& status, Time now) {
  Instructions out;
  if (!peers_.update(status, now)) {
    out.again = true;
    return out;
  }
  for (const MachineStatus& m : status.machines) {
    if (!released_.contains(m.id)) machines_.set_zone(m.id, m.zone);
  }
  for (const MachineId& id : status.release_requested) {
    if (released_.contains(id)) out.released.push_back(id);
  }
  if (is_leader(now)) {
    auto& cordon = to_cordon_[status.from.member];
    out.cordon.assign(cordon.begin(), cordon.end());
    cordon.clear();
    auto& drain = to_drain_[status.from.member];
    out.drain.assign(drain.begin(), drain.end());
    drain.clear();
  }
  return out;
}

Controller::Partitions Controller::partitions(Time now, Seconds remembered) {
  Partitions out;
  out.emplace_back(self_.member, std::vector<const MachineStatus*>{});
  out.back().second.reserve(machines_.size());
  for (auto& [id, m] : machines_) {
    machines_.update_status(m, now);
    out.back().second.push_back(&m.status);
  }
  if (!cache_.view()) return out;
  for (const ControllerIncarnation& member : cache_.view()->members) {
    const auto s = peers_.find(member.member);
    if (member == self_ || s == peers_.end() || s->second.from != member ||
        base::between(s->second.last_heartbeat_at, now) > remembered) {
      continue;
    }
    out.emplace_back(member.member, std::vector<const MachineStatus*>{});
    out.back().second.reserve(s->second.machines.size());
    for (const auto& [id, room] : s->second.machines) out.back().second.push_back(&room);
  }
  return out;
}

}  // namespace saddleslip::coordination

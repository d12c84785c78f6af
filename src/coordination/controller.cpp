#include "coordination/controller.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace saddleslip::coordination {

namespace {

constexpr Seconds kPauseDetected{2.5};             // without a report, a round or a status
constexpr std::size_t kMaxCrashLoopingJobs = 256;  // named in one status
constexpr std::size_t kMostOwners = 20000;         // remembered; more are worked out anew

}  // namespace

Controller::Controller(const base::Settings& settings)
    : settings_(settings), cache_(settings), priorities_(settings_, cache_) {}

// --- membership

void Controller::begin_incarnation(ControllerIncarnation incarnation, Time now) {
  self_ = std::move(incarnation);
  has_incarnation_ = true;
  incarnation_since_ = now;
  authority_valid_until_ = Time{};
  lease_valid_until_ = Time{};
}

void Controller::end_incarnation() {
  has_incarnation_ = false;
  authority_valid_until_ = Time{};
  lease_valid_until_ = Time{};
}

void Controller::lease_acquired(Time sent) {
  lease_valid_until_ = std::max(lease_valid_until_, ttl_after(sent));
}

Time Controller::ttl_after(Time sent) const {
  // Counted from when the call was sent, on a clock that may run slow against the store's. The full
  // time that an outage gives back to leases is not counted on.
  return base::after(sent, settings_.tuning.member_ttl * (1.0 - base::kDrift));
}

void Controller::lease_renewed(Time sent, std::uint64_t cache_generation) {
  if (cache_generation != cache_generation_) return;
  authority_valid_until_ = ttl_after(sent);
  authority_view_ = cache_.version(protocol::kViewKey);
}

bool Controller::has_authority(Time now) const {
  return has_incarnation_ && now < authority_valid_until_ && cache_.view() &&
         installed_view_.get() != 0 && authority_view_ == installed_view_ &&
         installed_view_ == cache_.version(protocol::kViewKey) && has_member(*cache_.view(), self_);
}

bool Controller::is_leader(Time now) const {
  return has_incarnation_ && has_lease(now) && cache_.leader() && *cache_.leader() == self_;
}

const ControllerIncarnation* Controller::owner(const MachineId& machine) const {
  const auto& view = cache_.view();
  if (!view || view->members.empty()) return nullptr;
  const Version version = cache_.version(protocol::kViewKey);
  if (owners_view_version_ != version || owners_.size() > kMostOwners) {
    owners_.clear();
    owners_view_version_ = version;
  }
  const auto [at, is_new] = owners_.try_emplace(machine, 0);
  if (is_new) {
    at->second = static_cast<std::size_t>(owner_of(*view, machine) - view->members.data());
  }
  return &view->members[at->second];
}

bool Controller::owns(const MachineId& machine) const {
  const ControllerIncarnation* of = has_incarnation_ ? owner(machine) : nullptr;
  return of && *of == self_;
}

void Controller::install_view(Time now) {
  for (const auto& [id, member] : cache_.members()) member_since_.try_emplace(id, now);
  std::erase_if(member_since_, [&](const auto& m) { return !cache_.members().contains(m.first); });
  if (is_leader(now) != was_leader_) {
    was_leader_ = is_leader(now);
    if (was_leader_) {
      leader_since_ = now;
      booting_ = cache_.booting();
      to_release_.clear();
      unheard_.clear();
      excluded_.clear();
      spdlog::info("leading from now on");
    } else {
      spdlog::info("no longer leading");
    }
  }
  const Version version = cache_.version(protocol::kViewKey);
  // Taking over needs all that was recorded before the view: the watch must have brought it.
  if (!cache_.view() || version == installed_view_ || cache_.revision().get() < version.get()) {
    return;
  }
  const FencingToken base = first_fencing_token(cache_.view()->epoch);
  // Views that were skipped may have had other owners, who may have answered until lately.
  const bool in_a_row =
      base.get() == base_fencing_token_.get() + first_fencing_token(Epoch(1)).get();
  installed_view_ = version;
  base_fencing_token_ = base;
  view_installed_at_ = now;
  machines_.install_view({base, now, in_a_row}, [this](const MachineId& id) { return owns(id); });
  std::erase_if(owned_since_, [&](const auto& m) { return !in_a_row || !owns(m.first); });
  attempts_.forget_never_started();
  std::map<MachineId, std::pair<MemberId, Time>> overridden;
  for (const auto& [id, member] : cache_.view()->overrides) {
    const auto before = override_since_.find(id);
    overridden[id] = before != override_since_.end() && before->second.first == member
                         ? before->second
                         : std::pair(member, now);
  }
  override_since_ = std::move(overridden);
  // Shares handed to members that are gone must find a new home at once.
  offered_.clear();
  std::string names;
  for (const ControllerIncarnation& m : cache_.view()->members) {
    names +=
        (names.empty() ? "" : ", ") + m.member.get() + "#" + std::to_string(m.incarnation.get());
  }
  spdlog::info("view {} of [{}], {}", cache_.view()->epoch.get(), names,
               has_member(*cache_.view(), self_) ? "a member" : "not a member");
}

Transaction Controller::member_record(base::LeaseId lease, bool reaches_others) const {
  const std::string key = protocol::member_key(self_.member);
  Transaction txn;
  // Guarded: carried out late, it must not take the place of a later life's.
  txn.preconditions[key] = cache_.version(key);
  txn.writes.push_back(
      {key, to_json(protocol::Member{self_, reaches_others, protocol::kFormat}), lease});
  return txn;
}

std::optional<Transaction> Controller::propose_membership_change(Time now, base::LeaseId lease) {
  if (!has_incarnation_ || !has_lease(now)) return {};
  const auto& members = cache_.members();
  const auto me = members.find(self_.member);
  if (me == members.end() || me->second.incarnation != self_) {
    // Lost to a write of an earlier life, carried out late, and to the end of that life's lease: without
    // its key this life would stay out of every view for good.
    return member_record(lease, false);
  }
  std::size_t others = 0, reached = 0;
  bool others_reach = false;  // does one of them say that it reaches somebody?
  for (const auto& [id, member] : members) {
    if (id == self_.member) continue;
    ++others;
    others_reach = others_reach || member.reaches;
    const auto at = reached_.find(id);
    if (at != reached_.end() && base::between(at->second, now) < kReachable) ++reached;
  }
  Transaction txn;
  if (me->second.reaches != (reached > 0) &&
      (reached > 0 || base::between(incarnation_since_, now) > kReachable)) {
    return member_record(lease, reached > 0);
  }
  // A process that came back takes the place of its earlier life at once, leader or not: who owns
  // what stays the same, and workers' leases run on while it waits.
  if (const auto& view = cache_.view(); view && !has_member(*view, self_)) {
    const auto old =
        std::find_if(view->members.begin(), view->members.end(),
                     [&](const ControllerIncarnation& m) { return m.member == self_.member; });
    if (old != view->members.end()) {
      View next = *view;
      next.epoch = Epoch(next.epoch.get() + 1);
      next.members[static_cast<std::size_t>(old - view->members.begin())] = self_;
      txn.preconditions[protocol::kViewKey] = cache_.version(protocol::kViewKey);
      txn.preconditions[protocol::member_key(self_.member)] =
          cache_.version(protocol::member_key(self_.member));
      txn.writes.push_back({protocol::kViewKey, to_json(next), {}});
      return txn;
    }
  }
  txn.preconditions[protocol::kLeadKey] = cache_.version(protocol::kLeadKey);
  const auto& leader = cache_.leader();
  // A leader whose member has begun another life is no more.
  const auto present = leader ? members.find(leader->member) : members.end();
  const bool ended = leader && present != members.end() && present->second.incarnation != *leader;
  if (!leader || ended) {
    // A node that reaches nobody while others reach each other is the one that is cut off: it must
    // not lead. Where nobody reaches anybody, any leader is better than none.
    if (others > 0 && reached == 0 && others_reach) return {};
    txn.preconditions[protocol::member_key(self_.member)] =
        cache_.version(protocol::member_key(self_.member));
    txn.writes.push_back({protocol::kLeadKey, to_json(self_), lease});
    return txn;
  }
  if (*leader != self_) return {};
  if (others >= 2 && reached == 0 && others_reach &&
      base::between(std::max(leader_since_, incarnation_since_), now) > kReachable) {
    spdlog::warn("no other member can be reached: giving up the lead");
    txn.writes.push_back({protocol::kLeadKey, {}, {}});
    return txn;
  }
  if (auto format = propose_format_upgrade()) return format;
  std::set<MemberId> excluded;
  for (const auto& [id, member] : members) {
    if (id == self_.member || reached == 0) continue;
    const auto at = reached_.find(id);
    const auto since = member_since_.find(id);
    Time last = at == reached_.end() ? Time{} : at->second;
    if (since != member_since_.end()) last = std::max(last, since->second);
    if (base::between(last, now) > kReachable) excluded.insert(id);
  }
  if (excluded != excluded_) {
    excluded_ = excluded;
    for (const auto& id : excluded)
      spdlog::warn("{} can't be reached: left out of the view", id.get());
  }
  const auto next = next_view(
      members, cache_.view(), excluded_, gather_ownership_claims(now),
      [this](const MachineId& id) { return released_.contains(id); }, settings_.value_bytes);
  if (next) {
    txn.preconditions[protocol::kViewKey] = cache_.version(protocol::kViewKey);
    txn.writes.push_back({protocol::kViewKey, to_json(*next), {}});
  }
  for (const auto& [machine, incarnation] : cache_.ownership_claims()) {
    if (txn.writes.size() + 1 >= settings_.txn_ops) break;
    const std::string key = protocol::claim_key(machine);
    txn.preconditions[key] = cache_.version(key);
    txn.writes.push_back({key, {}, {}});
  }
  if (txn.writes.empty()) return {};
  return txn;
}

// New formats begin once every controller that is configured has said, under its present incarnation, that it
// reads them: one that is away may come back as the version before.
std::optional<Transaction> Controller::propose_format_upgrade() const {
  if (cache_.format() >= protocol::kFormat) return {};
  Transaction txn;
  txn.preconditions[protocol::kFormatKey] = cache_.version(protocol::kFormatKey);
  const auto reads_format = [&](const MemberId& id) {
    const auto at = cache_.members().find(id);
    if (at == cache_.members().end() || at->second.format < protocol::kFormat) return false;
    const std::string key = protocol::member_key(id);
    txn.preconditions[key] = cache_.version(key);
    return true;
  };
  if (!reads_format(self_.member)) return {};
  for (const base::Peer& peer : settings_.peers) {
    // The transaction takes conditions on so many members; a larger cluster is upgraded all the same.
    const bool has_room =
        txn.preconditions.size() < settings_.txn_ops * protocol::kPreconditionsPerWrite;
    if (!has_room || !reads_format(peer.member)) return {};
  }
  txn.writes.push_back({protocol::kFormatKey, protocol::kFormat, {}});
  return txn;
}

// --- workers

void Controller::detect_pause(Time now) {
  if (last_running_at_ != Time{} && base::between(last_running_at_, now) > kPauseDetected) {
    spdlog::warn("stood still for {:.1f} s", base::between(last_running_at_, now).count());
    resumed_after_pause_at_ = now;
  }
  last_running_at_ = std::max(last_running_at_, now);
}

// Since when this process could hear machines: while it might not answer, or stood still, they went from
// node to node, and that is no silence.
Time Controller::listening_since() const {
  return authority_since_ ? std::max(*authority_since_, resumed_after_pause_at_)
                          : resumed_after_pause_at_;
}

WorkerReply Controller::handle_heartbeat(const Heartbeat& heartbeat, Time now) {
  detect_pause(now);
  if (!cache_.view() || cache_.view()->members.empty()) {
    return {503, protocol::error_body("no view yet")};
  }
  const ControllerIncarnation* of = owner(heartbeat.machine);
  if (of->member != self_.member) {
    record_misdirected_heartbeat(heartbeat.machine, *of, now);
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

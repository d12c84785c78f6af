#include "coordination/controller.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace saddleslip::coordination {

namespace {

constexpr Seconds kPauseDetected{2.5};   // without a report, a round or a status
constexpr Seconds kReleasedKept{600.0};  // late reports and old lists may still name the machine

constexpr double kFencingTokenRenewal =
    0.5;  // of a lease: workers report a new token this often at most
// A machine that hears no answer goes from node to node, and comes by within this.
constexpr Seconds kHalfOpenRound{20.0};
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
  std::erase_if(machines_, [&](const auto& m) {
    if (owns(m.first)) return false;
    status_revisions_.machine_left(m.first);
    return true;
  });
  std::erase_if(owned_since_, [&](const auto& m) { return !in_a_row || !owns(m.first); });
  // What was never started here may have been started by another owner meanwhile: one that did not
  // know that the task was to be stopped. Kept, it let a task start while it ran on its machine.
  absent_.clear();
  for (auto& [id, m] : machines_) {
    m.fencing_token = base;
    m.fence_floor = base;
    // It has heard this process before: only what is lost from now on counts against it.
    m.confirmation_token = m.is_confirmed() && in_a_row ? FencingToken(0) : base;
    m.last_sent_token = FencingToken(0);
    if (!in_a_row)
      m.last_answered_at =
          std::max(m.last_answered_at, base::after(now, settings_.tuning.member_ttl));
  }
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
  record_heartbeat(heartbeat, now, true);
  const auto at = machines_.find(heartbeat.machine);
  // A late copy: what came after it has been answered already, and the worker drops this answer.
  if (at == machines_.end() || at->second.last_heartbeat.sequence != heartbeat.sequence ||
      at->second.last_heartbeat.agent_incarnation != heartbeat.agent_incarnation) {
    return {503, protocol::error_body("an old report")};
  }
  Machine& m = at->second;
  m.last_answered_at = now;
  // A token that never changes would not tell whether answers arrive.
  if (base::between(m.fencing_token_since, now) > settings_.worker_lease * kFencingTokenRenewal) {
    m.fencing_token = FencingToken(m.fencing_token.get() + 1);
    m.fencing_token_since = now;
  }
  m.last_sent_token = m.fencing_token;
  return {200, protocol::heartbeat_response(m.fencing_token, reconcile(m))};
}

void Controller::handle_command_reply(const MachineId& machine,
                                      const std::optional<Heartbeat>& heartbeat, Time now) {
  if (!heartbeat || heartbeat->machine != machine || !owns(machine)) return;
  record_heartbeat(*heartbeat, now, false);
}

void Controller::record_heartbeat(const Heartbeat& heartbeat, Time now, bool renews_lease) {
  if (released_.contains(heartbeat.machine)) return;
  const auto ended = ended_incarnations_.find(heartbeat.machine);
  if (ended != ended_incarnations_.end() && heartbeat.agent_incarnation <= ended->second) return;
  zones_[heartbeat.machine] = heartbeat.zone;
  auto [at, is_new] = machines_.try_emplace(heartbeat.machine);
  Machine& m = at->second;
  if (is_new) {
    status_revisions_.machine_joined(heartbeat.machine);
    m.idle_since = now;
    m.fencing_token = base_fencing_token_;
    m.fence_floor = base_fencing_token_;
    m.confirmation_token = base_fencing_token_;
    m.last_answered_at = base::after(view_installed_at_, settings_.tuning.member_ttl);
    spdlog::info("machine {} ({}, {}{}) reports, session {}, {} tasks", heartbeat.machine.get(),
                 heartbeat.type, heartbeat.zone, heartbeat.spot ? ", spot" : "",
                 heartbeat.agent_incarnation.get(), heartbeat.tasks.size());
  } else if (std::pair(heartbeat.agent_incarnation, heartbeat.sequence) <=
             std::pair(m.last_heartbeat.agent_incarnation, m.last_heartbeat.sequence)) {
    return;
  } else if (heartbeat.agent_incarnation != m.last_heartbeat.agent_incarnation) {
    spdlog::info("machine {} begins session {}: what it ran before is over",
                 heartbeat.machine.get(), heartbeat.agent_incarnation.get());
    m.evict.clear();
    m.ran.clear();
    // A machine that heard nothing for a lease looks like an empty one that is well.
    m.fencing_token = FencingToken(m.fencing_token.get() + 1);
    m.fencing_token_since = now;
    m.confirmation_token = m.fencing_token;
  }
  if (renews_lease && m.last_sent_token.get() != 0) {
    if (heartbeat.fencing_token < m.last_sent_token) {
      ++m.unacknowledged_replies;
      if (!m.half_open_since) m.half_open_since = now;
      if (m.unacknowledged_replies == 2) {
        spdlog::info("machine {} reports, and answers do not reach it", heartbeat.machine.get());
      }
    } else {
      m.unacknowledged_replies = 0;
      m.half_open_since.reset();
    }
  }
  m.last_heartbeat = heartbeat;
  // An order that is answered does not renew the machine's lease: one that opens no connections to any
  // controller is about to lose all that is on it, however well it answers.
  if (renews_lease || is_new) m.last_heartbeat_at = now;
  m.commands_lost = false;
  if (heartbeat.notice && !m.taken_at) {
    m.taken_at = base::after(now, *heartbeat.notice);
    m.cordoned = true;
    spdlog::info("machine {} will be taken in {:.1f} s", heartbeat.machine.get(),
                 heartbeat.notice->count());
  }
  std::map<TaskId, Time> ran;
  const auto* type = cache_.type(heartbeat.type);
  m.pulling.clear();
  bool busy = !cache_.assignments_on(heartbeat.machine).empty();
  for (const auto& [task, attempts] : heartbeat.tasks) {
    for (const auto& t : attempts) {
      if (t.state != protocol::TaskState::kEnded) busy = true;
      if (const Job* job = cache_.job(task.job); job && type) {
        const auto& spec = job->record.spec;
        if (t.state == protocol::TaskState::kPulling) {
          m.pulling.insert(spec.image);
        } else if (t.state == protocol::TaskState::kRunning || t.cause == protocol::Cause::kDone) {
          m.used_image(spec.image, spec.image_gb, type->cache_gb);
        }
      }
      if (t.state == protocol::TaskState::kRunning) {
        const auto before = m.ran.find(task);
        ran[task] = before == m.ran.end() ? now : before->second;
        if (before == m.ran.end()) {
          spdlog::debug("{}/{} runs on {}", task.job.get(), task.no, heartbeat.machine.get());
        }
      }
    }
  }
  for (const auto& [task, since] : m.ran) {
    if (!ran.contains(task)) m.ran_before[task] = base::between(since, now);
  }
  std::erase_if(m.ran_before, [&](const auto& r) { return !heartbeat.tasks.contains(r.first); });
  m.ran = std::move(ran);
  if (busy) m.idle_since = now;
  std::erase_if(m.evict, [&](const TaskId& t) {
    return !cache_.assignments_on(heartbeat.machine).contains(t);
  });
  // A start that the worker hasn't heard of can't reach it any more: every answer that carried it
  // was taken or dropped before this report was sent, and direct orders are fenced by the token.
  if (renews_lease && m.is_fenced()) {
    for (const auto& [task, assignment] : cache_.assignments_on(heartbeat.machine)) {
      const Job* job = cache_.job(task.job);
      // Nor is it started any more: not wanted, or stopped before it began. Without this the latter
      // would be held for ever by a machine that has never heard of it.
      const bool unwanted = job && (job->cancelled() || m.evict.contains(task));
      if (unwanted && assignment.agent_incarnation == heartbeat.agent_incarnation &&
          !heartbeat.tasks.contains(task)) {
        absent_[task] = assignment.attempt;
      }
    }
  }
}

std::vector<Command> Controller::stops_for(const Machine& m) const {
  std::vector<Command> out;
  const auto& assignment = cache_.assignments_on(m.last_heartbeat.machine);
  for (const auto& [task, attempts] : m.last_heartbeat.tasks) {
    const auto h = assignment.find(task);
    const Job* job = cache_.job(task.job);
    for (const auto& t : attempts) {
      if (t.state == protocol::TaskState::kEnded) continue;
      const bool ours = h != assignment.end() && h->second.attempt == t.attempt;
      const bool wanted = ours && job && !job->cancelled() && !m.evict.contains(task);
      if (wanted) continue;
      const bool save = ours && job && !job->cancelled() && job->record.spec.checkpoint.count() > 0;
      if (t.state == protocol::TaskState::kSaving && save) continue;
      out.push_back({Command::Op::kKill, task, t.attempt,
                     save ? job->record.spec.save + Seconds(1.0) : Seconds(0)});
    }
  }
  return out;
}

std::vector<Command> Controller::reconcile(const Machine& m) const {
  std::vector<Command> out;
  if (capacity(m).stops) out = stops_for(m);
  const auto& assignment = cache_.assignments_on(m.last_heartbeat.machine);
  if (m.is_fenced()) {
    for (const auto& [task, attempts] : m.last_heartbeat.tasks) {
      const auto h = assignment.find(task);
      for (const auto& t : attempts) {
        // Forgotten only once its end is on record and no copy of its start can arrive any more:
        // the worker would run it again.
        const bool ours = h != assignment.end() && h->second.attempt == t.attempt;
        if (t.state == protocol::TaskState::kEnded && !ours) {
          out.push_back({Command::Op::kForget, task, t.attempt, {}});
        }
      }
    }
  }
  for (const auto& [task, h] : assignment) {
    if (h.agent_incarnation != m.last_heartbeat.agent_incarnation || m.evict.contains(task))
      continue;
    const Job* job = cache_.job(task.job);
    if (!job || job->cancelled()) continue;
    const base::Attempt attempt = h.attempt;
    const auto reported_attempt = m.last_heartbeat.tasks.find(task);
    const bool known = reported_attempt != m.last_heartbeat.tasks.end() &&
                       std::any_of(reported_attempt->second.begin(), reported_attempt->second.end(),
                                   [&](const auto& t) { return t.attempt == attempt; });
    if (!known) out.push_back({Command::Op::kRun, task, attempt, {}});
  }
  return out;
}

bool Controller::drop_stale_commands(CommandBatch& order, Time now) const {
  if (!has_authority(now)) return false;
  std::erase_if(order.commands, [this](const Command& c) {
    const Job* job = cache_.job(c.task.job);
    return c.op == Command::Op::kRun && (!job || job->cancelled());
  });
  return !order.commands.empty();
}

void Controller::commands_lost(const MachineId& machine) {
  if (const auto at = machines_.find(machine); at != machines_.end())
    at->second.commands_lost = true;
}

void Controller::mark_released(const std::vector<MachineId>& machines, Time now) {
  for (const MachineId& id : machines) {
    if (!released_.emplace(id, now).second) continue;
    if (machines_.erase(id) > 0) status_revisions_.machine_left(id);
    unheard_owned_at_ = Time{};  // its tasks are over: at once
    silent_machines_.erase(id);
    zones_.erase(id);
    failures_.forget_machine(id);
    spdlog::info("machine {} is gone (the cloud's word)", id.get());
  }
  std::erase_if(released_, [&](const auto& g) {
    return base::between(g.second, now) > kReleasedKept && !cache_.assigned().contains(g.first);
  });
}

void Controller::cordon_idle(const std::vector<MachineId>& machines) {
  for (const MachineId& id : machines) {
    const auto at = machines_.find(id);
    if (at == machines_.end() || at->second.cordoned || !cache_.assignments_on(id).empty())
      continue;
    at->second.cordoned = true;
    spdlog::info("machine {} is idle: closed", id.get());
  }
}

void Controller::drain(const std::vector<MachineId>& machines) {
  for (const MachineId& id : machines) {
    const auto at = machines_.find(id);
    if (at == machines_.end() || at->second.cordoned) continue;
    at->second.cordoned = true;
    at->second.draining = true;
    spdlog::info("machine {} is half empty: its services move elsewhere", id.get());
  }
}

// --- siblings

bool Controller::is_schedulable(const Machine& m, Time now) const {
  return m.is_confirmed() && !m.is_half_open() && has_recent_heartbeat(m, now);
}

bool Controller::has_recent_heartbeat(const Machine& m, Time now) const {
  return base::between(m.last_heartbeat_at, now) < settings_.heartbeat_interval * 2.5;
}

const storage::MachineCapacity& Controller::capacity(const Machine& m) const {
  storage::MachineCapacity& o = m.capacity;
  const bool same = o.known && o.agent_incarnation == m.last_heartbeat.agent_incarnation &&
                    o.sequence == m.last_heartbeat.sequence && o.evicted == m.evict.size();
  if (same && o.checked == cache_.last_stamp()) return o;
  const std::uint64_t stamp = cache_.stamp(m.last_heartbeat.machine);
  if (same && o.stamp == stamp) {
    o.checked = cache_.last_stamp();
    return o;
  }
  o = {};
  o.checked = cache_.last_stamp();
  const auto* type = cache_.type(m.last_heartbeat.type);
  o.known = type != nullptr;
  o.stamp = stamp;
  o.agent_incarnation = m.last_heartbeat.agent_incarnation;
  o.sequence = m.last_heartbeat.sequence;
  o.evicted = m.evict.size();
  if (type) o.free = type->size;
  const auto& assignment = cache_.assignments_on(m.last_heartbeat.machine);
  o.assigned = static_cast<std::uint32_t>(assignment.size());
  for (const auto& [task, h] : assignment) {
    const Job* job = cache_.job(task.job);
    if (!job) continue;
    const auto& spec = job->record.spec;
    if (h.agent_incarnation < m.last_heartbeat.agent_incarnation) {
      o.ended_attempts.push_back({task, "worker began a new session", false});
    } else if (const auto* t = reported_attempt(m, task, h);
               t && t->state == protocol::TaskState::kEnded) {
      o.ended_attempts.push_back(
          {task, protocol::to_string(t->cause),
           t->cause == protocol::Cause::kDone && spec.kind != protocol::Kind::kService});
    } else {
      const auto absent = absent_.find(task);
      if (!t && absent != absent_.end() && absent->second == h.attempt) {
        o.ended_attempts.push_back({task, "never started", false});
      }
      o.free -= spec.request;
      if (priorities_.rank(*job) >= protocol::Rank::kStandard && !m.evict.contains(task))
        o.preemptible += spec.request;
    }
  }
  bool strange = false;
  for (const auto& [task, attempts] : m.last_heartbeat.tasks) {
    const auto h = assignment.find(task);
    for (const auto& t : attempts) {
      if (t.state == protocol::TaskState::kEnded) continue;
      o.active = true;
      if (h != assignment.end() && h->second.attempt == t.attempt) continue;
      const Job* job = cache_.job(task.job);
      strange = strange || !job;
      if (job) o.free -= job->record.spec.request;
    }
  }
  for (double& x : o.free.v) x = std::max(x, 0.0);
  if (strange) o.free = {};  // it is being stopped, and nobody knows how much it takes
  o.stops = !stops_for(m).empty();
  return o;
}

// What is told of a machine is made anew only when something it is made of has changed: at hundreds
// of machines, copying all of it in each round and for each sibling took most of the processor.
void Controller::update_status(Machine& m, Time now) {
  const storage::MachineCapacity& o = capacity(m);
  MachineStatus& r = m.status;
  const bool silent = !is_schedulable(m, now);
  const bool soon =
      !m.cordoned && !m.is_confirmed() && !m.is_half_open() && has_recent_heartbeat(m, now);
  const bool unsure =
      m.unacknowledged_replies > 0 && base::between(m.last_heartbeat_at, now) < kHalfOpenRound;
  const bool open = !m.cordoned && !silent;
  const Time idle = o.assigned > 0 ? Time{} : m.idle_since;
  const std::pair heartbeat(m.last_heartbeat.agent_incarnation, m.last_heartbeat.sequence);
  const bool is_new = m.status_changed_at == 0;
  // A report later than any that is well: no reason yet to leave the machine alone, but with its
  // knocks elsewhere a sign that it can't reach this node.
  const bool late =
      base::between(m.last_heartbeat_at, now) > settings_.heartbeat_interval * storage::kOverdue;
  if (!is_new && r.silent == silent && r.late == late && r.soon == soon && r.unsure == unsure &&
      r.open == open && r.idle_since == idle && r.tasks == o.assigned && r.free == o.free &&
      r.preemptible == o.preemptible &&
      (m.status_heartbeat == heartbeat ||
       std::equal(r.images.begin(), r.images.end(), m.images.begin(), m.images.end(),
                  [](const std::string& a, const auto& b) { return a == b.first; }))) {
    m.status_heartbeat = heartbeat;
    return;
  }
  if (is_new) {
    r.id = m.last_heartbeat.machine;
    r.type = m.last_heartbeat.type;
    r.zone = m.last_heartbeat.zone;
    r.spot = m.last_heartbeat.spot;
  }
  r.silent = silent;
  r.late = late;
  r.soon = soon;
  r.unsure = unsure;
  r.open = open;
  r.free = o.free;
  r.preemptible = o.preemptible;
  r.tasks = o.assigned;
  r.idle_since = idle;
  if (is_new || m.status_heartbeat != heartbeat) {
    r.images.clear();
    for (const auto& [image, gb] : m.images) r.images.push_back(image);
    m.status_heartbeat = heartbeat;
  }
  m.status_changed_at = status_revisions_.advance();
}

std::string Controller::zone_of(const MachineId& machine) const {
  const auto it = zones_.find(machine);
  return it == zones_.end() ? std::string() : it->second;
}

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
  s.since = status_revisions_.acknowledged(to);
  for (auto& [id, m] : machines_) {
    update_status(m, now);
    if (m.status_changed_at > s.since) s.machines.push_back(m.status);
  }
  s.left = status_revisions_.left_since(s.since);
  s.upto = status_revisions_.current();
  status_revisions_.forget_acknowledged(settings_.peers);
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
    if (!released_.contains(m.id)) zones_[m.id] = m.zone;
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
    update_status(m, now);
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

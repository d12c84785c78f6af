// Machines that can't reach their owner: who notices, and who gets them.
#include "base/log.h"
#include "coordination/controller.h"

namespace saddleslip::coordination {

namespace {

constexpr Seconds kMisdirectedMemory{15.0};
// A machine whose owner doesn't hear it comes to other members for so long before it is claimed.
constexpr Seconds kClaimAfter{3.0};
constexpr Seconds kOverrideHeld{60.0};  // a machine that was handed over stays for so long
constexpr Seconds kStatusRecent{2.5};   // a sibling's word on what it hears now
// Workers whose node does not answer need so long, and a report interval, to find another one.
constexpr Seconds kWorkerRetry{6.0};
constexpr double kLostIntervals = 2.0;    // without a report
constexpr Seconds kLostFor{1.0};          // before a member says that it has lost its workers
constexpr std::size_t kLeastOverdue = 2;  // one silent machine may be dead
constexpr std::size_t kLostShare = 80;    // per cent of a member's machines that are overdue
constexpr std::size_t kGoodShare = 20;  // ... at most, of a member that others' machines may go to

}  // namespace

void Controller::record_misdirected_heartbeat(const MachineId& machine,
                                              const ControllerIncarnation& owner, Time now) {
  MisdirectedHeartbeats& b = misdirected_[machine];
  if (b.owner != owner || base::between(b.last, now) > kMisdirectedMemory) b = {owner, now, now, 0};
  b.last = now;
  ++b.times;
}

std::vector<MachineId> Controller::ownership_claims(Time now) {
  std::vector<MachineId> out;
  std::erase_if(misdirected_, [&](const auto& b) {
    return base::between(b.second.last, now) > kMisdirectedMemory;
  });
  if (!has_authority(now)) {
    // Nor may their owners answer, most likely: in an outage of the state service all are turned
    // away everywhere.
    misdirected_.clear();
    return out;
  }
  for (const auto& [id, b] : misdirected_) {
    if (owns(id)) continue;
    // A machine that hears nobody knocks everywhere: handed on each time, its owners would change
    // for ever, and none would get to see that it is deaf.
    const auto overridden_since = ownership_.overridden_since(id);
    if (overridden_since && base::between(*overridden_since, now) < kOverrideHeld) continue;
    const ControllerIncarnation* of = owner(id);
    // Sent to another owner, or an earlier life of it: that tells nothing of this one.
    if (!of || b.owner != *of) continue;
    const auto s = of ? peers_.find(of->member) : peers_.end();
    bool lost = false;
    if (s != peers_.end() && s->second.from == *of &&
        base::between(s->second.last_heartbeat_at, now) < kStatusRecent) {
      // The owner itself says whether it hears the machine.
      const auto& rooms = s->second.machines;
      const auto room = rooms.find(id);
      // It came back once more: its way to the owner is barred, and it has not just ended.
      lost = b.times >= 2 && base::between(b.first, now) > kClaimAfter &&
             (room == rooms.end() ||
              (room->second.late && !room->second.unsure && !room->second.soon));
    } else {
      // An owner that has ended would have left the view by now: this one lives, out of reach.
      lost = b.times >= 2 && b.last > base::after(b.first, Seconds(2.0)) &&
             base::between(b.first, now) > settings_.tuning.member_ttl + Seconds(1.0);
    }
    if (lost) out.push_back(id);
  }
  return out;
}

std::optional<Transaction> Controller::propose_ownership_claims(Time now) {
  const auto& leader = cache_.leader();
  if (!leader || *leader == self_) return {};
  if (peer_contact_.is_reachable(leader->member, now)) return {};
  Transaction txn;
  txn.preconditions[protocol::kViewKey] = installed_view_;
  for (const MachineId& id : ownership_claims(now)) {
    const std::string key = protocol::claim_key(id);
    if (cache_.version(key).get() != 0) continue;
    if (txn.writes.size() >= settings_.txn_ops) break;
    txn.preconditions[key] = Version(0);
    txn.writes.push_back({key, to_json(self_), {}});
    spdlog::info("machine {} can't reach its owner: claimed", id.get());
  }
  if (txn.writes.empty()) return {};
  return txn;
}

// All its machines fall silent for a member that has lost the network to the workers, while it still
// reaches the state service and its siblings. Machines that go from one unreachable controller to the
// next come to a live one only after most of their lease: the member's own word must do without them.
protocol::WorkerContact Controller::worker_contact(Time now) const {
  // A node that may not answer sends machines away: it hears none of them for that reason.
  if (!has_authority(now) || !authority_since_) return protocol::WorkerContact::kUnknown;
  const MachineCensus census = count_overdue(now);
  if (census.are_lost()) {
    const bool lasting = unheard_since_ && base::between(*unheard_since_, now) > kLostFor;
    return lasting ? protocol::WorkerContact::kLost : protocol::WorkerContact::kUnknown;
  }
  return census.are_heard() ? protocol::WorkerContact::kGood : protocol::WorkerContact::kUnknown;
}

// A process that stood still for seconds finds all its machines overdue when it goes on, before it has
// read what they sent meanwhile: only what lasts counts.
void Controller::watch_contact(Time now) {
  if (!count_overdue(now).are_lost()) {
    unheard_since_.reset();
  } else if (!unheard_since_) {
    unheard_since_ = now;
  }
}

bool Controller::MachineCensus::are_lost() const {
  return overdue >= kLeastOverdue && overdue * 100 >= owned * kLostShare;
}

bool Controller::MachineCensus::are_heard() const {
  return overdue < owned && overdue * 100 <= owned * kGoodShare;
}

Controller::MachineCensus Controller::count_overdue(Time now) const {
  std::size_t owned = machines_.size(), overdue = 0;
  for (const auto& [id, m] : machines_) {
    if (is_overdue(m, now)) ++overdue;
  }
  for (const auto& [id, since] : owned_since_) {
    if (machines_.contains(id) || released_.contains(id) || cache_.assignments_on(id).empty())
      continue;
    ++owned;
    const Seconds missed = base::between(std::max(since, listening_since()), now);
    if (missed > settings_.heartbeat_interval + kWorkerRetry) ++overdue;
  }
  return {owned, overdue};
}

bool Controller::is_overdue(const Machine& m, Time now) const {
  const Time heard = std::max(m.last_heartbeat_at, listening_since());
  return base::between(heard, now) > settings_.heartbeat_interval * kLostIntervals;
}

protocol::WorkerContact Controller::contact_of(const ControllerIncarnation& member,
                                               Time now) const {
  if (member == self_) return worker_contact(now);
  const auto at = peers_.find(member.member);
  const bool known = at != peers_.end() && at->second.from == member &&
                     base::between(at->second.last_heartbeat_at, now) < kStatusRecent;
  return known ? at->second.contact : protocol::WorkerContact::kUnknown;
}

// The machines that this member owns and does not hear.
std::vector<MachineId> Controller::silent_machines_of(const ControllerIncarnation& member,
                                                      Time now) const {
  std::vector<MachineId> out;
  if (member == self_) {
    for (const auto& [id, m] : machines_) {
      if (is_overdue(m, now)) out.push_back(id);
    }
  } else {
    for (const auto& [id, room] : peers_.at(member.member).machines) {
      if (room.late) out.push_back(id);
    }
  }
  for (const auto& [id, tasks] : cache_.assigned()) {
    const ControllerIncarnation* of = owner(id);
    const bool reports =
        member == self_ ? machines_.contains(id) : peers_.at(member.member).machines.contains(id);
    if (of && *of == member && !reports) out.push_back(id);
  }
  return out;
}

bool Controller::fail_over_silent_machines(Time now,
                                           std::map<MachineId, ControllerIncarnation>& to) const {
  if (!cache_.view()) return false;
  View hearing;  // the members that may take over
  std::vector<const ControllerIncarnation*> lost;
  for (const ControllerIncarnation& member : cache_.view()->members) {
    const auto contact = contact_of(member, now);
    if (contact == protocol::WorkerContact::kGood) hearing.members.push_back(member);
    if (contact == protocol::WorkerContact::kLost) lost.push_back(&member);
  }
  if (hearing.members.empty()) return false;
  bool any = false;
  for (const ControllerIncarnation* member : lost) {
    for (const MachineId& id : silent_machines_of(*member, now)) {
      if (released_.contains(id)) continue;
      any = to.try_emplace(id, *owner_of(hearing, id)).second || any;
    }
  }
  return any;
}

// Each new view fences all that is under way: one that follows claims carries as many as come within
// a moment, since a node that loses its workers loses all of them.
std::map<MachineId, ControllerIncarnation> Controller::gather_ownership_claims(Time now) {
  std::map<MachineId, ControllerIncarnation> all = cache_.ownership_claims();
  const bool stored = !all.empty();
  const auto& view = cache_.view();
  const auto take = [&](const ControllerIncarnation& by, const std::vector<MachineId>& machines) {
    for (const MachineId& id : machines) {
      const ControllerIncarnation* of = owner(id);
      if (of && *of != by && !released_.contains(id)) all.try_emplace(id, by);
    }
  };
  if (view) {
    take(self_, ownership_claims(now));
    for (const auto& [member, s] : peers_) {
      if (has_member(*view, s.from) && base::between(s.last_heartbeat_at, now) < kStatusRecent) {
        take(s.from, s.ownership_claims);
      }
    }
  }
  const bool owners_lost = fail_over_silent_machines(now, all);
  if (all.empty()) {
    claims_pending_since_.reset();
    return all;
  }
  if (!claims_pending_since_) claims_pending_since_ = now;
  const bool complete = stored || owners_lost;
  if (!complete && base::between(*claims_pending_since_, now) <
                       settings_.heartbeat_interval * 0.5 + Seconds(1.0)) {
    return {};
  }
  claims_pending_since_.reset();
  spdlog::info("{} machines can't reach their owners: handed over", all.size());
  return all;
}

std::vector<MachineId> Controller::misdirected(Time now) const {
  std::vector<MachineId> out;
  for (const auto& [id, b] : misdirected_) {
    if (base::between(b.last, now) < kMisdirectedMemory) out.push_back(id);
  }
  return out;
}

}  // namespace saddleslip::coordination

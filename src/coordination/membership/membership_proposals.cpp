#include "coordination/membership/membership_proposals.h"

#include <algorithm>

#include "base/log.h"

namespace saddleslip::coordination {

using protocol::Transaction;

Transaction MembershipProposals::member_record(base::LeaseId lease, bool reaches_others) const {
  const std::string key = protocol::member_key(own_id());
  Transaction transaction;
  // A write that is applied late must not replace the record of a later incarnation.
  require_unchanged(key, transaction);
  const protocol::Member record{inputs_.authority.self(), reaches_others, protocol::kFormat,
                                inputs_.settings.tuning.member_ttl};
  transaction.writes.push_back({key, to_json(record), lease});
  return transaction;
}

std::optional<Transaction> MembershipProposals::propose(base::Time now, base::LeaseId lease) const {
  if (!inputs_.authority.has_incarnation() || !inputs_.authority.has_lease(now)) return {};
  const auto own_record = inputs_.cache.members().find(own_id());
  if (own_record == inputs_.cache.members().end() ||
      own_record->second.incarnation != inputs_.authority.self()) {
    // The record is missing or belongs to an earlier incarnation: a late write of that incarnation
    // replaced it, or the end of that incarnation's lease deleted it. Without a record of its own,
    // this incarnation would never be included in a view.
    return member_record(lease, false);
  }
  const Connectivity connections = connectivity(now);
  const bool reaches_others = connections.reachable > 0;
  if (is_record_outdated(reaches_others, now)) return member_record(lease, reaches_others);
  if (auto transaction = replace_earlier_incarnation()) return transaction;
  if (!has_leader()) {
    // A member that reaches no other member while others reach each other is itself isolated and
    // must not become the leader. If no member reaches any other, any leader is better than none.
    if (connections.others > 0 && connections.is_isolated()) return {};
    return take_leadership(lease);
  }
  if (!inputs_.leadership.is_leader(now)) return {};
  const base::Time settled_at =
      std::max(inputs_.leadership.leader_since(), inputs_.authority.incarnation_began_at());
  if (connections.others >= 2 && connections.is_isolated() &&
      base::between(settled_at, now) > kPeerContactTimeout) {
    spdlog::warn("no other member can be reached: giving up leadership");
    return give_up_leadership();
  }
  return upgrade_format();
}

void MembershipProposals::exclude_lost_members(base::Time now) {
  std::set<base::MemberId> lost;
  // A leader that reaches no other member may itself be isolated, so it excludes none.
  if (connectivity(now).reachable > 0) {
    for (const auto& [id, member] : inputs_.cache.members()) {
      if (id != own_id() && inputs_.contact.is_lost(id, now)) lost.insert(id);
    }
  }
  if (lost == excluded_) return;
  excluded_ = std::move(lost);
  for (const auto& id : excluded_) {
    spdlog::warn("member can't be reached, excluded from the view: member={}", id.get());
  }
}

std::optional<Transaction> MembershipProposals::propose_view(
    const std::map<base::MachineId, protocol::ControllerIncarnation>& claims,
    const std::function<bool(const base::MachineId&)>& is_released) const {
  Transaction transaction;
  const auto next = next_view(inputs_.cache.members(), inputs_.cache.view(), excluded_, claims,
                              is_released, inputs_.settings.value_bytes);
  if (next) {
    require_unchanged(protocol::kViewKey, transaction);
    transaction.writes.push_back({protocol::kViewKey, to_json(*next), {}});
  }
  for (const auto& [machine, incarnation] : inputs_.cache.ownership_claims()) {
    if (transaction.writes.size() + 1 >= inputs_.settings.max_transaction_writes) break;
    const std::string key = protocol::claim_key(machine);
    require_unchanged(key, transaction);
    transaction.writes.push_back({key, {}, {}});
  }
  if (transaction.writes.empty()) return {};
  require_unchanged(protocol::kLeaderKey, transaction);
  return transaction;
}

bool MembershipProposals::needs_stored_claims(base::Time now) const {
  const auto& leader = inputs_.cache.leader();
  return leader && *leader != inputs_.authority.self() &&
         !inputs_.contact.is_reachable(leader->member, now);
}

std::optional<Transaction> MembershipProposals::propose_claims(
    const std::vector<base::MachineId>& machines, base::Version installed_view) const {
  Transaction transaction;
  transaction.preconditions[protocol::kViewKey] = installed_view;
  for (const base::MachineId& machine : machines) {
    const std::string key = protocol::claim_key(machine);
    if (inputs_.cache.version(key).get() != 0) continue;
    if (transaction.writes.size() >= inputs_.settings.max_transaction_writes) break;
    transaction.preconditions[key] = base::Version(0);
    transaction.writes.push_back({key, to_json(inputs_.authority.self()), {}});
    spdlog::info("machine can't reach its owner, claimed: machine={}", machine.get());
  }
  if (transaction.writes.empty()) return {};
  return transaction;
}

MembershipProposals::Connectivity MembershipProposals::connectivity(base::Time now) const {
  Connectivity connections;
  for (const auto& [id, member] : inputs_.cache.members()) {
    if (id == own_id()) continue;
    ++connections.others;
    connections.others_are_connected = connections.others_are_connected || member.reaches_others;
    if (inputs_.contact.is_reachable(id, now)) ++connections.reachable;
  }
  return connections;
}

// A new incarnation does not report that it reaches no other member before it has had time to try.
bool MembershipProposals::is_record_outdated(bool reaches_others, base::Time now) const {
  if (inputs_.cache.members().at(own_id()).reaches_others == reaches_others) return false;
  return reaches_others ||
         base::between(inputs_.authority.incarnation_began_at(), now) > kPeerContactTimeout;
}

// A restarted process replaces its earlier incarnation in the view by itself, without waiting for
// the leader: the owners of machines stay the same, and waiting would use up the workers' leases.
std::optional<Transaction> MembershipProposals::replace_earlier_incarnation() const {
  const auto& view = inputs_.cache.view();
  if (!view || has_member(*view, inputs_.authority.self())) return {};
  View next = *view;
  const auto earlier =
      std::find_if(next.members.begin(), next.members.end(),
                   [&](const ControllerIncarnation& m) { return m.member == own_id(); });
  if (earlier == next.members.end()) return {};
  *earlier = inputs_.authority.self();
  next.epoch = Epoch(next.epoch.get() + 1);
  Transaction transaction;
  require_unchanged(protocol::kViewKey, transaction);
  require_unchanged(protocol::member_key(own_id()), transaction);
  transaction.writes.push_back({protocol::kViewKey, to_json(next), {}});
  return transaction;
}

// Returns whether there is a valid leader. A stored leader is not valid if its member has since
// begun another incarnation.
bool MembershipProposals::has_leader() const {
  const auto& leader = inputs_.cache.leader();
  if (!leader) return false;
  const auto record = inputs_.cache.members().find(leader->member);
  return record == inputs_.cache.members().end() || record->second.incarnation == *leader;
}

Transaction MembershipProposals::take_leadership(base::LeaseId lease) const {
  Transaction transaction;
  require_unchanged(protocol::kLeaderKey, transaction);
  require_unchanged(protocol::member_key(own_id()), transaction);
  transaction.writes.push_back({protocol::kLeaderKey, to_json(inputs_.authority.self()), lease});
  return transaction;
}

Transaction MembershipProposals::give_up_leadership() const {
  Transaction transaction;
  require_unchanged(protocol::kLeaderKey, transaction);
  transaction.writes.push_back({protocol::kLeaderKey, {}, {}});
  return transaction;
}

// Proposes a new record format once the current member record of every configured controller says
// that it reads that format. An absent controller may come back with the previous program version.
std::optional<Transaction> MembershipProposals::upgrade_format() const {
  if (inputs_.cache.format() >= protocol::kFormat) return {};
  const std::size_t max_preconditions =
      inputs_.settings.max_transaction_writes * protocol::kPreconditionsPerWrite;
  Transaction transaction;
  require_unchanged(protocol::kFormatKey, transaction);
  const auto reads_format = [&](const base::MemberId& id) {
    const auto record = inputs_.cache.members().find(id);
    if (record == inputs_.cache.members().end() || record->second.format < protocol::kFormat) {
      return false;
    }
    require_unchanged(protocol::member_key(id), transaction);
    return true;
  };
  if (!reads_format(own_id())) return {};
  for (const base::Peer& peer : inputs_.settings.peers) {
    // A cluster whose members do not all fit into the preconditions of one transaction keeps the
    // old format.
    if (transaction.preconditions.size() >= max_preconditions || !reads_format(peer.member))
      return {};
  }
  transaction.writes.push_back({protocol::kFormatKey, protocol::kFormat, {}});
  return transaction;
}

void MembershipProposals::require_unchanged(const std::string& key,
                                            Transaction& transaction) const {
  transaction.preconditions[key] = inputs_.cache.version(key);
}

}  // namespace saddleslip::coordination

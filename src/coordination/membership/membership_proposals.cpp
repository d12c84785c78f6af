#include "coordination/membership/membership_proposals.h"

#include <algorithm>

#include "base/log.h"

namespace saddleslip::coordination {

using protocol::Transaction;

Transaction MembershipProposals::member_record(base::LeaseId lease, bool reaches_others) const {
  const std::string key = protocol::member_key(own_id());
  Transaction txn;
  // Carried out late, it must not replace the record of a later incarnation.
  require_unchanged(key, txn);
  const protocol::Member record{in_.authority.self(), reaches_others, protocol::kFormat};
  txn.writes.push_back({key, to_json(record), lease});
  return txn;
}

std::optional<Transaction> MembershipProposals::propose(base::Time now, base::LeaseId lease) const {
  if (!in_.authority.has_incarnation() || !in_.authority.has_lease(now)) return {};
  const auto own_record = in_.cache.members().find(own_id());
  if (own_record == in_.cache.members().end() ||
      own_record->second.incarnation != in_.authority.self()) {
    // Lost to a write of an earlier incarnation that was carried out late, or to the end of that
    // one's lease. Without a record this incarnation would never enter a view.
    return member_record(lease, false);
  }
  const Connectivity links = connectivity(now);
  const bool reaches_others = links.reachable > 0;
  if (is_record_outdated(reaches_others, now)) return member_record(lease, reaches_others);
  if (auto txn = replace_earlier_incarnation()) return txn;
  if (!has_leader()) {
    // A member that reaches nobody while others reach each other is the one that is cut off: it must
    // not lead. Where nobody reaches anybody, any leader is better than none.
    if (links.others > 0 && links.is_cut_off()) return {};
    return take_leadership(lease);
  }
  if (!in_.leadership.is_leader(now)) return {};
  const base::Time settled_at =
      std::max(in_.leadership.leader_since(), in_.authority.incarnation_began_at());
  if (links.others >= 2 && links.is_cut_off() &&
      base::between(settled_at, now) > kPeerContactTimeout) {
    spdlog::warn("no other member can be reached: giving up leadership");
    return give_up_leadership();
  }
  return upgrade_format();
}

void MembershipProposals::exclude_lost_members(base::Time now) {
  std::set<base::MemberId> lost;
  // A leader that reaches nobody can't tell whose fault it is: it excludes nobody.
  if (connectivity(now).reachable > 0) {
    for (const auto& [id, member] : in_.cache.members()) {
      if (id != own_id() && in_.contact.is_lost(id, now)) lost.insert(id);
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
  Transaction txn;
  const auto next = next_view(in_.cache.members(), in_.cache.view(), excluded_, claims, is_released,
                              in_.settings.value_bytes);
  if (next) {
    require_unchanged(protocol::kViewKey, txn);
    txn.writes.push_back({protocol::kViewKey, to_json(*next), {}});
  }
  for (const auto& [machine, incarnation] : in_.cache.ownership_claims()) {
    if (txn.writes.size() + 1 >= in_.settings.txn_ops) break;
    const std::string key = protocol::claim_key(machine);
    require_unchanged(key, txn);
    txn.writes.push_back({key, {}, {}});
  }
  if (txn.writes.empty()) return {};
  require_unchanged(protocol::kLeadKey, txn);
  return txn;
}

bool MembershipProposals::needs_claims_on_record(base::Time now) const {
  const auto& leader = in_.cache.leader();
  return leader && *leader != in_.authority.self() &&
         !in_.contact.is_reachable(leader->member, now);
}

std::optional<Transaction> MembershipProposals::propose_claims(
    const std::vector<base::MachineId>& machines, base::Version installed_view) const {
  Transaction txn;
  txn.preconditions[protocol::kViewKey] = installed_view;
  for (const base::MachineId& machine : machines) {
    const std::string key = protocol::claim_key(machine);
    if (in_.cache.version(key).get() != 0) continue;
    if (txn.writes.size() >= in_.settings.txn_ops) break;
    txn.preconditions[key] = base::Version(0);
    txn.writes.push_back({key, to_json(in_.authority.self()), {}});
    spdlog::info("machine can't reach its owner, claimed: machine={}", machine.get());
  }
  if (txn.writes.empty()) return {};
  return txn;
}

MembershipProposals::Connectivity MembershipProposals::connectivity(base::Time now) const {
  Connectivity links;
  for (const auto& [id, member] : in_.cache.members()) {
    if (id == own_id()) continue;
    ++links.others;
    links.others_reach = links.others_reach || member.reaches;
    if (in_.contact.is_reachable(id, now)) ++links.reachable;
  }
  return links;
}

// A new incarnation is given the time to reach others before it says that it reaches none.
bool MembershipProposals::is_record_outdated(bool reaches_others, base::Time now) const {
  if (in_.cache.members().at(own_id()).reaches == reaches_others) return false;
  return reaches_others ||
         base::between(in_.authority.incarnation_began_at(), now) > kPeerContactTimeout;
}

// A process that restarted takes the place of its earlier incarnation at once, leader or not: the
// owners stay the same, and the workers' leases go on running while it waits.
std::optional<Transaction> MembershipProposals::replace_earlier_incarnation() const {
  const auto& view = in_.cache.view();
  if (!view || has_member(*view, in_.authority.self())) return {};
  View next = *view;
  const auto earlier =
      std::find_if(next.members.begin(), next.members.end(),
                   [&](const ControllerIncarnation& m) { return m.member == own_id(); });
  if (earlier == next.members.end()) return {};
  *earlier = in_.authority.self();
  next.epoch = Epoch(next.epoch.get() + 1);
  Transaction txn;
  require_unchanged(protocol::kViewKey, txn);
  require_unchanged(protocol::member_key(own_id()), txn);
  txn.writes.push_back({protocol::kViewKey, to_json(next), {}});
  return txn;
}

// A leader whose member has begun another incarnation leads no longer.
bool MembershipProposals::has_leader() const {
  const auto& leader = in_.cache.leader();
  if (!leader) return false;
  const auto record = in_.cache.members().find(leader->member);
  return record == in_.cache.members().end() || record->second.incarnation == *leader;
}

Transaction MembershipProposals::take_leadership(base::LeaseId lease) const {
  Transaction txn;
  require_unchanged(protocol::kLeadKey, txn);
  require_unchanged(protocol::member_key(own_id()), txn);
  txn.writes.push_back({protocol::kLeadKey, to_json(in_.authority.self()), lease});
  return txn;
}

Transaction MembershipProposals::give_up_leadership() const {
  Transaction txn;
  require_unchanged(protocol::kLeadKey, txn);
  txn.writes.push_back({protocol::kLeadKey, {}, {}});
  return txn;
}

// A new format is put into use once every configured controller says, in the record of its present
// incarnation, that it reads it: one that is away may come back as the version before.
std::optional<Transaction> MembershipProposals::upgrade_format() const {
  if (in_.cache.format() >= protocol::kFormat) return {};
  const std::size_t max_preconditions = in_.settings.txn_ops * protocol::kPreconditionsPerWrite;
  Transaction txn;
  require_unchanged(protocol::kFormatKey, txn);
  const auto reads_format = [&](const base::MemberId& id) {
    const auto record = in_.cache.members().find(id);
    if (record == in_.cache.members().end() || record->second.format < protocol::kFormat) {
      return false;
    }
    require_unchanged(protocol::member_key(id), txn);
    return true;
  };
  if (!reads_format(own_id())) return {};
  for (const base::Peer& peer : in_.settings.peers) {
    // A cluster with more members than one transaction can name keeps the old format.
    if (txn.preconditions.size() >= max_preconditions || !reads_format(peer.member)) return {};
  }
  txn.writes.push_back({protocol::kFormatKey, protocol::kFormat, {}});
  return txn;
}

void MembershipProposals::require_unchanged(const std::string& key, Transaction& txn) const {
  txn.preconditions[key] = in_.cache.version(key);
}

}  // namespace saddleslip::coordination

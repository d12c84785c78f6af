// What this process proposes to the state service about the membership: its own record, who leads,
// which record format is in use, and new views. Each proposal is one transaction, guarded by the
// versions of all keys that it was decided by, so that a late or outdated one is refused.
//
// Holds state only; takes the time as an argument. Not safe for use from several threads at once.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>

#include "coordination/membership/leadership.h"
#include "coordination/membership/peer_contact.h"
#include "coordination/membership/view.h"

namespace saddleslip::coordination {

class MembershipProposals {
 public:
  // What the proposals are decided by; all of it must outlive this object.
  struct Inputs {
    const base::Settings& settings;
    const storage::StateCache& cache;
    const AuthorityLease& authority;
    const Leadership& leadership;
    const PeerContact& contact;
  };
  explicit MembershipProposals(const Inputs& inputs) : in_(inputs) {}

  // The record by which other members know of this incarnation, kept for as long as the lease.
  protocol::Transaction member_record(base::LeaseId lease, bool reaches_others) const;

  // What any member may propose: to correct its own record, to take the place of its earlier
  // incarnation in the view, to take over leadership or give it up; and, for the leader, to put a new
  // record format into use. None if all of that is as it should be.
  std::optional<protocol::Transaction> propose(base::Time now, base::LeaseId lease) const;

  // For the leader: excludes members that it can't reach from the views to come.
  void exclude_lost_members(base::Time now);
  // A new leader starts from nobody excluded.
  void include_all_members() { excluded_.clear(); }
  // For the leader: a view that follows the members' records and gives claimed machines to the
  // members that claim them; none if the present one does. Claims on record are removed with it.
  std::optional<protocol::Transaction> propose_view(
      const std::map<base::MachineId, protocol::ControllerIncarnation>& claims,
      const std::function<bool(const base::MachineId&)>& is_released) const;

  // Claims are told to the leader directly, unless this member can't reach it.
  bool needs_claims_on_record(base::Time now) const;
  // Puts claims to these machines on record, guarded by the view that they were decided by.
  std::optional<protocol::Transaction> propose_claims(const std::vector<base::MachineId>& machines,
                                                      base::Version installed_view) const;

 private:
  // How the other members are connected.
  struct Connectivity {
    std::size_t others = 0;     // members besides this one
    std::size_t reachable = 0;  // ... that this one reaches
    bool others_reach = false;  // does any of them reach anybody, by its own record?
    bool is_cut_off() const { return reachable == 0 && others_reach; }
  };

  Connectivity connectivity(base::Time now) const;
  bool is_record_outdated(bool reaches_others, base::Time now) const;
  std::optional<protocol::Transaction> replace_earlier_incarnation() const;
  bool has_leader() const;
  protocol::Transaction take_leadership(base::LeaseId lease) const;
  protocol::Transaction give_up_leadership() const;
  std::optional<protocol::Transaction> upgrade_format() const;
  const base::MemberId& own_id() const { return in_.authority.self().member; }
  // Makes the transaction depend on the key's version in the cache.
  void require_unchanged(const std::string& key, protocol::Transaction& txn) const;

  Inputs in_;
  std::set<base::MemberId> excluded_;
};

}  // namespace saddleslip::coordination

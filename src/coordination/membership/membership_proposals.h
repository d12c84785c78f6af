// Proposals of this process for the membership data in the state service: its own member record,
// the leader, the record format in use, and new views. Each proposal is one transaction. Its
// preconditions are the versions of all keys that the decision used, so that a late or outdated
// proposal is refused.
//
// Holds state only; calls take the time as an argument. Not safe for use from several threads at
// once.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>

#include "coordination/membership/leadership.h"
#include "coordination/membership/peer_contact.h"
#include "coordination/membership/view.h"

namespace saddleslip::coordination {

// Decides which transaction on the membership data to commit next.
class MembershipProposals {
 public:
  // The data that the decisions use; all of it must outlive this object.
  struct Inputs {
    const base::Settings& settings;
    const storage::StateCache& cache;
    const AuthorityLease& authority;
    const Leadership& leadership;
    const PeerContact& contact;
  };
  explicit MembershipProposals(const Inputs& inputs) : inputs_(inputs) {}

  // Returns the transaction that writes this incarnation's member record, which is deleted with the
  // lease. `reaches_others`: whether calls of this member reach at least one other member.
  protocol::Transaction member_record(base::LeaseId lease, bool reaches_others) const;

  // Returns the next change that any member may propose: to correct its own record, to replace its
  // earlier incarnation in the view, to take over or give up leadership and, as the leader, to put
  // a new record format into use. None if no such change is needed.
  std::optional<protocol::Transaction> propose(base::Time now, base::LeaseId lease) const;

  // Excludes the members that cannot be reached from future views. Called by the leader only.
  void exclude_lost_members(base::Time now);
  // Ends all exclusions, as a new leader does.
  void include_all_members() { excluded_.clear(); }
  // Returns the transaction that writes a view built from the member records, in which claimed
  // machines belong to the members that claim them, and that deletes the stored claims. None if
  // nothing changes. Called by the leader only.
  std::optional<protocol::Transaction> propose_view(
      const std::map<base::MachineId, protocol::ControllerIncarnation>& claims,
      const std::function<bool(const base::MachineId&)>& is_released) const;

  // Returns whether ownership claims must be stored in the state service because this member cannot
  // reach the leader. Otherwise they are sent to the leader with the member's status.
  bool needs_stored_claims(base::Time now) const;
  // Returns the transaction that stores claims to these machines. It fails if the view has changed
  // since `installed_view`, with which the claims were decided.
  std::optional<protocol::Transaction> propose_claims(const std::vector<base::MachineId>& machines,
                                                      base::Version installed_view) const;

 private:
  // Counts of the other members, and whether they are connected.
  struct Connectivity {
    std::size_t others = 0;     // members besides this one
    std::size_t reachable = 0;  // other members that calls of this one reach
    // Whether any other member's record says that it reaches at least one member.
    bool others_are_connected = false;
    bool is_isolated() const { return reachable == 0 && others_are_connected; }
  };

  Connectivity connectivity(base::Time now) const;
  // Returns whether this member's stored record must be updated with this value of
  // `reaches_others`.
  bool is_record_outdated(bool reaches_others, base::Time now) const;
  std::optional<protocol::Transaction> replace_earlier_incarnation() const;
  bool has_leader() const;
  protocol::Transaction take_leadership(base::LeaseId lease) const;
  protocol::Transaction give_up_leadership() const;
  std::optional<protocol::Transaction> upgrade_format() const;
  const base::MemberId& own_id() const { return inputs_.authority.self().member; }
  // Adds the precondition that the key still has the version that the cache holds.
  void require_unchanged(const std::string& key, protocol::Transaction& transaction) const;

  Inputs inputs_;
  std::set<base::MemberId> excluded_;
};

}  // namespace saddleslip::coordination

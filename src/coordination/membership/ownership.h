// Which controller owns which machine, and the view that this process has installed.
//
// owner() and owns() go by the newest view in the cache, which may be ahead of the installed one.
// Holds state only; takes the time as an argument. Not safe for use from several threads at once, the
// const functions included: they keep a cache of owners.
#pragma once

#include <map>
#include <optional>
#include <unordered_map>

#include "coordination/membership/authority_lease.h"
#include "coordination/membership/view.h"

namespace saddleslip::coordination {

// A view that was installed just now.
struct ViewInstallation {
  base::FencingToken base_fencing_token;  // the first of the view's epoch
  // Does it follow directly on the view that was installed before? Views that were skipped may have
  // had other owners, who may have answered machines until lately.
  bool follows_previous = false;
};

class Ownership {
 public:
  // Both must outlive this object.
  Ownership(const storage::StateCache& cache, const AuthorityLease& authority)
      : cache_(cache), authority_(authority) {}

  // The owner of the machine; null if there is no view yet or it has no members. The pointer holds
  // until the view in the cache changes.
  const protocol::ControllerIncarnation* owner(const base::MachineId& machine) const;
  // Is this incarnation the owner? False if it has ended.
  bool owns(const base::MachineId& machine) const;

  // Installs the view in the cache. Nothing happens if it is installed already, or if the watch has
  // not yet brought all that was committed before it: a new owner needs that.
  std::optional<ViewInstallation> install_view(base::Time now);

  // The version of the installed view; 0: none.
  const base::Version& installed_view() const { return installed_view_; }
  const base::Time& view_installed_at() const { return view_installed_at_; }
  const base::FencingToken& base_fencing_token() const { return base_fencing_token_; }
  // Since when the installed view has given the machine to the member that it names for it by an
  // ownership override; none if it has no override.
  std::optional<base::Time> overridden_since(const base::MachineId& machine) const;

 private:
  struct Override {
    base::MemberId member;
    base::Time since;
  };

  void update_overrides(base::Time now);

  const storage::StateCache& cache_;
  const AuthorityLease& authority_;
  base::Version installed_view_;
  base::Time view_installed_at_{};
  base::FencingToken base_fencing_token_;
  std::map<base::MachineId, Override> overrides_;
  // Owners by their index in the members of one view. Every round asks for every machine's owner,
  // which stays the same until the view changes.
  mutable std::unordered_map<base::MachineId, std::size_t> owner_index_;
  mutable base::Version owner_index_view_;
};

}  // namespace saddleslip::coordination

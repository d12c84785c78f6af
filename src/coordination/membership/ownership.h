// Which controller owns each machine, and which view this process has installed.
//
// owner() and owns() use the newest view in the cache, which may be newer than the installed one.
// The class holds state only; calls take the time as an argument. Not safe for use from several
// threads at once, including the const functions, which update an index of owners.
#pragma once

#include <map>
#include <optional>
#include <unordered_map>

#include "coordination/membership/authority_lease.h"
#include "coordination/membership/view.h"

namespace saddleslip::coordination {

// The result of installing a view.
struct ViewInstallation {
  base::FencingToken base_fencing_token;  // the first of the view's epoch
  // Whether its epoch directly follows that of the previously installed view. If views were
  // skipped, other controllers may have owned machines in them and have answered these until
  // recently.
  bool follows_previous = false;
};

// Looks up the owners of machines and installs views.
class Ownership {
 public:
  // The cache and the authority must outlive this object.
  Ownership(const storage::StateCache& cache, const AuthorityLease& authority)
      : cache_(cache), authority_(authority) {}

  // Returns the owner of the machine; null if there is no view yet or it has no members. The
  // pointer is valid until the view in the cache changes.
  const protocol::ControllerIncarnation* owner(const base::MachineId& machine) const;
  // Returns whether this incarnation owns the machine; false if the incarnation has ended.
  bool owns(const base::MachineId& machine) const;

  // Installs the view in the cache. Does nothing and returns none if it is already installed, or if
  // the watch has not yet delivered everything committed before it, which a new owner needs.
  std::optional<ViewInstallation> install_view(base::Time now);

  // Returns the version of the installed view; 0 if none is installed.
  const base::Version& installed_view() const { return installed_view_; }
  const base::Time& view_installed_at() const { return view_installed_at_; }
  const base::FencingToken& base_fencing_token() const { return base_fencing_token_; }
  // Returns since when an ownership override has assigned the machine to its current member, by the
  // installed views; none if the machine has no override.
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
  // The owner of each machine, as an index into the members of the view `owner_index_view_`. Every
  // round looks up the owner of every machine, which is constant until the view changes.
  mutable std::unordered_map<base::MachineId, std::size_t> owner_index_;
  mutable base::Version owner_index_view_;
};

}  // namespace saddleslip::coordination

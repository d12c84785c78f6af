#include "coordination/membership/ownership.h"

#include <utility>

namespace saddleslip::coordination {

namespace {

constexpr std::size_t kMaxIndexedOwners = 20000;

}  // namespace

const protocol::ControllerIncarnation* Ownership::owner(const base::MachineId& machine) const {
  const auto& view = cache_.view();
  if (!view || view->members.empty()) return nullptr;
  const base::Version version = cache_.version(protocol::kViewKey);
  if (owner_index_view_ != version || owner_index_.size() > kMaxIndexedOwners) {
    owner_index_.clear();
    owner_index_view_ = version;
  }
  const auto [entry, is_new] = owner_index_.try_emplace(machine, 0);
  if (is_new) {
    entry->second = static_cast<std::size_t>(owner_of(*view, machine) - view->members.data());
  }
  return &view->members[entry->second];
}

bool Ownership::owns(const base::MachineId& machine) const {
  if (!authority_.has_incarnation()) return false;
  const protocol::ControllerIncarnation* owner_incarnation = owner(machine);
  return owner_incarnation && *owner_incarnation == authority_.self();
}

std::optional<ViewInstallation> Ownership::install_view(base::Time now) {
  const base::Version version = cache_.version(protocol::kViewKey);
  if (!cache_.view() || version == installed_view_ || cache_.revision().get() < version.get()) {
    return {};
  }
  ViewInstallation installation;
  installation.base_fencing_token = first_fencing_token(cache_.view()->epoch);
  const std::uint64_t tokens_per_epoch = first_fencing_token(Epoch(1)).get();
  installation.follows_previous =
      installation.base_fencing_token.get() == base_fencing_token_.get() + tokens_per_epoch;
  installed_view_ = version;
  base_fencing_token_ = installation.base_fencing_token;
  view_installed_at_ = now;
  update_overrides(now);
  return installation;
}

std::optional<base::Time> Ownership::overridden_since(const base::MachineId& machine) const {
  const auto entry = overrides_.find(machine);
  if (entry == overrides_.end()) return {};
  return entry->second.since;
}

// Updates the overrides from the installed view. An override that names the same member as before
// keeps its start time.
void Ownership::update_overrides(base::Time now) {
  std::map<base::MachineId, Override> next;
  for (const auto& [machine, member] : cache_.view()->overrides) {
    const auto before = overrides_.find(machine);
    const bool is_unchanged = before != overrides_.end() && before->second.member == member;
    next[machine] = is_unchanged ? before->second : Override{member, now};
  }
  overrides_ = std::move(next);
}

}  // namespace saddleslip::coordination

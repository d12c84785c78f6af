#include "coordination/membership/view.h"

#include <algorithm>

namespace saddleslip::coordination {

namespace {

// Hashes two strings with FNV-1a, then mixes the bits so that the last bytes affect the whole
// value. The function must never change, since all controllers must compute the same owners.
std::uint64_t hash(const std::string& a, const std::string& b) {
  std::uint64_t h = 1469598103934665603ull;
  const auto mix = [&h](const std::string& s) {
    for (const char c : s) {
      h ^= static_cast<unsigned char>(c);
      h *= 1099511628211ull;
    }
    h ^= 0xff;
    h *= 1099511628211ull;
  };
  mix(a);
  mix(b);
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdull;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ull;
  h ^= h >> 33;
  return h;
}

// Returns the member whose hash together with `name` is the highest; null if there are no members.
const ControllerIncarnation* highest_ranked(const View& view, const std::string& name) {
  const ControllerIncarnation* best = nullptr;
  std::uint64_t best_rank = 0;
  for (const ControllerIncarnation& m : view.members) {
    const std::uint64_t rank = hash(m.member.get(), name);
    if (!best || rank > best_rank) {
      best = &m;
      best_rank = rank;
    }
  }
  return best;
}

// Estimates of the encoded size of a view, which must fit into one value of the state service.
constexpr std::size_t kBytesPerMember = 100;
constexpr std::size_t kBytesPerOverride = 3;  // in addition to the machine's id

}  // namespace

const ControllerIncarnation* home_of(const View& view, const JobId& job) {
  return highest_ranked(view, job.get());
}

const ControllerIncarnation* owner_of(const View& view, const MachineId& machine) {
  if (const auto entry = view.overrides.find(machine); entry != view.overrides.end()) {
    for (const ControllerIncarnation& m : view.members) {
      if (m.member == entry->second) return &m;
    }
  }
  return highest_ranked(view, machine.get());
}

std::optional<View> next_view(const std::map<MemberId, protocol::Member>& members,
                              const std::optional<View>& current,
                              const std::set<MemberId>& excluded,
                              const std::map<MachineId, ControllerIncarnation>& claims,
                              const std::function<bool(const MachineId&)>& is_released,
                              std::size_t max_bytes) {
  View next;
  for (const auto& [id, member] : members) {
    if (!excluded.contains(id)) next.members.push_back(member.incarnation);
  }
  const auto is_member = [&next](const MemberId& id) {
    return std::any_of(next.members.begin(), next.members.end(),
                       [&id](const ControllerIncarnation& m) { return m.member == id; });
  };
  std::size_t bytes = kBytesPerMember * (next.members.size() + 1);
  const auto add_override = [&](const MachineId& machine, const MemberId& member) {
    const std::size_t entry_bytes = machine.get().size() + kBytesPerOverride;
    if (bytes + entry_bytes > max_bytes || is_released(machine)) return;
    if (next.overrides.emplace(machine, member).second) bytes += entry_bytes;
  };
  for (const auto& [machine, incarnation] : claims) {
    if (has_member(next, incarnation)) add_override(machine, incarnation.member);
  }
  if (current) {
    for (const auto& [machine, member] : current->overrides) {
      if (is_member(member)) add_override(machine, member);
    }
  }
  if (next.members.empty()) return {};
  if (current) {
    next.epoch = current->epoch;
    // Overrides of released machines alone do not cause a new view: they are dropped with the next
    // one.
    View without_released = *current;
    std::erase_if(without_released.overrides,
                  [&](const auto& entry) { return is_released(entry.first); });
    if (next == without_released) return {};
  }
  next.epoch = Epoch(next.epoch.get() + 1);
  return next;
}

bool has_member(const View& view, const ControllerIncarnation& incarnation) {
  return std::find(view.members.begin(), view.members.end(), incarnation) != view.members.end();
}

}  // namespace saddleslip::coordination

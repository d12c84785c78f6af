#include "coordination/membership/view.h"

#include <algorithm>

namespace saddleslip::coordination {

namespace {

std::uint64_t hash(const std::string& a, const std::string& b) {
  std::uint64_t h = 1469598103934665603ull;  // FNV-1a, then a finisher that spreads the last bytes
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

const ControllerIncarnation* highest(const View& view, const std::string& name) {
  const ControllerIncarnation* best = nullptr;
  std::uint64_t most = 0;
  for (const ControllerIncarnation& m : view.members) {
    const std::uint64_t h = hash(m.member.get(), name);
    if (!best || h > most) {
      best = &m;
      most = h;
    }
  }
  return best;
}

constexpr std::size_t kForMembers = 100;  // bytes of the view for each member, and once more

}  // namespace

const ControllerIncarnation* home_of(const View& view, const JobId& job) {
  return highest(view, job.get());
}

const ControllerIncarnation* owner_of(const View& view, const MachineId& machine) {
  if (const auto add_override = view.overrides.find(machine);
      add_override != view.overrides.end()) {
    for (const ControllerIncarnation& m : view.members) {
      if (m.member == add_override->second) return &m;
    }
  }
  return highest(view, machine.get());
}

std::optional<View> next_view(const std::map<MemberId, protocol::Member>& members,
                              const std::optional<View>& present,
                              const std::set<MemberId>& excluded,
                              const std::map<MachineId, ControllerIncarnation>& claims,
                              const std::function<bool(const MachineId&)>& released,
                              std::size_t most_bytes) {
  View next;
  for (const auto& [id, member] : members) {
    if (!excluded.contains(id)) next.members.push_back(member.incarnation);
  }
  const auto is_member = [&next](const MemberId& id) {
    return std::any_of(next.members.begin(), next.members.end(),
                       [&id](const ControllerIncarnation& m) { return m.member == id; });
  };
  std::size_t bytes = kForMembers * (next.members.size() + 1);
  const auto add_override = [&](const MachineId& machine, const MemberId& member) {
    const std::size_t more = machine.get().size() + 3;
    if (bytes + more > most_bytes || released(machine)) return;
    if (next.overrides.emplace(machine, member).second) bytes += more;
  };
  for (const auto& [machine, incarnation] : claims) {
    if (has_member(next, incarnation)) add_override(machine, incarnation.member);
  }
  if (present) {
    for (const auto& [machine, member] : present->overrides) {
      if (is_member(member)) add_override(machine, member);
    }
  }
  if (next.members.empty()) return {};
  if (present) {
    next.epoch = present->epoch;
    // That machines are gone is no reason for a new view: they leave it with the next one.
    View now = *present;
    std::erase_if(now.overrides, [&](const auto& p) { return released(p.first); });
    if (next == now) return {};
  }
  next.epoch = Epoch(next.epoch.get() + 1);
  return next;
}

bool has_member(const View& view, const ControllerIncarnation& incarnation) {
  return std::find(view.members.begin(), view.members.end(), incarnation) != view.members.end();
}

}  // namespace saddleslip::coordination

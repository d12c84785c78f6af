#include "coordination/machines/status_revisions.h"

#include <algorithm>

namespace saddleslip::coordination {

std::vector<base::MachineId> StatusRevisions::left_since(std::uint64_t revision) const {
  std::vector<base::MachineId> out;
  if (revision == 0) return out;
  for (const auto& [machine, left_at] : left_) {
    if (left_at > revision) out.push_back(machine);
  }
  return out;
}

std::uint64_t StatusRevisions::acknowledged(const base::MemberId& peer) const {
  const auto at = acknowledged_.find(peer);
  return at == acknowledged_.end() ? 0 : at->second;
}

void StatusRevisions::forget_acknowledged(const std::vector<base::Peer>& peers) {
  std::uint64_t least = current_;
  for (const base::Peer& peer : peers) {
    // A peer that has nothing is sent the full status, which names no machines that left.
    const std::uint64_t revision = acknowledged(peer.member);
    if (revision > 0) least = std::min(least, revision);
  }
  std::erase_if(left_, [&](const auto& entry) { return entry.second <= least; });
}

}  // namespace saddleslip::coordination

#include "coordination/machines/status_revisions.h"

#include <algorithm>

namespace saddleslip::coordination {

std::vector<base::MachineId> StatusRevisions::departed_since(std::uint64_t revision) const {
  std::vector<base::MachineId> machines;
  if (revision == 0) return machines;
  for (const auto& [machine, departure_revision] : departure_revisions_) {
    if (departure_revision > revision) machines.push_back(machine);
  }
  return machines;
}

std::uint64_t StatusRevisions::acknowledged(const base::MemberId& peer) const {
  const auto at = acknowledged_.find(peer);
  return at == acknowledged_.end() ? 0 : at->second;
}

void StatusRevisions::prune_departed(const std::vector<base::Peer>& peers) {
  std::uint64_t lowest_acknowledged = current_;
  for (const base::Peer& peer : peers) {
    // A peer without an acknowledged revision is sent the full status, which lists no machines that
    // left.
    const std::uint64_t revision = acknowledged(peer.member);
    if (revision > 0) lowest_acknowledged = std::min(lowest_acknowledged, revision);
  }
  std::erase_if(departure_revisions_,
                [&](const auto& entry) { return entry.second <= lowest_acknowledged; });
}

}  // namespace saddleslip::coordination

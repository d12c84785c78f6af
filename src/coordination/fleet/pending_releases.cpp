#include "coordination/fleet/pending_releases.h"

#include <algorithm>

#include "base/log.h"

namespace saddleslip::coordination {

using base::MachineId;

void PendingReleases::clear() {
  machines_.clear();
  unreported_since_.clear();
}

void PendingReleases::record_unreported(const MachineId& machine, const FleetStatus& fleet,
                                        base::Seconds limit) {
  const base::Time since = unreported_since_.try_emplace(machine, fleet.now).first->second;
  if (base::between(std::max(since, fleet.view_installed_at), fleet.now) <= limit) return;
  spdlog::info("listed machine reports to no member, to be released: machine={}", machine.get());
  machines_.insert(machine);
}

void PendingReleases::forget_unlisted(const std::set<MachineId>& listed) {
  std::erase_if(unreported_since_,
                [&](const auto& unreported) { return !listed.contains(unreported.first); });
}

std::vector<MachineId> PendingReleases::machines_to_release(const ReleaseRequests& requests,
                                                            const FleetStatus& fleet) const {
  std::set<MachineId> releases = machines_;
  releases.insert(requests.requested.begin(), requests.requested.end());
  // A machine that is silent for its owner but reports to another member is alive: only its owner
  // cannot be reached.
  std::set<MachineId> alive = requests.misdirected;
  // Exception: if its heartbeats reach the owner but the responses are lost, the connection is
  // half-open and the machine tries one member after another. Such a machine is released.
  for (const OwnedMachines& partition : fleet.partitions) {
    for (const protocol::MachineStatus* machine : partition.machines) {
      if (machine->has_unacknowledged_response) alive.erase(machine->id);
    }
  }
  std::erase_if(releases,
                [&](const MachineId& id) { return fleet.is_released(id) || alive.contains(id); });
  return {releases.begin(), releases.end()};
}

}  // namespace saddleslip::coordination

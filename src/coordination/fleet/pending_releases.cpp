#include "coordination/fleet/pending_releases.h"

#include <algorithm>

#include "base/log.h"

namespace saddleslip::coordination {

using base::MachineId;

void PendingReleases::clear() {
  machines_.clear();
  unheard_since_.clear();
}

void PendingReleases::record_unheard(const MachineId& machine, const FleetStatus& fleet,
                                     base::Seconds limit) {
  const base::Time since = unheard_since_.try_emplace(machine, fleet.now).first->second;
  if (base::between(std::max(since, fleet.view_installed_at), fleet.now) <= limit) return;
  spdlog::info("listed machine reports to no member, to be released: machine={}", machine.get());
  machines_.insert(machine);
}

void PendingReleases::forget_unlisted(const std::set<MachineId>& listed) {
  std::erase_if(unheard_since_,
                [&](const auto& unheard) { return !listed.contains(unheard.first); });
}

std::vector<MachineId> PendingReleases::due(const ReleaseRequests& requests,
                                            const FleetStatus& fleet) const {
  std::set<MachineId> due = machines_;
  due.insert(requests.requested.begin(), requests.requested.end());
  // A machine that is silent for its owner and reports elsewhere is alive: it
  // is the owner that can't be reached ...
  std::set<MachineId> alive = requests.misdirected;
  // ... unless its heartbeats reach the owner and the responses are lost: then
  // the connection is half-open, and the machine goes from member to member.
  for (const OwnedMachines& partition : fleet.partitions) {
    for (const protocol::MachineStatus* machine : partition.machines) {
      if (machine->unsure) alive.erase(machine->id);
    }
  }
  std::erase_if(due,
                [&](const MachineId& id) { return fleet.is_released(id) || alive.contains(id); });
  return {due.begin(), due.end()};
}

}  // namespace saddleslip::coordination

#include "protocol/fleet_record.h"

#include <algorithm>

namespace saddleslip::protocol {

namespace {

// Booting machines are encoded in groups, since hundreds may boot at once: machines of one group
// differ only in their ids. A group is the array [type, zone, spot, rented, [id, ...]], with these
// indices:
constexpr std::size_t kTypeIndex = 0;
constexpr std::size_t kZoneIndex = 1;
constexpr std::size_t kSpotIndex = 2;
constexpr std::size_t kRentedIndex = 3;
constexpr std::size_t kIdsIndex = 4;

// Upper bounds for the sizes of the parts of an encoded fleet record, in bytes.
constexpr std::size_t kBracketBytes = 2;
constexpr std::size_t kIdPunctuationBytes = 3;
constexpr std::size_t kGroupFrameBytes = 48;

bool belongs_to_group(const BootingMachine& machine, const Json& group) {
  return group[kTypeIndex] == machine.type && group[kZoneIndex] == machine.zone &&
         group[kSpotIndex] == machine.spot && group[kRentedIndex] == machine.rented_at;
}

void append_machines(const Json& group, std::vector<BootingMachine>& fleet) {
  for (const Json& id : group.at(kIdsIndex)) {
    fleet.push_back({MachineId(id.get<std::string>()), group.at(kTypeIndex).get<std::string>(),
                     group.at(kZoneIndex).get<std::string>(), group.at(kSpotIndex).get<bool>(),
                     group.at(kRentedIndex).get<double>()});
  }
}

}  // namespace

Json to_json(const std::vector<BootingMachine>& fleet, std::size_t max_bytes) {
  Json groups = Json::array();
  std::size_t bytes = kBracketBytes;
  const std::vector<BootingMachine> latest_first(fleet.rbegin(), fleet.rend());
  for (const BootingMachine& machine : latest_first) {
    const bool fits_last_group = !groups.empty() && belongs_to_group(machine, groups.back());
    bytes += machine.id.get().size() + kIdPunctuationBytes;
    if (!fits_last_group) bytes += machine.type.size() + machine.zone.size() + kGroupFrameBytes;
    if (bytes > max_bytes) break;
    if (!fits_last_group) {
      groups.push_back(
          {machine.type, machine.zone, machine.spot, machine.rented_at, Json::array()});
    }
    groups.back()[kIdsIndex].push_back(machine.id.get());
  }
  return groups;
}

std::vector<BootingMachine> parse_fleet(const Json& value) {
  std::vector<BootingMachine> fleet;
  try {
    for (const Json& group : value) append_machines(group, fleet);
  } catch (const Json::exception&) {
    fleet.clear();
  }
  std::reverse(fleet.begin(), fleet.end());
  return fleet;
}

}  // namespace saddleslip::protocol

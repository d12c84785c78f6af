#include "protocol/fleet_record.h"

#include <algorithm>

namespace saddleslip::protocol {

namespace {

// A group of machines of one rental, which differ in their ids only: hundreds may boot at once.
// [type, zone, spot, rented, [id, ...]]
constexpr std::size_t kType = 0;
constexpr std::size_t kZone = 1;
constexpr std::size_t kSpot = 2;
constexpr std::size_t kRented = 3;
constexpr std::size_t kIds = 4;

// Upper bounds of bytes in the encoding.
constexpr std::size_t kBrackets = 2;
constexpr std::size_t kIdPunctuation = 3;
constexpr std::size_t kGroupFrame = 48;

bool is_of_group(const Booting& machine, const Json& group) {
  return group[kType] == machine.type && group[kZone] == machine.zone &&
         group[kSpot] == machine.spot && group[kRented] == machine.rented;
}

void append_group(const Json& group, std::vector<Booting>& fleet) {
  for (const Json& id : group.at(kIds)) {
    fleet.push_back({MachineId(id.get<std::string>()), group.at(kType).get<std::string>(),
                     group.at(kZone).get<std::string>(), group.at(kSpot).get<bool>(),
                     group.at(kRented).get<double>()});
  }
}

}  // namespace

Json to_json(const std::vector<Booting>& fleet, std::size_t max_bytes) {
  Json groups = Json::array();
  std::size_t bytes = kBrackets;
  const std::vector<Booting> latest_first(fleet.rbegin(), fleet.rend());
  for (const Booting& machine : latest_first) {
    const bool fits_last_group = !groups.empty() && is_of_group(machine, groups.back());
    bytes += machine.id.get().size() + kIdPunctuation;
    if (!fits_last_group) bytes += machine.type.size() + machine.zone.size() + kGroupFrame;
    if (bytes > max_bytes) break;
    if (!fits_last_group) {
      groups.push_back({machine.type, machine.zone, machine.spot, machine.rented, Json::array()});
    }
    groups.back()[kIds].push_back(machine.id.get());
  }
  return groups;
}

std::vector<Booting> parse_fleet(const Json& value) {
  std::vector<Booting> fleet;
  try {
    for (const Json& group : value) append_group(group, fleet);
  } catch (const Json::exception&) {
    fleet.clear();
  }
  std::reverse(fleet.begin(), fleet.end());
  return fleet;
}

}  // namespace saddleslip::protocol

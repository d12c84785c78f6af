// What the cloud says of the machines that it rents out.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/base_types.h"
#include "protocol/resources.h"

namespace saddleslip::protocol {

// A machine type of the cloud's catalog.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;  // for images
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  Seconds boot{0};                 // usual time from the rental to the first heartbeat
  std::vector<std::string> zones;  // in which the type is offered
};

// None if the catalog is malformed.
std::optional<std::vector<MachineType>> parse_catalogue(const Json& body);
Json to_json(const std::vector<MachineType>& types);

enum class CloudState { kStarting, kRunning, kFailed };

// A machine of the cloud's list of rentals.
struct CloudMachine {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  CloudState state = CloudState::kStarting;
  Seconds age{0};  // since it was rented
};

// None if the entry is malformed.
std::optional<CloudMachine> parse_cloud_machine(const Json& entry);

}  // namespace saddleslip::protocol

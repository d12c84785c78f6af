// The cloud's catalog of machine types, and the entries of its list of rented machines.
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
  double cache_gb = 0;        // size of the image cache
  double fetch_gb_per_s = 0;  // rate at which images are fetched
  double price = 0;
  double spot_price = 0;           // price of a spot instance
  Seconds boot{0};                 // typical time from the rental to the first heartbeat
  std::vector<std::string> zones;  // zones that offer the type
};

// Parses the catalog; nullopt if it is malformed.
std::optional<std::vector<MachineType>> parse_catalogue(const Json& body);
// Encodes the machine types in the format of the cloud's catalog.
Json to_json(const std::vector<MachineType>& types);

// The state of a rented machine, as the cloud reports it.
enum class CloudState { kStarting, kRunning, kFailed };

// A rented machine, as listed by the cloud.
struct CloudMachine {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  CloudState state = CloudState::kStarting;
  Seconds age{0};  // time since the rental
};

// Parses an entry of the cloud's list of rented machines; nullopt if it is malformed.
std::optional<CloudMachine> parse_cloud_machine(const Json& entry);

}  // namespace saddleslip::protocol

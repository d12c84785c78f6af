// The record of machines that are rented and have sent no heartbeat yet.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// A machine between its rental and its first heartbeat.
struct Booting {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  double rented = 0;  // when, in seconds since 1970
};

// `fleet` is in the order of the rentals. If not all fit into `max_bytes`, the latest are kept: the
// cloud's list of machines lags, and shows the older ones.
Json to_json(const std::vector<Booting>& fleet, std::size_t max_bytes);

// Empty if the value is malformed.
std::vector<Booting> parse_fleet(const Json& value);

}  // namespace saddleslip::protocol

// The fleet record: the machines that are rented but have not sent their first heartbeat.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// A machine that is booting: rented, without a first heartbeat so far.
struct BootingMachine {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  double rented_at = 0;  // time of the rental, in seconds since 1970 (UTC)
};

// Encodes the booting machines, given in the order of their rentals, in at most `max_bytes`. If not
// all fit, the oldest are left out: they are likely to be in the cloud's list of machines, which
// lags and may lack the latest ones.
Json to_json(const std::vector<BootingMachine>& fleet, std::size_t max_bytes);

// Parses the fleet record into booting machines in the order of their rentals; an empty list if the
// value is malformed.
std::vector<BootingMachine> parse_fleet(const Json& value);

}  // namespace saddleslip::protocol

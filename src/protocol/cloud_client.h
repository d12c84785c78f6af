// HTTP client of the cloud: reads the catalog of machine types, and rents, lists and releases
// machines.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "protocol/machine_catalog.h"
#include "transport/http_client.h"

namespace saddleslip::protocol {

// The maximum number of machines that one call can rent.
inline constexpr int kMaxRentedPerCall = 50;

// Client of the cloud's HTTP interface. All calls are thread-safe and block until a response
// arrives or a timeout of a few seconds expires. A malformed response is treated as no response.
class CloudClient {
 public:
  explicit CloudClient(const base::Address& address);

  // Returns the machine types that the cloud offers; nullopt if there was no valid response.
  std::optional<std::vector<MachineType>> catalogue();

  // The result of a rental.
  struct RentalResult {
    enum class Outcome {
      kMachines,    // the machines were rented
      kNoCapacity,  // the cloud has no machines of this type in this zone now
      kRefused,     // rate limit exceeded or request malformed; certainly not carried out
      kUnknown      // no valid response: machines may have been rented
    } outcome = Outcome::kUnknown;
    std::vector<MachineId> machines;
  };
  // Rents up to `count` machines. `request` is an idempotency key: a repeated call with the same
  // key rents no further machines.
  RentalResult rent(const std::string& request, const std::string& type, const std::string& zone,
                    bool spot, int count);

  // Releases the machines. Returns true if the cloud confirmed it: the machines and all tasks on
  // them no longer exist.
  bool release(const std::vector<MachineId>& machines);

  // Returns all rented machines; nullopt if any page of the list could not be read. The list may
  // lag behind recent rentals and releases.
  std::optional<std::vector<CloudMachine>> list();

 private:
  transport::HttpClient http_;
};

}  // namespace saddleslip::protocol

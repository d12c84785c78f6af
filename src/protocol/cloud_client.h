// Client of the cloud: its catalog, and renting and releasing machines.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "protocol/machine_catalog.h"
#include "transport/http_client.h"

namespace saddleslip::protocol {

inline constexpr int kMaxRentedPerCall = 50;

// All calls block until there is an answer or a timeout of some seconds has passed, and may be made
// from any thread. A malformed answer counts as none.
class CloudClient {
 public:
  explicit CloudClient(const base::Address& address);

  // None: no answer.
  std::optional<std::vector<MachineType>> catalogue();

  struct Rented {
    enum class What {
      kMachines,
      kNoCapacity,  // the cloud has no machines of this type in this zone now
      kRefused,     // over a limit or malformed; certainly not carried out
      kUnknown      // no answer: machines may have been rented
    } what = What::kUnknown;
    std::vector<MachineId> machines;
  };
  // `request` names the call: repeating it with the same name rents nothing more.
  Rented rent(const std::string& request, const std::string& type, const std::string& zone,
              bool spot, int count);

  // True: the machines and everything on them are gone.
  bool release(const std::vector<MachineId>& machines);

  // All rented machines; the list may lag. None: not all of it was read.
  std::optional<std::vector<CloudMachine>> list();

 private:
  transport::HttpClient http_;
};

}  // namespace saddleslip::protocol

#include "protocol/cloud_client.h"

#include <algorithm>

#include "base/log.h"
#include "protocol/client_support.h"
#include "protocol/id_lists.h"
#include "protocol/wire_fields.h"

namespace saddleslip::protocol {

using transport::Answer;
using transport::Sent;

namespace {

constexpr std::size_t kMaxConcurrentCalls = 2;
constexpr Seconds kCatalogTimeout{3.0};
constexpr Seconds kRentalTimeout{5.0};
constexpr std::size_t kMaxLoggedBytes = 200;

// Classifies a response whose status is not 200: kNoCapacity or kRefused if nothing was rented,
// kUnknown if machines may have been rented.
CloudClient::Rented::What classify_refusal(const Answer& response) {
  using What = CloudClient::Rented::What;
  if (response.status == 503 && response.body.find("no capacity") != std::string::npos) {
    return What::kNoCapacity;
  }
  if (response.status == 400) {
    spdlog::error("cloud rejected a rental as malformed: response={}",
                  response.body.substr(0, kMaxLoggedBytes));
  }
  const bool is_refused =
      response.status == 400 || response.status == 429 || response.status == 503;
  return is_refused ? What::kRefused : What::kUnknown;
}

}  // namespace

CloudClient::CloudClient(const base::Address& address) : http_(address, kMaxConcurrentCalls) {}

std::optional<std::vector<MachineType>> CloudClient::catalogue() {
  const Answer response = http_.get("/catalog", kCatalogTimeout);
  if (!response.ok()) return {};
  return parse_catalogue(parse_object(response));
}

CloudClient::Rented CloudClient::rent(const std::string& request, const std::string& type,
                                      const std::string& zone, bool spot, int count) {
  const Json body = {{wire::kRentalRequest, request},
                     {wire::kMachineType, type},
                     {wire::kZone, zone},
                     {wire::kSpot, spot},
                     {"how_many", std::clamp(count, 1, kMaxRentedPerCall)}};
  const Answer response = http_.post("/rentals", body.dump(), kRentalTimeout);
  Rented rented;
  if (response.sent == Sent::kNo) rented.what = Rented::What::kRefused;
  if (response.sent != Sent::kYes) return rented;
  if (response.status != 200) {
    rented.what = classify_refusal(response);
    return rented;
  }
  const Json machines = parse_object(response);
  if (!has_array(machines, wire::kMachines)) return rented;
  rented.machines = parse_ids<MachineId>(machines, wire::kMachines);
  rented.what = Rented::What::kMachines;
  return rented;
}

bool CloudClient::release(const std::vector<MachineId>& machines) {
  const Json body = {{wire::kMachines, ids_to_json(machines)}};
  return http_.post("/rentals/release", body.dump(), kRentalTimeout).ok();
}

std::optional<std::vector<CloudMachine>> CloudClient::list() {
  std::vector<CloudMachine> machines;
  for (;;) {
    std::string path = std::string("/rentals?page=") + kPageSize;
    if (!machines.empty()) path += "&after=" + machines.back().id.get();
    const Answer response = http_.get(path, kRentalTimeout, kMaxResponseBytes);
    if (!response.ok()) return {};
    const Json page = parse_object(response);
    if (!has_array(page, wire::kMachines)) return {};
    const Json& entries = page.at(wire::kMachines);
    for (const Json& entry : entries) {
      auto machine = parse_cloud_machine(entry);
      if (!machine) return {};
      machines.push_back(std::move(*machine));
    }
    if (!page.value("more", false) || entries.empty()) return machines;
  }
}

}  // namespace saddleslip::protocol

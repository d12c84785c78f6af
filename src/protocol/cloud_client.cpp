#include "protocol/cloud_client.h"

#include <algorithm>

#include "base/log.h"
#include "protocol/client_support.h"
#include "protocol/id_lists.h"
#include "protocol/wire_fields.h"

namespace saddleslip::protocol {

using transport::Delivery;
using transport::HttpResult;

namespace {

constexpr std::size_t kMaxConcurrentCalls = 2;
constexpr Seconds kCatalogTimeout{3.0};
constexpr Seconds kRentalTimeout{5.0};
constexpr std::size_t kMaxLoggedBytes = 200;

// Classifies a response whose status is not 200: kNoCapacity or kRefused if nothing was rented,
// kUnknown if machines may have been rented.
CloudClient::RentalResult::Outcome classify_refusal(const HttpResult& response) {
  using Outcome = CloudClient::RentalResult::Outcome;
  if (response.status == 503 && response.body.find("no capacity") != std::string::npos) {
    return Outcome::kNoCapacity;
  }
  if (response.status == 400) {
    spdlog::error("cloud rejected a rental as malformed: response={}",
                  response.body.substr(0, kMaxLoggedBytes));
  }
  const bool is_refused =
      response.status == 400 || response.status == 429 || response.status == 503;
  return is_refused ? Outcome::kRefused : Outcome::kUnknown;
}

}  // namespace

CloudClient::CloudClient(const base::Address& address) : http_(address, kMaxConcurrentCalls) {}

std::optional<std::vector<MachineType>> CloudClient::catalogue() {
  const HttpResult response = http_.get("/catalog", kCatalogTimeout);
  if (!response.ok()) return {};
  return parse_catalogue(parse_object(response));
}

CloudClient::RentalResult CloudClient::rent(const std::string& request, const std::string& type,
                                            const std::string& zone, bool spot, int count) {
  const Json body = {{wire::kRentalRequest, request},
                     {wire::kMachineType, type},
                     {wire::kZone, zone},
                     {wire::kSpot, spot},
                     {"how_many", std::clamp(count, 1, kMaxRentedPerCall)}};
  const HttpResult response = http_.post("/rentals", body.dump(), kRentalTimeout);
  RentalResult result;
  if (response.delivery == Delivery::kNotSent) result.outcome = RentalResult::Outcome::kRefused;
  if (response.delivery != Delivery::kAnswered) return result;
  if (response.status != 200) {
    result.outcome = classify_refusal(response);
    return result;
  }
  const Json machines = parse_object(response);
  if (!has_array(machines, wire::kMachines)) return result;
  result.machines = parse_ids<MachineId>(machines, wire::kMachines);
  result.outcome = RentalResult::Outcome::kMachines;
  return result;
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
    const HttpResult response = http_.get(path, kRentalTimeout, kMaxResponseBytes);
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

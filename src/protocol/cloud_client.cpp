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

constexpr std::size_t kMaxCalls = 2;  // at once
constexpr Seconds kCatalogTimeout{3.0};
constexpr Seconds kRentalTimeout{5.0};
constexpr std::size_t kMaxLoggedBytes = 200;

// A refusal; kUnknown for other statuses.
CloudClient::Rented::What parse_refusal(const Answer& answer) {
  using What = CloudClient::Rented::What;
  if (answer.status == 503 && answer.body.find("no capacity") != std::string::npos) {
    return What::kNoCapacity;
  }
  if (answer.status == 400) {
    spdlog::error("the cloud calls a rental malformed: {}", answer.body.substr(0, kMaxLoggedBytes));
  }
  const bool is_refused = answer.status == 400 || answer.status == 429 || answer.status == 503;
  return is_refused ? What::kRefused : What::kUnknown;
}

}  // namespace

CloudClient::CloudClient(const base::Address& address) : http_(address, kMaxCalls) {}

std::optional<std::vector<MachineType>> CloudClient::catalogue() {
  const Answer answer = http_.get("/catalog", kCatalogTimeout);
  if (!answer.ok()) return {};
  return parse_catalogue(parse_object(answer));
}

CloudClient::Rented CloudClient::rent(const std::string& request, const std::string& type,
                                      const std::string& zone, bool spot, int count) {
  const Json body = {{wire::kRentalRequest, request},
                     {wire::kMachineType, type},
                     {wire::kZone, zone},
                     {wire::kSpot, spot},
                     {"how_many", std::clamp(count, 1, kMaxRentedPerCall)}};
  const Answer answer = http_.post("/rentals", body.dump(), kRentalTimeout);
  Rented rented;
  if (answer.sent == Sent::kNo) rented.what = Rented::What::kRefused;
  if (answer.sent != Sent::kYes) return rented;
  if (answer.status != 200) {
    rented.what = parse_refusal(answer);
    return rented;
  }
  const Json machines = parse_object(answer);
  if (!has_list(machines, wire::kMachines)) return rented;
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
    const Answer answer = http_.get(path, kRentalTimeout, kMaxAnswerBytes);
    if (!answer.ok()) return {};
    const Json page = parse_object(answer);
    if (!has_list(page, wire::kMachines)) return {};
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

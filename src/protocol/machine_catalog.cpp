#include "protocol/machine_catalog.h"

#include "protocol/field_reader.h"
#include "protocol/wire_fields.h"

namespace saddleslip::protocol {

namespace {

double read_amount_or_zero(FieldReader& reader, const char* field) {
  return reader.read_optional_amount(field, 0).value_or(0);
}

// Reads the names of the zones. Elements that are not strings are skipped.
std::vector<std::string> read_zones(const FieldReader& reader) {
  std::vector<std::string> zones;
  const Json* list = reader.find(wire::kZones);
  if (!list || !list->is_array()) return zones;
  for (const Json& zone : *list) {
    if (zone.is_string()) zones.push_back(zone.get<std::string>());
  }
  return zones;
}

std::optional<MachineType> parse_machine_type(const Json& entry) {
  if (!entry.is_object()) return {};
  FieldReader reader(entry);
  MachineType type;
  type.name = reader.read_string(wire::kTypeName);
  type.size.amounts = {reader.read_amount("cores", 0), read_amount_or_zero(reader, "gpus"),
                       reader.read_amount("memory_gb", 0)};
  type.cache_gb = read_amount_or_zero(reader, "cache_gb");
  type.fetch_gb_per_s = read_amount_or_zero(reader, "fetch_gb_per_s");
  type.price = reader.read_amount("price", 0);
  type.spot_price = reader.read_optional_amount(wire::kSpotPrice, 0).value_or(type.price);
  type.boot = Seconds(read_amount_or_zero(reader, wire::kBootTime));
  type.zones = read_zones(reader);
  if (reader.error()) return {};
  return type;
}

Json to_json(const MachineType& type) {
  return Json{{wire::kTypeName, type.name},
              {"cores", type.size.cores()},
              {"gpus", type.size.gpus()},
              {"memory_gb", type.size.memory()},
              {"cache_gb", type.cache_gb},
              {"fetch_gb_per_s", type.fetch_gb_per_s},
              {"price", type.price},
              {wire::kSpotPrice, type.spot_price},
              {wire::kBootTime, type.boot.count()},
              {wire::kZones, type.zones}};
}

CloudState parse_cloud_state(const std::string& name) {
  if (name == "running") return CloudState::kRunning;
  if (name == "failed") return CloudState::kFailed;
  return CloudState::kStarting;
}

}  // namespace

std::optional<std::vector<MachineType>> parse_catalogue(const Json& body) {
  if (!body.is_object()) return {};
  const auto list = body.find(wire::kMachineTypes);
  if (list == body.end() || !list->is_array()) return {};
  std::vector<MachineType> types;
  for (const Json& entry : *list) {
    auto type = parse_machine_type(entry);
    if (!type) return {};
    types.push_back(std::move(*type));
  }
  return types;
}

Json to_json(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const MachineType& type : types) list.push_back(to_json(type));
  return Json{{wire::kMachineTypes, std::move(list)}};
}

std::optional<CloudMachine> parse_cloud_machine(const Json& entry) {
  if (!entry.is_object()) return {};
  try {
    CloudMachine machine;
    machine.id = MachineId(entry.at(wire::kId).get<std::string>());
    machine.type = entry.at(wire::kMachineType).get<std::string>();
    machine.zone = entry.at(wire::kZone).get<std::string>();
    machine.spot = entry.value(wire::kSpot, false);
    machine.state = parse_cloud_state(entry.at("status").get<std::string>());
    machine.age = Seconds(entry.value(wire::kRentalAge, 0.0));
    return machine;
  } catch (const Json::exception&) {
    return {};
  }
}

}  // namespace saddleslip::protocol

#include "protocol/store_transaction.h"

#include "protocol/wire_fields.h"

namespace saddleslip::protocol {

namespace {

// JSON field names of items, writes and changes of the state service.
constexpr const char* kKey = "key";
constexpr const char* kValue = "v";
constexpr const char* kWrites = "writes";
constexpr const char* kWrite = "write";
constexpr const char* kRemove = "remove";

// Returns the unsigned number in the field `field`; 0 if the field is missing or holds something
// else.
std::uint64_t number_or_zero(const Json& object, const char* field) {
  const auto value = object.find(field);
  return value != object.end() && value->is_number_unsigned() ? value->get<std::uint64_t>() : 0;
}

Version parse_version(const Json& object) {
  return Version(number_or_zero(object, wire::kVersion));
}

// Returns the string in the field `field`; a null pointer if the field is missing or not a string.
const std::string* find_string(const Json& object, const char* field) {
  const auto value = object.find(field);
  return value == object.end() ? nullptr : value->get_ptr<const std::string*>();
}

Json to_json(const Write& write) {
  if (!write.value) return Json{{kRemove, write.key}};
  Json json = {{kWrite, write.key}, {kValue, *write.value}};
  if (write.lease) json[wire::kLease] = write.lease->get();
  return json;
}

}  // namespace

Json to_json(const Transaction& transaction) {
  Json preconditions = Json::array();
  for (const auto& [key, version] : transaction.preconditions) {
    preconditions.push_back({{kKey, key}, {wire::kVersion, version.get()}});
  }
  Json writes = Json::array();
  for (const Write& write : transaction.writes) writes.push_back(to_json(write));
  return Json{{wire::kPreconditions, std::move(preconditions)}, {kWrites, std::move(writes)}};
}

std::optional<Item> take_item(Json& entry) {
  if (!entry.is_object() || !entry.contains(kValue)) return {};
  const std::string* key = find_string(entry, kKey);
  if (!key) return {};
  return Item{*key, std::move(entry.at(kValue)), parse_version(entry)};
}

std::optional<Item> take_change(Json& entry) {
  if (!entry.is_object()) return {};
  if (const std::string* removed = find_string(entry, kRemove)) {
    return Item{*removed, Json(), parse_version(entry)};
  }
  const std::string* written = find_string(entry, kWrite);
  if (!written) return {};
  const auto value = entry.find(kValue);
  return Item{*written, value == entry.end() ? Json() : std::move(*value), parse_version(entry)};
}

Revision parse_revision(const Json& response) {
  return Revision(number_or_zero(response, wire::kRevision));
}

}  // namespace saddleslip::protocol

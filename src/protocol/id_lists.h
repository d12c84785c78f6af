// Conversion between lists of ids and JSON arrays of strings.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace saddleslip::protocol {

// Encodes ids as a JSON array of strings. `Id` is one of the string ids of base/ids.h.
template <class Id>
nlohmann::json ids_to_json(const std::vector<Id>& ids) {
  nlohmann::json list = nlohmann::json::array();
  for (const Id& id : ids) list.push_back(id.get());
  return list;
}

// Returns the ids in the field `field` of `object`; an empty list if the field is missing or not an
// array. Elements that are not strings are skipped.
template <class Id>
std::vector<Id> parse_ids(const nlohmann::json& object, const char* field) {
  std::vector<Id> ids;
  if (!object.is_object() || !object.contains(field) || !object.at(field).is_array()) return ids;
  for (const nlohmann::json& id : object.at(field)) {
    if (id.is_string()) ids.emplace_back(id.template get<std::string>());
  }
  return ids;
}

}  // namespace saddleslip::protocol

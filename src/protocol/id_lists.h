// Lists of ids as JSON arrays of strings.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace saddleslip::protocol {

// `Id` is one of the string ids of base/ids.h.
template <class Id>
nlohmann::json ids_to_json(const std::vector<Id>& ids) {
  nlohmann::json list = nlohmann::json::array();
  for (const Id& id : ids) list.push_back(id.get());
  return list;
}

// The ids in that field; none if the field is missing or is no array. Entries that are no strings are
// ignored.
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

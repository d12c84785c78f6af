// Lists of ids as JSON arrays of strings.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

namespace saddleslip::protocol {

template <class Id>
nlohmann::json ids_to_json(const std::vector<Id>& ids) {
  nlohmann::json out = nlohmann::json::array();
  for (const Id& id : ids) out.push_back(id.get());
  return out;
}

// The ids in that field; none if the field is missing or is no array. Other elements are ignored.
template <class Id>
std::vector<Id> parse_ids(const nlohmann::json& object, const char* field) {
  std::vector<Id> out;
  if (!object.is_object() || !object.contains(field) || !object.at(field).is_array()) return out;
  for (const nlohmann::json& id : object.at(field)) {
    if (id.is_string()) out.emplace_back(id.template get<std::string>());
  }
  return out;
}

}  // namespace saddleslip::protocol

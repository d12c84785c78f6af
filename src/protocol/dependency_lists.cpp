#include "protocol/dependency_lists.h"

#include <functional>

namespace saddleslip::protocol {

std::vector<Json> split_dependencies(const std::vector<JobId>& dependencies,
                                     std::size_t max_bytes) {
  constexpr std::size_t kBracketBytes = 2;
  constexpr std::size_t kIdPunctuationBytes = 3;  // quotes and a comma
  std::vector<Json> lists;
  std::size_t bytes = 0;
  for (const JobId& id : dependencies) {
    const std::size_t added = id.get().size() + kIdPunctuationBytes;
    if (lists.empty() || bytes + added > max_bytes) {
      lists.push_back(Json::array());
      bytes = kBracketBytes;
    }
    lists.back().push_back(id.get());
    bytes += added;
  }
  return lists;
}

DependencyLists name_dependency_lists(const std::vector<Json>& lists) {
  const std::size_t hash = std::hash<std::string>{}(Json(lists).dump());
  return {std::to_string(hash), lists.size()};
}

Json to_json(const DependencyLists& lists) {
  return Json::array({lists.set, lists.count});
}

std::optional<DependencyLists> parse_dependency_lists(const Json& value) {
  if (!value.is_array() || value.size() != 2) return {};
  if (!value[0].is_string() || !value[1].is_number_unsigned()) return {};
  return DependencyLists{value[0].get<std::string>(), value[1].get<std::size_t>()};
}

}  // namespace saddleslip::protocol

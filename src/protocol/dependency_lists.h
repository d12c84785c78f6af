// Lists of the jobs that a job depends on, kept apart from its record if they do not fit into it.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// Names a set of lists. The set's name stands for the content of the lists, so that the lists of two
// submissions of one id are never mixed up.
struct DependencyLists {
  std::string set;
  std::size_t count = 0;  // of lists
};

// The values of the lists, each of `max_bytes` at most.
std::vector<Json> split_dependencies(const std::vector<JobId>& dependencies, std::size_t max_bytes);

// The name of the set that these lists make.
DependencyLists name_dependency_lists(const std::vector<Json>& lists);

Json to_json(const DependencyLists& lists);
// None if the value is malformed.
std::optional<DependencyLists> parse_dependency_lists(const Json& value);

}  // namespace saddleslip::protocol

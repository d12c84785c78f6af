// Dependency lists: a job whose dependencies do not fit into its job record stores them in several
// records of their own, which form a set.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// Identifies the set of dependency lists of a job. The name of the set is a hash of the lists'
// content, so that the lists of two submissions with the same job id are never mixed up.
struct DependencyLists {
  std::string set;        // the name of the set
  std::size_t count = 0;  // the number of lists in the set
};

// Splits the dependencies into JSON arrays of job ids, each of at most `max_bytes` when encoded.
std::vector<Json> split_dependencies(const std::vector<JobId>& dependencies, std::size_t max_bytes);

// Returns the name of the set that consists of these lists, and their number.
DependencyLists name_dependency_lists(const std::vector<Json>& lists);

Json to_json(const DependencyLists& lists);
// Parses the name and size of a set of dependency lists; nullopt if the value is malformed.
std::optional<DependencyLists> parse_dependency_lists(const Json& value);

}  // namespace saddleslip::protocol

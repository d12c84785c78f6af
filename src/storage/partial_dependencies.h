#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "protocol/records.h"

namespace saddleslip::storage {

// Dependency lists of jobs that have not been read completely.
//
// A job with more dependencies than fit into its record stores them in several lists, each under
// its own key. The lists are kept here until the whole set has been read.
//
// Not thread-safe.
class PartialDependencies {
 public:
  // Adds the list that was read under this key, replacing an earlier one. Elements that are not
  // strings are ignored. Requires a JSON array.
  void add(const std::string& key, const protocol::Json& list);

  // Returns all dependencies in the lists of this set, in order, and removes the lists. Returns
  // nothing, and removes nothing, while a list of the set is missing.
  std::optional<std::vector<base::JobId>> take_if_complete(const base::JobId& job,
                                                           const protocol::DependencyLists& set);

  // Removes a list that is no longer needed. Does nothing if the key is not here.
  void remove(const std::string& key) { lists_.erase(key); }

  // Removes all lists.
  void clear() { lists_.clear(); }

 private:
  std::map<std::string, std::vector<base::JobId>> lists_;  // by the key of the list
};

}  // namespace saddleslip::storage

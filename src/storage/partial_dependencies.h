#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "protocol/records.h"

namespace saddleslip::storage {

// Dependency lists of jobs of which not every list has been read yet.
//
// A job that depends on more jobs than fit into its own record names them in several lists, each of
// them a key of its own. The lists wait here until all of a set are present.
//
// Not safe for use from several threads at once.
class PartialDependencies {
 public:
  // The list under this key was read; it takes the place of an earlier one. Elements that are not
  // strings are left out. Requires a JSON array.
  void add(const std::string& key, const protocol::Json& list);

  // All jobs that the lists of this set name, in the order of the lists, which are then forgotten.
  // None, and nothing is forgotten, while some list of the set is missing.
  std::optional<std::vector<base::JobId>> take(const base::JobId& job,
                                               const protocol::DependencyLists& set);

  // The list is not needed any more. Does nothing if the key is not here.
  void remove(const std::string& key) { lists_.erase(key); }

  void clear() { lists_.clear(); }

 private:
  std::map<std::string, std::vector<base::JobId>> lists_;  // by key
};

}  // namespace saddleslip::storage

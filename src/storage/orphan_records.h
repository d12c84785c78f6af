#pragma once

#include <map>
#include <string>

#include "base/ids.h"

namespace saddleslip::storage {

// Task records and dependency lists that exist in the state service although their job is not
// known: either the job is finished, or its record has not been read yet. Garbage collection
// removes those that remain.
//
// Not thread-safe.
class OrphanRecords {
 public:
  // Adds a record that was found without its job. The newest of several versions is kept.
  void add(const std::string& key, base::Version version);

  // Removes a record whose job is now known or which no longer exists. Does nothing if the key is
  // not here.
  void remove(const std::string& key) { versions_.erase(key); }

  // Returns the orphaned records by key. A record may be removed from the state service only at the
  // version given here.
  const std::map<std::string, base::Version>& all() const { return versions_; }

  // Removes all entries.
  void clear() { versions_.clear(); }

 private:
  std::map<std::string, base::Version> versions_;
};

}  // namespace saddleslip::storage

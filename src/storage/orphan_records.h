#pragma once

#include <map>
#include <string>

#include "base/ids.h"

namespace saddleslip::storage {

// Records of tasks and dependencies that exist in the store while the job that they belong to is not
// known: the job is over, or its own record has not been read yet. Garbage collection removes those
// that stay here.
//
// Not safe for use from several threads at once.
class OrphanRecords {
 public:
  // A record of this version was found without its job. Of several versions the newest is kept.
  void add(const std::string& key, base::Version version);

  // The record's job is known, or the record itself is gone. Does nothing if the key is not here.
  void remove(const std::string& key) { versions_.erase(key); }

  // The orphans by key. A record must be removed only at the version given here.
  const std::map<std::string, base::Version>& all() const { return versions_; }

  void clear() { versions_.clear(); }

 private:
  std::map<std::string, base::Version> versions_;
};

}  // namespace saddleslip::storage

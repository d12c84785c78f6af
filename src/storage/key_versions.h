#pragma once

#include <string>
#include <unordered_map>

#include "base/ids.h"

namespace saddleslip::storage {

// Tracks the newest version of each key that this process has seen, and the revision up to which
// the watch has delivered changes.
//
// Items reach the state cache in any order, from the watch, from this process's own commits and
// from single reads. This class determines which items are new, so that a late response never
// restores a value that has since been replaced or removed.
//
// Not thread-safe.
class KeyVersions {
 public:
  // Returns whether an item of this version is newer than everything known about its key.
  bool is_newer(const std::string& key, base::Version version) const;

  // Records that the key has a value of this version.
  void record_value(const std::string& key, base::Version version);

  // Records that the key was removed by the change of this version.
  void record_removal(const std::string& key, base::Version version);

  // Returns the version of the key's value, or 0 if the key is not known to exist.
  base::Version version_of(const std::string& key) const;

  // Records that the watch, or a full read, has delivered all changes up to this revision. A lower
  // revision than the current one has no effect.
  void advance_to(base::Revision revision);

  // Returns the revision up to which all changes have been delivered.
  base::Revision revision() const { return revision_; }

  // Removes all keys and resets the revision to 0.
  void clear();

 private:
  std::unordered_map<std::string, base::Version> versions_;  // versions of existing keys
  // Removals that the watch has not delivered yet. Until it does, an older event for the same key
  // may still arrive.
  std::unordered_map<std::string, base::Version> removals_;
  base::Revision revision_;
};

}  // namespace saddleslip::storage

#pragma once

#include <string>
#include <unordered_map>

#include "base/ids.h"

namespace saddleslip::storage {

// The newest version of each key that this process has seen, and how far the watch has come.
//
// Items reach the state cache from the watch, from its own commits and from single reads, in any
// order. This class decides which of them are new, so that a late answer never brings back a value
// that was replaced or removed since.
//
// Not safe for use from several threads at once.
class KeyVersions {
 public:
  // Is an item of this version newer than all that is known of its key?
  bool is_newer(const std::string& key, base::Version version) const;

  // The key has a value of this version.
  void record_value(const std::string& key, base::Version version);

  // The key was removed by the change of this version.
  void record_removal(const std::string& key, base::Version version);

  // The version of the key's value; 0: the key does not exist as far as is known.
  base::Version of(const std::string& key) const;

  // The watch, or a full read, has delivered every change up to this revision. An earlier revision
  // than the present one changes nothing.
  void advance_to(base::Revision revision);

  // The revision up to which every change has been delivered.
  base::Revision revision() const { return revision_; }

  // Forgets all keys and starts at revision 0.
  void clear();

 private:
  std::unordered_map<std::string, base::Version> versions_;  // of keys that exist
  // Removals that the watch has not delivered yet. Until it has, an older event of the same key may
  // still arrive.
  std::unordered_map<std::string, base::Version> removals_;
  base::Revision revision_;
};

}  // namespace saddleslip::storage

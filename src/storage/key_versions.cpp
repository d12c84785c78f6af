#include "storage/key_versions.h"

namespace saddleslip::storage {

using base::Revision;
using base::Version;

bool KeyVersions::is_newer(const std::string& key, Version version) const {
  if (version.get() <= revision_.get()) return false;
  const auto known = versions_.find(key);
  if (known != versions_.end() && version <= known->second) return false;
  const auto removal = removals_.find(key);
  return removal == removals_.end() || version > removal->second;
}

void KeyVersions::record_value(const std::string& key, Version version) {
  versions_[key] = version;
}

void KeyVersions::record_removal(const std::string& key, Version version) {
  versions_.erase(key);
  if (version.get() > revision_.get()) removals_[key] = version;
}

Version KeyVersions::version_of(const std::string& key) const {
  const auto known = versions_.find(key);
  return known == versions_.end() ? Version(0) : known->second;
}

void KeyVersions::advance_to(Revision revision) {
  if (revision <= revision_) return;
  revision_ = revision;
  std::erase_if(removals_,
                [&](const auto& removal) { return removal.second.get() <= revision.get(); });
}

void KeyVersions::clear() {
  versions_.clear();
  removals_.clear();
  revision_ = Revision(0);
}

}  // namespace saddleslip::storage

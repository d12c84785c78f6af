#include "storage/orphan_records.h"

#include <algorithm>

namespace saddleslip::storage {

void OrphanRecords::add(const std::string& key, base::Version version) {
  base::Version& newest = versions_[key];
  newest = std::max(newest, version);
}

}  // namespace saddleslip::storage

// Tests of records in the state service whose job is not known.
#include "storage/orphan_records.h"

#include <gtest/gtest.h>

namespace saddleslip::storage {

using base::Version;

TEST(OrphanRecords, NewestVersionIsKept) {
  OrphanRecords orphans;
  orphans.add("key", Version(7));
  orphans.add("key", Version(5));
  EXPECT_EQ(orphans.all().at("key"), Version(7));
  orphans.add("key", Version(9));
  EXPECT_EQ(orphans.all().at("key"), Version(9));
}

TEST(OrphanRecords, RemovedRecordIsNotAnOrphan) {
  OrphanRecords orphans;
  orphans.add("key", Version(7));
  orphans.remove("other");
  EXPECT_EQ(orphans.all().size(), 1u);
  orphans.remove("key");
  EXPECT_TRUE(orphans.all().empty());
}

}  // namespace saddleslip::storage

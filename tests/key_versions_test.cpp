// Tests of which items of the state service count as new to this process.
#include "storage/key_versions.h"

#include <gtest/gtest.h>

namespace saddleslip::storage {

using base::Revision;
using base::Version;

TEST(KeyVersions, SameOrOlderVersionIsNotNewer) {
  KeyVersions versions;
  versions.record_value("key", Version(5));
  EXPECT_EQ(versions.version_of("key"), Version(5));
  EXPECT_FALSE(versions.is_newer("key", Version(4)));
  EXPECT_FALSE(versions.is_newer("key", Version(5)));
  EXPECT_TRUE(versions.is_newer("key", Version(6)));
  EXPECT_TRUE(versions.is_newer("other", Version(4)));
}

TEST(KeyVersions, RemovalAheadOfTheWatchRejectsOlderItems) {
  KeyVersions versions;
  versions.record_value("key", Version(5));
  versions.record_removal("key", Version(8));
  EXPECT_EQ(versions.version_of("key"), Version(0));
  EXPECT_FALSE(versions.is_newer("key", Version(8)));
  EXPECT_TRUE(versions.is_newer("key", Version(9)));
}

TEST(KeyVersions, VersionsUpToTheRevisionAreNotNewer) {
  KeyVersions versions;
  versions.record_removal("key", Version(8));
  versions.advance_to(Revision(9));
  versions.advance_to(Revision(3));
  EXPECT_EQ(versions.revision(), Revision(9));
  EXPECT_FALSE(versions.is_newer("key", Version(9)));
  EXPECT_FALSE(versions.is_newer("unknown", Version(9)));
  EXPECT_TRUE(versions.is_newer("key", Version(10)));
}

TEST(KeyVersions, ClearResetsVersionsAndRevision) {
  KeyVersions versions;
  versions.record_value("key", Version(5));
  versions.record_removal("removed", Version(6));
  versions.advance_to(Revision(4));
  versions.clear();
  EXPECT_EQ(versions.revision(), Revision(0));
  EXPECT_TRUE(versions.is_newer("key", Version(1)));
  EXPECT_TRUE(versions.is_newer("removed", Version(1)));
}

}  // namespace saddleslip::storage

// Tests of FileDescriptor: each descriptor is closed once, by its last owner.
#include "transport/file_descriptor.h"

#include <fcntl.h>
#include <gtest/gtest.h>

#include <utility>

namespace saddleslip::transport {

namespace {

// Opens a new descriptor.
int open_null() {
  return ::open("/dev/null", O_RDONLY | O_CLOEXEC);
}

// Returns whether the operating system has this descriptor open.
bool is_open_in_system(int descriptor) {
  return ::fcntl(descriptor, F_GETFD) != -1;
}

}  // namespace

TEST(FileDescriptor, DestructorClosesDescriptor) {
  const int descriptor = open_null();
  {
    const FileDescriptor owner(descriptor);
    EXPECT_TRUE(owner.is_open());
    EXPECT_TRUE(is_open_in_system(descriptor));
  }
  EXPECT_FALSE(is_open_in_system(descriptor));
}

TEST(FileDescriptor, MoveAssignmentTransfersAndClosesPreviousDescriptor) {
  const int first = open_null(), second = open_null();
  FileDescriptor target(first);
  FileDescriptor source(second);
  target = std::move(source);
  EXPECT_FALSE(is_open_in_system(first));
  EXPECT_TRUE(is_open_in_system(second));
  EXPECT_EQ(target.get(), second);
}

TEST(FileDescriptor, ReleasedDescriptorStaysOpen) {
  const int descriptor = open_null();
  {
    FileDescriptor owner(descriptor);
    EXPECT_EQ(owner.release(), descriptor);
    EXPECT_FALSE(owner.is_open());
  }
  EXPECT_TRUE(is_open_in_system(descriptor));
  ::close(descriptor);
}

}  // namespace saddleslip::transport

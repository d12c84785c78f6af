// Ownership of file descriptors.
#pragma once

#include <unistd.h>

#include <utility>

namespace saddleslip::transport {

// Owns a file descriptor and closes it when destroyed. A negative descriptor means that it owns
// none.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  ~FileDescriptor() { close(); }
  FileDescriptor(FileDescriptor&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, kNone)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      close();
      descriptor_ = std::exchange(other.descriptor_, kNone);
    }
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  // Returns whether this object owns a descriptor.
  bool is_open() const { return descriptor_ >= 0; }
  // Returns the descriptor without giving up ownership.
  int get() const { return descriptor_; }
  // Transfers ownership of the descriptor to the caller, who must close it.
  int release() { return std::exchange(descriptor_, kNone); }

 private:
  static constexpr int kNone = -1;

  void close() const {
    if (is_open()) ::close(descriptor_);
  }

  int descriptor_ = kNone;
};

}  // namespace saddleslip::transport

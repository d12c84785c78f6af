#pragma once

#include <unistd.h>

#include <utility>

namespace saddleslip::transport {

// Owns a file descriptor, and closes it at the end of its life. Negative: owns none.
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

  bool is_open() const { return descriptor_ >= 0; }
  int get() const { return descriptor_; }
  // Gives the descriptor to the caller, who has to close it.
  int release() { return std::exchange(descriptor_, kNone); }

 private:
  static constexpr int kNone = -1;

  void close() const {
    if (is_open()) ::close(descriptor_);
  }

  int descriptor_ = kNone;
};

}  // namespace saddleslip::transport

// Ownership of one file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace pearchute {

// Closes its descriptor on destruction. A negative value means that it owns none.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  ~FileDescriptor() { reset(); }
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this == &other) return *this;
    reset();
    descriptor_ = std::exchange(other.descriptor_, -1);
    return *this;
  }

  int get() const { return descriptor_; }
  bool is_open() const { return descriptor_ >= 0; }
  void reset() {
    if (descriptor_ >= 0) ::close(descriptor_);
    descriptor_ = -1;
  }

 private:
  int descriptor_ = -1;
};

}  // namespace pearchute

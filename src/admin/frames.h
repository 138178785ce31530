// Messages framed by their length, both ways: four bytes, the most significant first, then the message. Knows
// no socket.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace pearchute::admin {

// Of a message; an empty one is no frame either.
constexpr std::size_t max_frame_bytes = 64 * 1024;

// Takes bytes as they come, in any pieces. It holds one message at most.
class FrameReader {
 public:
  // Calls `on_message` for each complete message, as long as it returns true. False once the bytes are no
  // frames, or `on_message` has returned false; nothing is read any more then.
  bool feed(std::string_view bytes, const std::function<bool(std::string_view)>& on_message);
  // A message has begun and is not complete.
  bool has_partial_message() const { return !buffer_.empty(); }

 private:
  // Moves bytes from `input` until the buffer has `size` of them; false where there are too few.
  bool fill(std::size_t size, std::string_view& input);

  std::string buffer_;
  bool broken_ = false;
};

// REQUIRES: message.size() <= max_frame_bytes.
void append_frame(std::string& out, std::string_view message);

}  // namespace pearchute::admin

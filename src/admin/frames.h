// Length-prefixed frames: four bytes with the length, most significant first, then the message. Does no I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace pearchute::admin {

// The maximum size of a message. An empty message is invalid.
constexpr std::size_t max_frame_bytes = 64 * 1024;

// Extracts messages from a byte stream that arrives in chunks of any size. Buffers at most one message.
class FrameReader {
 public:
  // Calls `on_message` for each complete message until it returns false. Returns false once the stream is
  // invalid or `on_message` has returned false; further bytes are ignored then.
  bool feed(std::string_view bytes, const std::function<bool(std::string_view)>& on_message);
  // Whether a message has begun and is not complete.
  bool has_partial_message() const { return !buffer_.empty(); }

 private:
  // Moves bytes from `input` into the buffer until it has `size` bytes. Returns false where `input` has too
  // few.
  bool fill(std::size_t size, std::string_view& input);

  std::string buffer_;
  bool broken_ = false;
};

// Appends the message as a frame. Requires message.size() <= max_frame_bytes.
void append_frame(std::string& out, std::string_view message);

}  // namespace pearchute::admin

#include "admin/frames.h"

#include <algorithm>

namespace pearchute::admin {

namespace {

constexpr std::size_t header_bytes = 4;
constexpr int bits_per_byte = 8;
constexpr std::size_t byte_mask = 0xff;

std::size_t length_in(std::string_view header) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < header_bytes; ++i)
    length = length << bits_per_byte | static_cast<unsigned char>(header[i]);
  return length;
}

}  // namespace

bool FrameReader::fill(std::size_t size, std::string_view& input) {
  const std::size_t missing = std::min(size - buffer_.size(), input.size());
  buffer_.append(input.substr(0, missing));
  input.remove_prefix(missing);
  return buffer_.size() == size;
}

bool FrameReader::feed(std::string_view bytes, const std::function<bool(std::string_view)>& on_message) {
  while (!broken_ && !bytes.empty()) {
    if (buffer_.size() < header_bytes && !fill(header_bytes, bytes)) return true;
    const std::size_t length = length_in(buffer_);
    broken_ = length == 0 || length > max_frame_bytes;
    if (broken_) return false;
    if (!fill(header_bytes + length, bytes)) return true;
    std::string frame;
    frame.swap(buffer_);
    broken_ = !on_message(std::string_view(frame).substr(header_bytes));
  }
  return !broken_;
}

void append_frame(std::string& out, std::string_view message) {
  for (int shift = (header_bytes - 1) * bits_per_byte; shift >= 0; shift -= bits_per_byte)
    out.push_back(static_cast<char>(message.size() >> shift & byte_mask));
  out.append(message);
}

}  // namespace pearchute::admin

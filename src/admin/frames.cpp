#include "admin/frames.h"

#include <algorithm>

namespace pearchute::admin {

namespace {
constexpr std::size_t head = 4;

std::size_t length_in(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < head; ++i) length = length << 8 | static_cast<unsigned char>(bytes[i]);
  return length;
}
}  // namespace

bool FrameReader::feed(std::string_view bytes, const std::function<bool(std::string_view)>& take) {
  while (!broken_ && !bytes.empty()) {
    if (held_.size() < head) {
      const std::size_t part = std::min(head - held_.size(), bytes.size());
      held_.append(bytes.substr(0, part));
      bytes.remove_prefix(part);
      if (held_.size() < head) return true;
    }
    const std::size_t whole = head + length_in(held_);
    if (whole == head || whole > head + largest_frame) return broken_ = true, false;
    const std::size_t part = std::min(whole - held_.size(), bytes.size());
    held_.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    if (held_.size() < whole) return true;
    std::string message;
    message.swap(held_);
    if (!take(std::string_view(message).substr(head))) return broken_ = true, false;
  }
  return !broken_;
}

void append_frame(std::string& out, std::string_view message) {
  for (int shift = 24; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(message.size() >> shift & 0xff));
  out.append(message);
}

}  // namespace pearchute::admin

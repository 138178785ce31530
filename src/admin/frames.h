// Messages framed by their length, both ways. It is fed bytes in any cut and knows no socket; it never holds
// more than one message.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace pearchute::admin {

constexpr std::size_t largest_frame = 64 * 1024;

class FrameReader {
 public:
  // Calls `take` for each whole message, as long as it says to go on. False once the bytes are no frames.
  bool feed(std::string_view bytes, const std::function<bool(std::string_view)>& take);
  bool within() const { return !held_.empty(); }
  std::size_t held() const { return held_.size(); }

 private:
  std::string held_;
  bool broken_ = false;
};

void append_frame(std::string& out, std::string_view message);

}  // namespace pearchute::admin

#include "engines/feed.h"

namespace pearchute::net {

namespace {
constexpr std::size_t longest_event = 1 << 20;  // a whole list of a large fleet is a few hundred kilobytes
}

bool EventStreamReader::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::string_view before = bytes;
    const std::string_view part = bytes.substr(0, 4096);  // keeps what the reader holds small
    std::string_view rest = part;
    const MessageReader::Status status = reader_.feed(rest);
    bytes.remove_prefix(part.size() - rest.size());
    if (status == MessageReader::Status::malformed || status == MessageReader::Status::too_large)
      return false;
    if (reader_.head_read() && !checked_) {
      const std::string& line = reader_.message().first_line;
      if (!line.starts_with("HTTP/1.") || line.find(" 200") != 8) return false;
      checked_ = true;
    }
    if (reader_.head_read()) {
      std::string& body = reader_.message().body;
      const bool sound = take(body);
      body.clear();
      if (!sound) return false;
    }
    if (status == MessageReader::Status::whole) return bytes.empty();
    if (bytes.size() == before.size()) return false;
  }
  return true;
}

bool EventStreamReader::take(std::string_view text) {
  for (const char c : text) {
    const bool second_of_pair = c == '\n' && after_cr_;
    after_cr_ = c == '\r';
    if (second_of_pair) continue;
    if (c == '\n' || c == '\r') line_done();
    else line_.push_back(c);
    if (line_.size() + data_.size() > longest_event) return false;
  }
  return true;
}

void EventStreamReader::line_done() {
  std::string line;
  line.swap(line_);
  if (line.empty()) {
    if (has_data_) listener_.on_event(id_, data_);
    data_.clear();
    has_data_ = false;
    return;
  }
  const std::size_t colon = line.find(':');
  const std::string_view name = std::string_view(line).substr(0, colon);
  std::string_view value;
  if (colon != std::string::npos) value = std::string_view(line).substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (name == "id") {
    id_ = value;
  } else if (name == "data") {
    if (has_data_) data_.push_back('\n');
    data_.append(value);
    has_data_ = true;
  }
}

}  // namespace pearchute::net

#include "engines/event_stream.h"

namespace pearchute::net {

namespace {
constexpr std::size_t max_event_bytes = 1 << 20;  // a snapshot of a large fleet has a few hundred kB
}

bool EventStreamReader::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::string_view before = bytes;
    const std::string_view part = bytes.substr(0, 4096);  // bounds the body held by the reader
    std::string_view rest = part;
    const MessageReader::Status status = reader_.feed(rest);
    bytes.remove_prefix(part.size() - rest.size());
    if (status == MessageReader::Status::malformed || status == MessageReader::Status::too_large)
      return false;
    if (reader_.head_read() && !status_checked_) {
      const std::string& line = reader_.message().first_line;
      if (!line.starts_with("HTTP/1.") || line.find(" 200") != 8) return false;
      status_checked_ = true;
    }
    if (reader_.head_read()) {
      std::string& body = reader_.message().body;
      body_begun_ |= !body.empty();
      const bool valid = parse_text(body);
      body.clear();
      if (!valid) return false;
    }
    if (status == MessageReader::Status::whole) return bytes.empty();
    if (bytes.size() == before.size()) return false;
  }
  return true;
}

bool EventStreamReader::parse_text(std::string_view text) {
  for (const char c : text) {
    const bool second_of_pair = c == '\n' && after_cr_;
    after_cr_ = c == '\r';
    if (second_of_pair) continue;
    if (c == '\n' || c == '\r') on_line_end();
    else line_.push_back(c);
    if (line_.size() + data_.size() > max_event_bytes) return false;
  }
  return true;
}

void EventStreamReader::on_line_end() {
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

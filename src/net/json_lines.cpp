#include "net/json_lines.h"

#include <spdlog/pattern_formatter.h>

#include <string_view>

namespace pearchute::net {

namespace {

// Escapes a line's text for a JSON string.
class JsonText final : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm&, spdlog::memory_buf_t& out) override {
    const auto append = [&](std::string_view text) { out.append(text.data(), text.data() + text.size()); };
    for (const char c : std::string_view(message.payload.data(), message.payload.size())) {
      const auto byte = static_cast<unsigned char>(c);
      if (c == '"' || c == '\\') out.push_back('\\'), out.push_back(c);
      else if (byte < 0x20 || byte >= 0x7f)
        append(fmt::format("\\u{:04x}", byte));  // so invalid UTF-8 can't occur
      else out.push_back(c);
    }
  }
  std::unique_ptr<custom_flag_formatter> clone() const override { return std::make_unique<JsonText>(); }
};

}  // namespace

std::unique_ptr<spdlog::formatter> json_lines() {
  auto lines = std::make_unique<spdlog::pattern_formatter>();
  lines->add_flag<JsonText>('*').set_pattern(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","name":"%n","level":"%l","text":"%*"})");
  return lines;
}

}  // namespace pearchute::net

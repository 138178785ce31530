// The parts of one line of the simulator's wire: a message name and name=value pairs.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearchute::drill {

// Says what is wrong with a line, in plain words; the session adds which line it is.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::vector<std::string_view> split(std::string_view text, char by);

class Fields {
 public:
  void read(std::string_view line);
  std::string_view message() const { return message_; }
  std::optional<std::string_view> text(std::string_view name) const;
  std::string_view required_text(std::string_view name) const;
  std::optional<std::int64_t> whole(std::string_view name) const;
  std::int64_t required_whole(std::string_view name) const;
  std::optional<double> number(std::string_view name) const;
  bool flag(std::string_view name) const;  // false where absent

 private:
  std::string_view message_;
  std::vector<std::pair<std::string_view, std::string_view>> pairs_;
};

std::int64_t whole_in(std::string_view name, std::string_view value);
double number_in(std::string_view name, std::string_view value);

}  // namespace pearchute::drill

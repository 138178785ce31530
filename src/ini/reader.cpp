#include "ini/reader.h"

#include <ini.h>

#include <charconv>
#include <exception>
#include <set>
#include <utility>

#include "system/files.h"

namespace pearchute::ini {

namespace {

struct ParseState {
  const Value& value;
  std::set<std::pair<std::string, std::string>> seen_names;
  std::exception_ptr error = nullptr;
};

// The callback of inih; returns 0 for an unusable line, of which inih reports the first one.
int on_line(void* user, const char* section, const char* name, const char* text) {
  ParseState& state = *static_cast<ParseState*>(user);
  if (state.error) return 0;
  try {
    if (!state.seen_names.emplace(section, name).second)
      throw Error("'" + std::string(name) + "' is set twice in [" + section + "]");
    state.value(section, name, text);
    return 1;
  } catch (const std::exception&) {
    state.error = std::current_exception();
    return 0;
  }
}

std::string trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return std::string(text);
}

// Throws ResourceShortage if the file cannot be read now, Error if it cannot be read at all.
std::string read_text(const std::string& file) {
  try {
    return read_file(file);
  } catch (const ResourceShortage&) {
    throw;
  } catch (const SystemError& error) {
    throw Error("can't be read", file, error.remedy());
  }
}

}  // namespace

void read(const std::string& file, const Value& value) {
  ParseState state{value, {}, nullptr};
  const int line = ini_parse_string(read_text(file).c_str(), on_line, &state);
  if (line == 0) return;
  if (line < 0) throw ResourceShortage("can't be read: out of memory", file);
  const std::string where = file + ":" + std::to_string(line);
  if (!state.error) throw Error("expected [section] or name = value", where);
  try {
    std::rethrow_exception(state.error);
  } catch (const std::exception& error) {
    throw Error::within(where, error);
  }
}

std::int64_t whole(std::string_view name, std::string_view text, std::int64_t min, std::int64_t max) {
  std::int64_t number = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_integer = error == std::errc{} && stop == text.data() + text.size();
  if (!is_integer || number < min || number > max) {
    throw Error("'" + std::string(name) + "': expected an integer from " + std::to_string(min) + " to " +
                std::to_string(max) + ", got '" + std::string(text) + "'");
  }
  return number;
}

bool yes(std::string_view name, std::string_view text) {
  if (text == "yes") return true;
  if (text == "no") return false;
  throw Error("'" + std::string(name) + "': expected yes or no, got '" + std::string(text) + "'");
}

std::vector<std::string> list(std::string_view text) {
  std::vector<std::string> items;
  while (true) {
    const std::size_t comma = text.find(',');
    if (std::string item = trimmed(text.substr(0, comma)); !item.empty()) items.push_back(std::move(item));
    if (comma == std::string_view::npos) return items;
    text.remove_prefix(comma + 1);
  }
}

}  // namespace pearchute::ini

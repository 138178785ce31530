#include "ini/reader.h"

#include <ini.h>

#include <charconv>
#include <exception>
#include <set>
#include <utility>

#include "system/files.h"

namespace pearchute::ini {

namespace {

struct Reading {
  const Value& value;
  std::set<std::pair<std::string, std::string>> seen;
  std::exception_ptr fault = nullptr;
};

// The library tells the first line whose value is not taken.
int take(void* user, const char* section, const char* name, const char* text) {
  Reading& reading = *static_cast<Reading*>(user);
  if (reading.fault) return 0;
  try {
    if (!reading.seen.emplace(section, name).second)
      throw Error("'" + std::string(name) + "' comes twice in [" + section + "]");
    reading.value(section, name, text);
    return 1;
  } catch (const std::exception&) {
    reading.fault = std::current_exception();
    return 0;
  }
}

std::string trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return std::string(text);
}

// Throws ResourceShortage where it can't be had just now.
std::string text_of(const std::string& file) {
  try {
    return read_file(file);
  } catch (const ResourceShortage&) {
    throw;
  } catch (const SystemError& fault) {
    throw Error("can't be read", file, fault.remedy());
  }
}

}  // namespace

void read(const std::string& file, const Value& value) {
  Reading reading{value, {}, nullptr};
  const int line = ini_parse_string(text_of(file).c_str(), take, &reading);
  if (line == 0) return;
  if (line < 0) throw ResourceShortage("can't be read: no memory", file);
  const std::string where = file + ":" + std::to_string(line);
  if (!reading.fault) throw Error("neither [section] nor name = value", where);
  try {
    std::rethrow_exception(reading.fault);
  } catch (const std::exception& fault) {
    throw Error::within(where, fault);
  }
}

std::int64_t whole(std::string_view name, std::string_view text, std::int64_t least, std::int64_t most) {
  std::int64_t number = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || stop != text.data() + text.size())
    throw Error("'" + std::string(name) + "' is no whole number: " + std::string(text));
  if (number < least || number > most)
    throw Error("'" + std::string(name) + "' has to be from " + std::to_string(least) + " to " +
                std::to_string(most));
  return number;
}

bool yes(std::string_view name, std::string_view text) {
  if (text == "yes") return true;
  if (text == "no") return false;
  throw Error("'" + std::string(name) + "' is yes or no, not " + std::string(text));
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

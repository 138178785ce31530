// Reads settings from INI files with the inih library. Reading is strict: the caller's callback rejects
// unknown names and unusable values, and the error states the file, the line and what is wrong.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "errors/error.h"

namespace pearchute::ini {

// An error in a file. Its place is file:line, or the file alone if no single line is at fault.
using Error = SettingsError;

// Calls `value` for each line `name = value` in order. An exception that it throws is rethrown as an Error
// with the file and line. Also throws Error if a section sets a name twice or the file cannot be read, and
// ResourceShortage if it cannot be read now.
using Value =
    std::function<void(const std::string& section, const std::string& name, const std::string& text)>;
void read(const std::string& file, const Value& value);

// Parse a value; throw an Error that contains `name` if the text is not an integer from `min` to `max`, or
// not yes or no.
std::int64_t whole(std::string_view name, std::string_view text, std::int64_t min, std::int64_t max);
bool yes(std::string_view name, std::string_view text);
// Splits the text at commas; drops surrounding blanks and empty items.
std::vector<std::string> list(std::string_view text);

}  // namespace pearchute::ini

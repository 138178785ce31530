// Settings in INI files, read whole and strictly, on the inih library: each value must be known to the reader
// and usable, or the file is refused with its name, the line and what is wrong. It knows no meaning.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "errors/error.h"

namespace pearchute::ini {

// Of a file: it says where, "file:line", or the file alone where no line is to blame.
using Error = SettingsError;

// Calls `value` for each line `name = value` in order. What it throws is given the file and line.
// A name that comes twice in a section is a fault, and so is a file that can't be read.
using Value =
    std::function<void(const std::string& section, const std::string& name, const std::string& text)>;
void read(const std::string& file, const Value& value);

// Plain values; throws a Error that names the value.
std::int64_t whole(std::string_view name, std::string_view text, std::int64_t least, std::int64_t most);
bool yes(std::string_view name, std::string_view text);
std::vector<std::string> list(std::string_view text);  // set apart by commas, blanks cut off

}  // namespace pearchute::ini

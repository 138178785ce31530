// Settings in INI files, read whole and strictly, on the inih library: each value must be known to the reader
// and usable, or the file is refused with its name, the line and what is wrong. It knows no meaning.
#pragma once

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace pearchute::ini {

// "file:line: what is wrong", or "file: what is wrong" where no line is to blame.
struct Fault : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Calls `value` for each line `name = value` in order. What it throws as a Fault is given the file and line.
// A name that comes twice in a section is a fault, and so is a file that can't be read.
using Value =
    std::function<void(const std::string& section, const std::string& name, const std::string& text)>;
void read(const std::string& file, const Value& value);

// Plain values; throws a Fault that names the value.
std::int64_t whole(std::string_view name, std::string_view text, std::int64_t least, std::int64_t most);
bool yes(std::string_view name, std::string_view text);
std::vector<std::string> list(std::string_view text);  // set apart by commas, blanks cut off

}  // namespace pearchute::ini

// The end of a program's log, for whoever tells what went wrong.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pearchute::lab {

// The last lines, oldest first, but for those that hold `without`, where it is not empty. None where there is
// no such file.
std::vector<std::string> last_lines(const std::string& file, std::size_t most, std::string_view without = {});

}  // namespace pearchute::lab

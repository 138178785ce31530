// Reads the end of a program's log, for failure reports.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pearchute::lab {

// Returns the last `max_lines` lines, oldest first, leaving out lines that contain `without` if it is not
// empty. Returns none if the file can't be read.
std::vector<std::string> last_lines(const std::string& file, std::size_t max_lines,
                                    std::string_view without = {});

}  // namespace pearchute::lab

// Whole files, read and written with the difference kept between what fails now and what fails for good.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "system/failures.h"

namespace pearchute {

// A whole file. Throws ResourceShortage where it can't be had now, SystemError where it can't be read.
std::string read_file(const std::string& path);
// The same; nothing where there is no such file.
std::optional<std::string> read_file_if_there(const std::string& path);

// All of it, however few bytes each write takes. False where a write fails; `last_failure` tells why.
bool write_all(int descriptor, std::string_view text);

}  // namespace pearchute

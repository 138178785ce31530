// Reading and writing of whole files, with transient and permanent failures kept apart.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "system/failures.h"

namespace pearchute {

// Returns the contents of a file. Throws ResourceShortage for a transient failure, SystemError for a
// permanent one.
std::string read_file(const std::string& path);
// Like read_file, but returns nullopt where the file doesn't exist.
std::optional<std::string> read_file_if_there(const std::string& path);

// Writes all of `text`, with several system calls if necessary. Returns false where a write fails; see
// last_failure.
bool write_all(int descriptor, std::string_view text);

}  // namespace pearchute

// The candidate file, from which a manager reads a version of the fleet's configuration: the version's
// content, merged into the instance's base file (RFC 7396).
#pragma once

#include <string>

#include "fleet/config_version.h"

namespace pearchute::agent {

// Returns why `content` can't be merged into an instance's base, for operators; empty if it can.
std::string content_error(const std::string& content);

// Writes the candidate `config_file`.candidate and syncs it to disk. Returns an empty string on success,
// otherwise the reason, for operators.
std::string write_candidate(const std::string& base_file, const std::string& config_file,
                            const fleet::ConfigDocument& document);

}  // namespace pearchute::agent

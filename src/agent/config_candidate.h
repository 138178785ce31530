// The file by which a manager gets a version of the fleet's configuration: the version's content, merged into
// the instance's own base (RFC 7396).
#pragma once

#include <string>

#include "fleet/config_version.h"

namespace pearchute::agent {

// Why `content` can't be merged into any instance's base, for operators; empty where it can.
std::string content_error(const std::string& content);

// Writes the candidate durably beside the instance's configuration file. Returns why it can't be written, for
// operators; empty where it was.
std::string write_candidate(const std::string& base_file, const std::string& config_file,
                            const fleet::ConfigDocument& document);

}  // namespace pearchute::agent

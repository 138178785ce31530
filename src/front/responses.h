// The bodies and headers of answers to clients.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace pearchute::net {

// Returns the header line that tells a client when to retry; empty where `delay` is 0 or less.
std::string retry_after_header(Duration delay);

// Returns the JSON body of an error answer.
std::string error_body(std::string_view fault);

// Returns the rows of all pages as the JSON body of an answer; nullopt where a page does not consist of whole
// rows with three columns.
std::optional<std::string> rows_as_json(const std::vector<std::string>& pages);

}  // namespace pearchute::net

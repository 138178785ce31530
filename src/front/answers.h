// The bodies and headers of answers to clients.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace pearchute::net {

// The header that tells a client when to come back; empty where there is nothing to tell.
std::string retry_after_header(Duration span);

// The body of an answer that says what was wrong.
std::string error_body(std::string_view what);

// The rows of all pages as an answer's body; nothing where a page is not whole rows of three columns.
std::optional<std::string> rows_as_json(const std::vector<std::string>& pages);

}  // namespace pearchute::net

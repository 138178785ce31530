// Finds the table group that a statement is about. A lexer, no parser: it knows strings, comments, quoted
// names and dots, and nothing of what a statement does. It changes nothing in what goes on to engines.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace pearchute::net {

// The number behind the last underscore in the name of the schema that is read or written; nothing where no
// schema has one. Names in strings and comments, and the schema `staging`, do not count.
std::optional<std::int64_t> table_group(std::string_view statement);

}  // namespace pearchute::net

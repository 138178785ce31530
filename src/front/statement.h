// Finds the table group that a statement uses, with a lexer instead of a full parser: it recognizes strings,
// comments, quoted names and dots, but not the structure of statements.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace pearchute::net {

// Returns the number after the last underscore in the name of the schema that is read or written, nullopt
// where no schema has one. Names in strings and comments, and the schema `staging`, are ignored.
std::optional<std::int64_t> table_group(std::string_view statement);

}  // namespace pearchute::net

// The language that selects instances, such as `zone = hall-a and not name ~ n3*`. A selector tests the facts
// of one instance.
//
//     expression = term { "or" term }        term = factor { "and" factor }
//     factor = "not" factor | "(" expression ")" | test
//     test = field ( "=" | "!=" | "~" | "!~" ) value | field "in" "{" value { "," value } "}" | "label." name
//     field = "name" | "zone" | "admin" | "label." name
//
// `~` takes a pattern with * and ?. Values are plain or in double quotes. A label without a comparison tests
// whether the instance has it.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "errors/error.h"

namespace pearchute::ctl {

// The facts of an instance that a selector can test.
struct Facts {
  std::string name, zone, admin;
  std::map<std::string, std::string> labels;
};

// Thrown where a selector cannot be parsed.
struct SelectorError : ErrorOf<ErrorKind::selector> {
  SelectorError(std::size_t at, const std::string& what)
      : ErrorOf(what, "column " + std::to_string(at)), column(at) {}
  std::size_t column;  // from 1
};

using Selector = std::function<bool(const Facts&)>;
// Throws SelectorError with the column of the fault. An empty text selects all instances.
Selector parse_selector(const std::string& text);

}  // namespace pearchute::ctl

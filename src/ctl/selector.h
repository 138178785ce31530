// The language that picks instances: `zone = hall-a and not name ~ n3*`. It knows no instance by itself.
//
//     expression = term { "or" term }        term = factor { "and" factor }
//     factor = "not" factor | "(" expression ")" | test
//     test = field ( "=" | "!=" | "~" | "!~" ) value | field "in" "{" value { "," value } "}" | "label." name
//     field = "name" | "zone" | "admin" | "label." name
//
// `~` takes a pattern with * and ?; values stand as they are or in double quotes. A label by itself asks
// whether it is there.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "errors/error.h"

namespace pearchute::ctl {

// What a selector can ask of an instance.
struct Facts {
  std::string name, zone, admin;
  std::map<std::string, std::string> labels;
};

// A selector that can't be parsed.
struct SelectorError : ErrorOf<ErrorKind::selector> {
  SelectorError(std::size_t at, const std::string& what)
      : ErrorOf(what, "column " + std::to_string(at)), column(at) {}
  std::size_t column;  // from 1
};

using Selector = std::function<bool(const Facts&)>;
// Throws SelectorError with the column at which it can't go on. An empty text picks all.
Selector selector_in(const std::string& text);

}  // namespace pearchute::ctl

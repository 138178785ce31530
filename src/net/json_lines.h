// Log lines as JSON objects, one on a line, for programs that read them.
#pragma once

#include <spdlog/formatter.h>

#include <memory>

namespace pearchute::net {

std::unique_ptr<spdlog::formatter> json_lines();

}  // namespace pearchute::net

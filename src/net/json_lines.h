// Formats log lines as JSON objects, one a line.
#pragma once

#include <spdlog/formatter.h>

#include <memory>

namespace pearchute::net {

std::unique_ptr<spdlog::formatter> json_lines();

}  // namespace pearchute::net

// The terms of a manager's admin channel, from an INI file of its own.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "admin/place.h"

namespace pearchute::admin {

struct Terms {
  Place listen;
  std::string orders_file;  // empty: orders end with the manager
  std::size_t most_connections = 16;
  std::size_t most_watchers = 4;
  std::chrono::seconds idle_at_most{60};
  // How soon fronts see that the check says no. Usual ones ask each second and believe the second answer.
  std::chrono::milliseconds notice{2000};
};

// Throws ini::Error with file, line and what is wrong.
Terms read_terms(const std::string& file);

}  // namespace pearchute::admin

// The configuration of a manager's admin channel, from an INI file of its own.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "admin/endpoint.h"

namespace pearchute::admin {

// Validated: there are no more watchers than connections.
struct AdminConfig {
  Endpoint listen;
  std::string orders_file;  // an absolute path; empty: orders end with the manager
  std::size_t max_connections = 16;
  std::size_t max_watchers = 4;
  std::chrono::seconds idle_timeout{60};  // of a connection without a watch
  // How soon load balancers see that a health check fails. Usual ones check each second, and believe the
  // second failure.
  std::chrono::milliseconds health_check_delay{2000};
};

// Throws ini::Error with file, line and what is wrong, ResourceShortage where the file can't be read now.
AdminConfig read_admin_config(const std::string& file);

}  // namespace pearchute::admin

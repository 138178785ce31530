// The configuration of a manager's admin channel, from an INI file of its own.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "admin/endpoint.h"

namespace pearchute::admin {

// Validated settings: max_watchers is at most max_connections.
struct AdminConfig {
  Endpoint listen;
  std::string orders_file;  // an absolute path; empty: a restart loses the orders
  std::size_t max_connections = 16;
  std::size_t max_watchers = 4;
  std::chrono::seconds idle_timeout{60};  // of a connection without a watch
  // How long load balancers take to see that the health check fails. Typical ones check every second and act
  // on the second failure.
  std::chrono::milliseconds health_check_delay{2000};
};

// Throws ini::Error with the file, the line and the fault; ResourceShortage where the file cannot be read for
// the moment.
AdminConfig read_admin_config(const std::string& file);

}  // namespace pearchute::admin

// Client connections that are held open to a manager without an event loop, idle or with an open statement.
// For measurements of the cost of a connection to the manager.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pearchute::lab {

// Raises this process's soft limit of descriptors to its hard limit. Errors are ignored.
void raise_descriptor_limit();

// Not thread-safe; all calls block.
class HeldConnections {
 public:
  explicit HeldConnections(std::string manager_address) : manager_(std::move(manager_address)) {}
  // Opens connections until there are `count`, and has one check answered on each. Throws SystemError if a
  // connection can't be opened or an answer does not arrive within five seconds.
  void open_up_to(std::size_t count);
  // Requests a check on each connection, since the manager may close connections that were idle for more
  // than five seconds. Throws SystemError if a connection has ended.
  void refresh();
  // Sends a statement on each of `count` connections, starting with index `first`, without waiting for
  // answers. Ids count up from `first_id`; each statement claims `work` as its cost.
  void begin_statements(std::size_t first, std::size_t count, const std::string& class_name,
                        std::chrono::milliseconds work, std::chrono::milliseconds timeout,
                        std::uint64_t first_id);
  void close();
  std::size_t count() const { return sockets_.size(); }

 private:
  void request_check(Poco::Net::StreamSocket& socket) const;

  std::string manager_;
  std::vector<Poco::Net::StreamSocket> sockets_;
};

}  // namespace pearchute::lab

// Client connections that are held open on a manager without an event loop: idle ones, and ones on which a
// statement is open. For measurements of what a connection costs the manager.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pearchute::lab {

// Raises this process's limit of descriptors to what the system allows it.
void raise_descriptor_limit();

class HeldConnections {
 public:
  explicit HeldConnections(std::string manager_address) : manager_(std::move(manager_address)) {}
  // Opens connections until there are so many, each with one answered call of the manager's check. Throws
  // SystemError where a connection or an answer doesn't come.
  void open_up_to(std::size_t count);
  // Calls the check on each, since the manager closes what has been idle for five seconds.
  void refresh();
  // Sends a statement on each of `count` connections from the one numbered `first`, and waits for no answer.
  void begin_statements(std::size_t first, std::size_t count, const std::string& class_name,
                        std::chrono::milliseconds work, std::chrono::milliseconds timeout,
                        std::uint64_t first_id);
  void close();
  std::size_t count() const { return sockets_.size(); }

 private:
  void call_check(Poco::Net::StreamSocket& socket) const;

  std::string manager_;
  std::vector<Poco::Net::StreamSocket> sockets_;
};

}  // namespace pearchute::lab

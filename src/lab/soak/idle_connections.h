// Client connections that occupy a manager's descriptors in a soak run. In turn, a connection sends nothing,
// an incomplete request, or one complete check; then it stays idle. Answers are neither read nor checked.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pearchute::lab {

// Owns the connections and closes them when it is destroyed.
class IdleConnections {
 public:
  // `address` is a manager's, with its port. Stops at the first connection that can't be opened, without an
  // error.
  IdleConnections(const std::string& address, std::size_t count);
  ~IdleConnections();
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

 private:
  std::vector<int> descriptors_;
};

}  // namespace pearchute::lab

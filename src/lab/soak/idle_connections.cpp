#include "lab/soak/idle_connections.h"

#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string_view>

namespace pearchute::lab {

namespace {

// A connection sends one of these in turn: nothing, an incomplete request, or one complete check.
constexpr std::array<std::string_view, 3> initial_bytes = {"", "POST /do/quick HTTP/1.1\r\nX-Request-Id: 00",
                                                           "GET /check HTTP/1.1\r\n\r\n"};

}  // namespace

IdleConnections::IdleConnections(const std::string& address, std::size_t count) {
  const Poco::Net::SocketAddress manager(address);
  for (std::size_t i = 0; i < count; ++i) {
    const int descriptor = ::socket(manager.af(), SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) return;
    if (::connect(descriptor, manager.addr(), manager.length()) != 0) {
      ::close(descriptor);
      return;
    }
    const std::string_view bytes = initial_bytes[i % initial_bytes.size()];
    [[maybe_unused]] const auto sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    descriptors_.push_back(descriptor);
  }
}

IdleConnections::~IdleConnections() {
  for (const int descriptor : descriptors_) ::close(descriptor);
}

}  // namespace pearchute::lab

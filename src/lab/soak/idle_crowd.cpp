#include "lab/soak/idle_crowd.h"

#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string_view>

namespace pearchute::lab {

namespace {

constexpr std::array<std::string_view, 3> first_words = {"", "POST /do/quick HTTP/1.1\r\nX-Request-Id: 00",
                                                         "GET /check HTTP/1.1\r\n\r\n"};

}  // namespace

IdleCrowd::IdleCrowd(const std::string& address, std::size_t connections) {
  const Poco::Net::SocketAddress to(address);
  for (std::size_t i = 0; i < connections; ++i) {
    const int descriptor = ::socket(to.af(), SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) return;
    if (::connect(descriptor, to.addr(), to.length()) != 0) {
      ::close(descriptor);
      return;
    }
    const std::string_view words = first_words[i % first_words.size()];
    [[maybe_unused]] const auto sent = ::send(descriptor, words.data(), words.size(), MSG_NOSIGNAL);
    descriptors_.push_back(descriptor);
  }
}

IdleCrowd::~IdleCrowd() {
  for (const int descriptor : descriptors_) ::close(descriptor);
}

}  // namespace pearchute::lab

// Where an admin channel is: `unix:/path` or a loopback address with its port. Nothing else is taken, since
// whoever reaches the channel governs the manager.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>

namespace pearchute::admin {

struct Place {
  std::string text;
  std::string path;  // of a Unix socket; empty for an address
  Poco::Net::SocketAddress address;
};

// Throws AddressError. The path of a Unix socket has to be absolute and short.
Place place_in(const std::string& text);

}  // namespace pearchute::admin

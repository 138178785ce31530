// Where an admin channel is: `unix:/path` or a loopback address with its port. Nothing else is accepted,
// since whoever reaches the channel governs the manager.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>

namespace pearchute::admin {

// An address of an admin channel, parsed.
struct Endpoint {
  std::string text;  // as written
  std::string path;  // of a Unix socket; empty for an address
  Poco::Net::SocketAddress address;
};

// Throws AddressError. The path of a Unix socket has to be absolute and short.
Endpoint parse_endpoint(const std::string& text);

}  // namespace pearchute::admin

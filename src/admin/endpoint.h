// The address of an admin channel: `unix:/path` or a loopback address with a port. Nothing else is accepted,
// since anyone who can reach the channel controls the manager.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>

namespace pearchute::admin {

// A parsed address of an admin channel.
struct Endpoint {
  std::string text;  // as written
  std::string path;  // of a Unix socket; empty for an address
  Poco::Net::SocketAddress address;
};

// Throws AddressError. The path of a Unix socket must be absolute and fit into sockaddr_un.
Endpoint parse_endpoint(const std::string& text);

}  // namespace pearchute::admin

// The address of an agent: `unix:/path`, a socket that only the agent's own user can open, or
// `tls:host:port`, where both sides present certificates of the site's authority.
#pragma once

#include <string>

namespace pearchute::keys {

// A parsed address. Its fields are empty if no address is configured.
struct Endpoint {
  std::string text;    // as configured
  std::string target;  // gRPC's target: unix:/path or host:port
  bool tls = false;
};

// Throws AddressError if `text` has neither form, or the path is too long for a socket.
Endpoint parse_endpoint(const std::string& text);

}  // namespace pearchute::keys

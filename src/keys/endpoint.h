// Where an agent is reached: `unix:/path`, a socket that only its own user can open, or `tls:host:port`,
// where both sides present certificates of the site's authority. Nothing else is accepted.
#pragma once

#include <string>

namespace pearchute::keys {

// An address of an agent, parsed. Empty: none is configured.
struct Endpoint {
  std::string text;    // as written
  std::string target;  // as gRPC takes it
  bool tls = false;
};

// Throws AddressError, which says what is wrong with `text`.
Endpoint parse_endpoint(const std::string& text);

}  // namespace pearchute::keys

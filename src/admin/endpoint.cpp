#include "admin/endpoint.h"

#include <sys/un.h>

#include <string_view>

#include "errors/error.h"
#include "net/addresses.h"

namespace pearchute::admin {

namespace {

constexpr std::string_view unix_scheme = "unix:";

Endpoint unix_endpoint(const std::string& text) {
  Endpoint endpoint;
  endpoint.text = text;
  endpoint.path = text.substr(unix_scheme.size());
  if (!endpoint.path.starts_with("/")) throw AddressError("the path of '" + text + "' is not absolute");
  if (endpoint.path.size() >= sizeof(sockaddr_un::sun_path))
    throw AddressError("the path of '" + text + "' is too long for a socket");
  endpoint.address = Poco::Net::SocketAddress(Poco::Net::SocketAddress::UNIX_LOCAL, endpoint.path);
  return endpoint;
}

Endpoint loopback_endpoint(const std::string& text) {
  Endpoint endpoint;
  endpoint.text = text;
  try {
    endpoint.address = net::resolved_address(text, "");
  } catch (const AddressError&) {
    throw AddressError("'" + text + "' is neither unix:/path nor address:port");
  }
  if (!endpoint.address.host().isLoopback())
    throw AddressError("'" + text + "' is no loopback address", "",
                       "whoever reaches it governs the manager: take 127.0.0.1, or a Unix socket");
  if (endpoint.address.port() == 0) throw AddressError("'" + text + "' names no port");
  return endpoint;
}

}  // namespace

Endpoint parse_endpoint(const std::string& text) {
  return text.starts_with(unix_scheme) ? unix_endpoint(text) : loopback_endpoint(text);
}

}  // namespace pearchute::admin

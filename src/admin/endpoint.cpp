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
  if (!endpoint.path.starts_with("/")) throw AddressError("the path of '" + text + "' must be absolute");
  if (endpoint.path.size() >= sizeof(sockaddr_un::sun_path))
    throw AddressError("the path of '" + text + "' has " + std::to_string(endpoint.path.size()) +
                       " bytes; a Unix socket allows at most " +
                       std::to_string(sizeof(sockaddr_un::sun_path) - 1));
  endpoint.address = Poco::Net::SocketAddress(Poco::Net::SocketAddress::UNIX_LOCAL, endpoint.path);
  return endpoint;
}

Endpoint loopback_endpoint(const std::string& text) {
  Endpoint endpoint;
  endpoint.text = text;
  try {
    endpoint.address = net::resolved_address(text, "");
  } catch (const AddressError&) {
    throw AddressError("expected unix:/path or address:port, got '" + text + "'");
  }
  if (!endpoint.address.host().isLoopback())
    throw AddressError(
        "'" + text + "' is not a loopback address", "",
        "anyone who can reach the admin channel controls the manager: use 127.0.0.1 or a Unix socket");
  if (endpoint.address.port() == 0)
    throw AddressError("'" + text + "' has port 0; give the port to listen on");
  return endpoint;
}

}  // namespace

Endpoint parse_endpoint(const std::string& text) {
  return text.starts_with(unix_scheme) ? unix_endpoint(text) : loopback_endpoint(text);
}

}  // namespace pearchute::admin

#include "admin/place.h"

#include <sys/un.h>

#include "errors/error.h"
#include "net/addresses.h"

namespace pearchute::admin {

Place place_in(const std::string& text) {
  Place place;
  place.text = text;
  if (text.starts_with("unix:")) {
    place.path = text.substr(5);
    if (!place.path.starts_with("/")) throw AddressError("the path of '" + text + "' is not absolute");
    if (place.path.size() >= sizeof(sockaddr_un::sun_path))
      throw AddressError("the path of '" + text + "' is too long for a socket");
    place.address = Poco::Net::SocketAddress(Poco::Net::SocketAddress::UNIX_LOCAL, place.path);
    return place;
  }
  try {
    place.address = net::resolved_address(text, "");
  } catch (const AddressError&) {
    throw AddressError("'" + text + "' is neither unix:/path nor address:port");
  }
  if (!place.address.host().isLoopback())
    throw AddressError("'" + text + "' is no loopback address", "",
                       "whoever reaches it governs the manager: take 127.0.0.1, or a Unix socket");
  if (place.address.port() == 0) throw AddressError("'" + text + "' names no port");
  return place;
}

}  // namespace pearchute::admin

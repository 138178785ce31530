#include "admin/place.h"

#include <Poco/Exception.h>
#include <sys/un.h>

#include <stdexcept>

namespace pearchute::admin {

Place place_in(const std::string& text) {
  Place place;
  place.text = text;
  if (text.starts_with("unix:")) {
    place.path = text.substr(5);
    if (!place.path.starts_with("/"))
      throw std::invalid_argument("the path of '" + text + "' is not absolute");
    if (place.path.size() >= sizeof(sockaddr_un::sun_path))
      throw std::invalid_argument("the path of '" + text + "' is too long for a socket");
    place.address = Poco::Net::SocketAddress(Poco::Net::SocketAddress::UNIX_LOCAL, place.path);
    return place;
  }
  try {
    place.address = Poco::Net::SocketAddress(text);
  } catch (const Poco::Exception&) {
    throw std::invalid_argument("'" + text + "' is neither unix:/path nor address:port");
  }
  if (!place.address.host().isLoopback())
    throw std::invalid_argument("'" + text + "' is no loopback address");
  if (place.address.port() == 0) throw std::invalid_argument("'" + text + "' names no port");
  return place;
}

}  // namespace pearchute::admin

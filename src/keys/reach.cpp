#include "keys/reach.h"

#include <sys/un.h>

#include <charconv>

#include "errors/error.h"

namespace pearchute::keys {

Reach reach_in(const std::string& text) {
  if (text.starts_with("unix:/")) {
    if (text.size() - 5 >= sizeof(sockaddr_un::sun_path))
      throw AddressError("the path of '" + text + "' is too long for a socket");
    return {text, text, false};
  }
  const std::size_t colon = text.rfind(':');
  if (text.starts_with("tls:") && colon > 4) {
    int port = 0;
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (error == std::errc{} && stop == text.data() + text.size() && port > 0 && port < 65536)
      return {text, text.substr(4), true};
  }
  throw AddressError("'" + text + "' is neither unix:/path nor tls:host:port");
}

bool take(Files& files, const std::string& name, const std::string& text) {
  if (name == "authority") files.authority = text;
  else if (name == "certificate") files.certificate = text;
  else if (name == "key") files.key = text;
  else if (name == "revoked") files.revoked = text;
  else return false;
  return true;
}

std::string missing(const Files& files) {
  if (files.authority.empty()) return "authority";
  if (files.certificate.empty()) return "certificate";
  return files.key.empty() ? "key" : "";
}

}  // namespace pearchute::keys

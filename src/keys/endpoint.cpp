#include "keys/endpoint.h"

#include <sys/un.h>

#include <charconv>
#include <optional>
#include <string_view>

#include "errors/error.h"

namespace pearchute::keys {

namespace {

constexpr std::string_view unix_scheme = "unix:";
constexpr std::string_view tls_scheme = "tls:";
constexpr int max_port = 65535;

bool is_port(std::string_view text) {
  int port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  return error == std::errc{} && end == text.data() + text.size() && port > 0 && port <= max_port;
}

// The `host:port` of a TLS endpoint; nullopt if `text` is not one.
std::optional<std::string> tls_target(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (!text.starts_with(tls_scheme) || colon <= tls_scheme.size()) return std::nullopt;
  if (!is_port(std::string_view(text).substr(colon + 1))) return std::nullopt;
  return text.substr(tls_scheme.size());
}

}  // namespace

Endpoint parse_endpoint(const std::string& text) {
  if (text.starts_with("unix:/")) {
    if (text.size() - unix_scheme.size() >= sizeof(sockaddr_un::sun_path))
      throw AddressError("the path of '" + text + "' is too long for a Unix socket");
    return {text, text, false};
  }
  if (const std::optional<std::string> target = tls_target(text)) return {text, *target, true};
  throw AddressError("'" + text + "' is neither unix:/path nor tls:host:port");
}

}  // namespace pearchute::keys

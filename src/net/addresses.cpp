#include "net/addresses.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>

#include <charconv>
#include <string_view>

#include "errors/error.h"

namespace pearchute::net {

std::optional<Poco::Net::SocketAddress> numeric_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  const std::string_view digits = std::string_view(text).substr(colon + 1);
  std::uint16_t port = 0;
  const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || stop != digits.data() + digits.size()) return std::nullopt;
  Poco::Net::IPAddress number;
  if (!Poco::Net::IPAddress::tryParse(host, number)) return std::nullopt;
  return Poco::Net::SocketAddress(number, port);
}

Poco::Net::SocketAddress resolved_address(const std::string& text, const std::string& where) {
  if (const auto number = numeric_address(text)) return *number;
  try {
    return Poco::Net::SocketAddress(text);
  } catch (const Poco::Exception&) {
    throw AddressError("expected an address with a port that can be resolved, got '" + text + "'", where);
  }
}

}  // namespace pearchute::net

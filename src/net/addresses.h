// Addresses as configurations and lists write them. The one place that makes them from text.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <optional>
#include <string>

namespace pearchute::net {

// A number address with a port. Nothing where the text is none: names are not resolved, which would take its
// time, so this is fit for the event loop.
std::optional<Poco::Net::SocketAddress> numeric_address(const std::string& text);

// The same, or a name, which is resolved: that may take seconds. For a start, and for what an operator asks.
// `where` tells which setting it is. Throws AddressError.
Poco::Net::SocketAddress resolved_address(const std::string& text, const std::string& where);

}  // namespace pearchute::net

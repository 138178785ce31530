// Parsing and resolving of addresses from configurations and endpoint lists.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <optional>
#include <string>

namespace pearchute::net {

// Parses a numeric address with a port; returns nullopt for other text. Doesn't resolve names, so it never
// blocks and may be called on the event loop.
std::optional<Poco::Net::SocketAddress> numeric_address(const std::string& text);

// Parses a numeric address or resolves a host name, with a port. Resolving may block for seconds, so this is
// for the start of a process and for operators' commands. Throws AddressError, which names the setting
// `where`.
Poco::Net::SocketAddress resolved_address(const std::string& text, const std::string& where);

}  // namespace pearchute::net

// A listening Unix socket that only its owner can connect to. A stale socket, which a killed process has left
// at the path, is removed; one at which a process listens is not.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/listening_socket.h"

namespace pearchute::net {

// Throws ListeningError where a process listens at the path or the path isn't a socket, ResourceShortage
// where a transient failure prevents this check, and the errors of ListeningSocket.
std::unique_ptr<ListeningSocket> open_owner_socket(
    Loop& loop, const std::string& path, std::function<void(const Poco::Net::StreamSocket&)> on_accepted);

}  // namespace pearchute::net

// A listening Unix socket that nobody but its owner can open. What a killed process has left at its path is
// removed; a socket that somebody listens at stays.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/driver.h"

namespace pearchute::net {

// Throws ListeningError where somebody listens there or the path is something else, ResourceShortage where
// that can't be told now, and as Door does.
std::unique_ptr<ListeningSocket> open_owner_socket(Loop& loop, const std::string& path,
                                                   std::function<void(const Poco::Net::StreamSocket&)> came);

}  // namespace pearchute::net

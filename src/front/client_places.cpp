#include "front/client_places.h"

#include <algorithm>

namespace pearchute::net {

// Open requests hold a third of the descriptors at most; client connections may use half, which leaves room
// for connections without a request and for those that are closing.
ClientPlaces::ClientPlaces(std::size_t descriptors)
    : max_places_(std::max(descriptors / 2, 2 * max_overflow) - max_overflow) {}

}  // namespace pearchute::net

// The places for client connections: how many connections may hold a request at a time, and which of them are
// kept for clients that lost their connection.
//
// Each connection whose requests are admitted takes a place. Where none is free and no connection can be
// closed, a new one is an overflow connection: it has no place, and is kept until its first HTTP request is
// read, which is answered at once. Only a call of the path of a result is admitted, since the request may
// have executed and can't be refused. It finds a place, because the place of a client that was given a path
// is reserved when its connection ends, until the request is answered or the client calls the path again.
//
// Invariant: the places that are taken and those that are reserved are no more than there are.
//
// Used by Front, which owns the connections. No I/O, no clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <unordered_set>

#include "core/types.h"
#include "net/reasons.h"

namespace pearchute::net {

// Whether a connection in this state may be closed to make room, or because the manager ends: its client is
// owed no answer, and no call of a path that it was given.
constexpr bool owes_client_nothing(ClientState state) {
  return state == ClientState::idle || state == ClientState::reading_request;
}

class ClientPlaces {
 public:
  // `descriptors` is the limit of the process.
  explicit ClientPlaces(std::size_t descriptors);
  // Connections of clients that may be open together, with those in overflow and those that are finishing.
  std::size_t max_connections() const { return max_places_ + max_overflow; }
  bool has_free_place() const { return taken_ + reserved_.size() < max_places_; }
  // REQUIRES: has_free_place().
  void take() { ++taken_; }
  // Gives back a place that was taken.
  void give_back() { --taken_; }
  // Reserves a place for the client of a request. REQUIRES: has_free_place().
  void reserve(RequestId request) { reserved_.insert(request); }
  // Ends the reservation for a request, if there is one.
  void release(RequestId request) { reserved_.erase(request); }
  std::size_t taken() const { return taken_; }
  std::size_t reserved() const { return reserved_.size(); }

 private:
  static constexpr std::size_t max_overflow = 8;
  std::size_t max_places_;
  std::size_t taken_ = 0;
  std::unordered_set<RequestId> reserved_;
};

}  // namespace pearchute::net

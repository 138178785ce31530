// System calls on sockets with named results. They translate error numbers into transient failures, after
// which the caller tries again, and permanent ones. Calls that a signal interrupts are repeated, a limited
// number of times. Stateless and independent of the event loop.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstddef>
#include <optional>

#include "system/failures.h"

namespace pearchute::net {

// Classifies the failure of listening at an address: one that doesn't belong to this machine is permanent.
Failure failure_of_listening(int error_number);

enum class TransferStatus {
  done,     // some bytes were transferred
  not_now,  // no bytes were transferred; try again when the event loop reports the socket as ready
  ended,    // the peer has closed its sending side; only for reads
  broken,   // the connection is broken, see `error`
};
struct Transfer {
  TransferStatus status = TransferStatus::done;
  std::size_t bytes = 0;
  int error = 0;  // errno
};
Transfer receive_some(int descriptor, char* bytes, std::size_t max_bytes);
Transfer send_some(int descriptor, const char* bytes, std::size_t length);

enum class AcceptStatus {
  accepted,
  none_pending,
  shortage,  // a connection is pending, but can't be accepted for lack of resources
  broken,    // the listening socket is unusable
};
struct Accepted {
  AcceptStatus status = AcceptStatus::none_pending;
  int descriptor = -1;  // non-blocking; owned by the caller
};
Accepted accept_one(int listening);

// A new descriptor, or the error.
struct Opened {
  int descriptor = -1;  // non-blocking; owned by the caller
  int error = 0;        // errno where there is no descriptor
  bool is_open() const { return descriptor >= 0; }
};
// Starts to connect. The socket becomes writable when the connect has ended; `pending_error` returns its
// result.
Opened begin_connect(const Poco::Net::SocketAddress& to);
Opened listen_at(const Poco::Net::SocketAddress& at, int backlog);
// Whether a process listens at the address. Throws ResourceShortage where a transient failure prevents the
// check, SystemError for a permanent one.
bool is_listened_at(const Poco::Net::SocketAddress& at);
int pending_error(int descriptor);

Poco::Net::StreamSocket socket_of(int descriptor);  // takes ownership of the descriptor

void set_no_delay(int descriptor);       // no effect on sockets without this option
void reset_at_close(int descriptor);     // the close then discards unsent data and sends a reset
bool shut_down_sending(int descriptor);  // returns false where the connection is broken
// Whether the peer has closed or broken the connection, even if bytes before that are unread.
bool peer_has_ended(int descriptor);
bool has_unread(int descriptor);  // whether the system holds bytes that have not been received
// Returns the number of bytes that the system has accepted but not sent, because the peer accepts no more; 0
// where the system doesn't report it.
std::size_t unsent_bytes(int descriptor);
bool is_reset(int error_number);
// Returns the time since the last bytes arrived, as measured by the system, with an error of up to
// `data_age_resolution`; nullopt where the system doesn't report it.
std::optional<std::chrono::milliseconds> age_of_last_data(int descriptor);
inline constexpr std::chrono::milliseconds data_age_resolution(12);  // a 10 ms system tick and a margin

}  // namespace pearchute::net

// System calls on sockets and files with named results. This is the one place that looks at error numbers and
// tells "not now" (it passes by itself, so the caller tries again) from "never". Calls that a signal
// interrupts are made again here, a bounded number of times. It keeps no state and knows no event loop.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstddef>
#include <optional>

#include "system/failures.h"

namespace pearchute::net {

// What a failure means for a place to listen at: an address that is not this machine's stays so.
Failure failure_of_listening(int error_number);

enum class TransferStatus {
  done,     // some bytes went
  not_now,  // nothing went; the event loop tells when to try again
  ended,    // the peer has said its end; of reads only
  broken,   // the connection is gone, see `error`
};
struct Transfer {
  TransferStatus status = TransferStatus::done;
  std::size_t bytes = 0;
  int error = 0;  // the system's number
};
Transfer receive_some(int descriptor, char* bytes, std::size_t most);
Transfer send_some(int descriptor, const char* bytes, std::size_t length);

enum class AcceptStatus {
  accepted,
  none_waits,
  shortage,  // one waits, and can't be had now
  broken,    // the listening socket is of no use
};
struct Accepted {
  AcceptStatus status = AcceptStatus::none_waits;
  int descriptor = -1;  // the caller's, non-blocking
};
Accepted accept_one(int listening);

// A new descriptor, or why there is none.
struct Opened {
  int descriptor = -1;  // the caller's, non-blocking
  int error = 0;        // the system's number where there is none
  bool is_open() const { return descriptor >= 0; }
};
// Begins to connect; the event loop tells when it is up, and `pending_error` how that went.
Opened begin_connect(const Poco::Net::SocketAddress& to);
Opened listen_at(const Poco::Net::SocketAddress& at, int backlog);
// Whether somebody takes connections there. Throws ResourceShortage where that can't be told now, SystemError
// where it can't be told at all.
bool is_listened_at(const Poco::Net::SocketAddress& at);
int pending_error(int descriptor);

Poco::Net::StreamSocket socket_of(int descriptor);  // which owns it from then on

void set_no_delay(int descriptor);    // nothing where the socket has no such thing
void reset_at_close(int descriptor);  // what is unsent then is dropped, and the peer hears a reset
bool say_end(int descriptor);         // of what this side sends; false where the connection is gone
// Whether the peer has said its end or broken off, even behind bytes that have not been read.
bool peer_has_ended(int descriptor);
bool has_unread(int descriptor);  // bytes have come that were not received yet
// Bytes that the system has taken and not put on the network, because the peer takes no more; 0 where the
// system does not tell.
std::size_t unsent_bytes(int descriptor);
bool is_reset(int error_number);
// How long ago the last bytes came, by the system's own clock, within `data_age_resolution`; nothing where it
// does not tell.
std::optional<std::chrono::milliseconds> age_of_last_data(int descriptor);
inline constexpr std::chrono::milliseconds data_age_resolution(12);  // a tick of a slow system, and a little

}  // namespace pearchute::net

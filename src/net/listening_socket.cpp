// ListeningSocket: accepting connections.
#include "net/listening_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include "net/event_loop.h"

namespace pearchute::net {

namespace {

// Enough for a burst of connections; the system applies its own limit.
constexpr int backlog = 512;

}  // namespace

ListeningSocket::ListeningSocket(Loop& loop, const Poco::Net::SocketAddress& at,
                                 std::function<void(const Poco::Net::StreamSocket&)> on_accepted,
                                 std::function<bool()> can_accept)
    : loop_(loop), on_accepted_(std::move(on_accepted)), can_accept_(std::move(can_accept)) {
  const Opened opened = listen_at(at, backlog);
  if (!opened.is_open()) {
    const std::string wrong = "can't listen: " + text_of_error(opened.error);
    if (failure_of_listening(opened.error) == Failure::not_now) throw ResourceShortage(wrong, at.toString());
    throw ListeningError(wrong, at.toString());
  }
  descriptor_ = opened.descriptor;
  // Only the address is copied; the descriptor stays owned by this object.
  sockaddr_storage place{};
  socklen_t size = sizeof place;
  ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&place), &size);
  address_ = at.family() == Poco::Net::SocketAddress::UNIX_LOCAL
                 ? at
                 : Poco::Net::SocketAddress(reinterpret_cast<const sockaddr*>(&place), size);
  ++loop_.descriptors_;
  watch_ = loop_.watch(descriptor_, {true, false, false}, *this);
  if (!watch_) {
    close();
    throw ResourceShortage("can't register the listening socket with the event loop", at.toString());
  }
}

ListeningSocket::~ListeningSocket() { close(); }

// Guards against resets of connections that the system has established but that are not accepted yet.
void ListeningSocket::shut() {
  if (shut_ || shutting_) return;
  shutting_ = true;
  if (watch_) loop_.unwatch(*watch_);
  watch_.reset();
  constexpr std::chrono::milliseconds max_duration(100);
  accept_remaining(loop_.now() + max_duration);
}

void ListeningSocket::accept_remaining(TimePoint until) {
  if (shut_) return;
  if (accept_up_to(backlog) == AcceptResult::all || loop_.now() >= until) return close();
  constexpr std::chrono::milliseconds retry_interval(2);
  loop_.at(loop_.now() + retry_interval, [this, alive = alive_, until] {
    if (*alive) accept_remaining(until);
  });
}

void ListeningSocket::close() {
  if (shut_) return;
  shut_ = true;
  *alive_ = false;
  if (watch_) loop_.unwatch(*watch_);
  watch_.reset();
  ::close(descriptor_);
  --loop_.descriptors_;
}

// Guards against a busy loop over a connection that can't be accepted: it stays in the system's queue.
void ListeningSocket::pause_accepting(Duration duration) {
  loop_.change_interest(*watch_, {});
  ++loop_.unwatched_;
  loop_.at(loop_.now() + duration, [this, &loop = loop_, alive = alive_] {
    --loop.unwatched_;
    if (*alive && watch_) loop_.change_interest(*watch_, {true, false, false});
  });
}

ListeningSocket::AcceptResult ListeningSocket::accept_up_to(int max_count) {
  for (int count = 0; count < max_count; ++count) {
    if (can_accept_ && !can_accept_()) return AcceptResult::no_room;
    const Accepted one = accept_one(descriptor_);
    switch (one.status) {
      case AcceptStatus::accepted:
        loop_.note_accepted();
        on_accepted_(socket_of(one.descriptor));
        break;
      case AcceptStatus::none_pending:
      case AcceptStatus::broken:
        return AcceptResult::all;
      case AcceptStatus::shortage:
        return AcceptResult::shortage;
    }
  }
  return AcceptResult::some;
}

// Guards against dating a connection's arrival too late: connections that were left in the queue, for the
// next event or for lack of a descriptor, may have arrived as early as the first of them.
void ListeningSocket::on_socket_ready(Readiness) {
  const TimePoint found_since = loop_.unread_since_;
  const TimePoint queued_since = std::min(queued_since_.value_or(found_since), found_since);
  loop_.unread_since_ = queued_since;
  // Accepts a few at a time, so that their data is read before more are accepted. Otherwise, in a burst with
  // a full table, connections that have sent a request would be taken for idle.
  constexpr int batch_size = 16;
  const AcceptResult result = accept_up_to(batch_size);
  loop_.unread_since_ = found_since;
  queued_since_ = result == AcceptResult::all ? std::nullopt : std::optional(queued_since);
  if (result != AcceptResult::all) loop_.note_unread_data();
  if (shut_) return;
  constexpr std::chrono::milliseconds shortage_pause(20), no_room_pause(2);
  if (result == AcceptResult::shortage) pause_accepting(shortage_pause);
  if (result == AcceptResult::no_room) pause_accepting(no_room_pause);
}

}  // namespace pearchute::net

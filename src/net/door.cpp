// Door of the driver: the listening socket.
#include <sys/socket.h>
#include <unistd.h>

#include "net/driver.h"

namespace pearchute::net {

namespace {

// As many as may come in a moment; the system cuts it to its own limit.
constexpr int backlog = 512;

}  // namespace

ListeningSocket::ListeningSocket(Loop& loop, const Poco::Net::SocketAddress& at,
                                 std::function<void(const Poco::Net::StreamSocket&)> came)
    : loop_(loop), on_accepted_(std::move(came)) {
  const Opened opened = listen_at(at, backlog);
  if (!opened.is_open()) {
    const std::string wrong = "can't be listened at: " + text_of_error(opened.error);
    if (failure_of_listening(opened.error) == Failure::not_now) throw ResourceShortage(wrong, at.toString());
    throw ListeningError(wrong, at.toString());
  }
  descriptor_ = opened.descriptor;
  // Own hold on the address only: the socket stays this object's.
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
    throw ResourceShortage("can't be watched", at.toString());
  }
}

ListeningSocket::~ListeningSocket() { close(); }

// Guards against what the system took and nobody accepted: closed with the door, it would be reset.
void ListeningSocket::shut() {
  if (shut_ || shutting_) return;
  shutting_ = true;
  if (watch_) loop_.unwatch(*watch_);
  watch_.reset();
  constexpr std::chrono::milliseconds at_most(100);
  accept_remaining(loop_.now() + at_most);
}

void ListeningSocket::accept_remaining(TimePoint until) {
  if (shut_) return;
  if (take(backlog) == Taken::all || loop_.now() >= until) return close();
  constexpr std::chrono::milliseconds between(2);
  loop_.at(loop_.now() + between, [this, alive = alive_, until] {
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

// Guards against spinning on a connection that can't be accepted: those that wait stay in the backlog.
void ListeningSocket::pause_accepting() {
  loop_.change_interest(*watch_, {});
  ++loop_.unwatched_;
  loop_.at(loop_.now() + std::chrono::milliseconds(20), [this, &loop = loop_, alive = alive_] {
    --loop.unwatched_;
    if (*alive && watch_) loop_.change_interest(*watch_, {true, false, false});
  });
}

ListeningSocket::Taken ListeningSocket::take(int most) {
  for (int count = 0; count < most; ++count) {
    const Accepted one = accept_one(descriptor_);
    switch (one.status) {
      case AcceptStatus::accepted:
        loop_.note_accepted();
        on_accepted_(socket_of(one.descriptor));
        break;
      case AcceptStatus::none_waits:
      case AcceptStatus::broken:
        return Taken::all;
      case AcceptStatus::shortage:
        return Taken::shortage;
    }
  }
  return Taken::some;
}

// Guards against a connection that is taken to have come just now: what is left for the next round, or waits
// for a descriptor, has been there since the first of them.
void ListeningSocket::socket_ready(Readiness) {
  const TimePoint found_since = loop_.unread_since_;
  const TimePoint waits_since = std::min(waits_since_.value_or(found_since), found_since);
  loop_.unread_since_ = waits_since;
  // A few at a time, so that what they say is read before others are taken: in a burst a full table would
  // else take those for idle that have called.
  constexpr int at_a_time = 16;
  const Taken taken = take(at_a_time);
  loop_.unread_since_ = found_since;
  waits_since_ = taken == Taken::all ? std::nullopt : std::optional(waits_since);
  if (taken != Taken::all) loop_.note_unread_left();
  if (taken == Taken::shortage && !shut_) pause_accepting();
}

}  // namespace pearchute::net

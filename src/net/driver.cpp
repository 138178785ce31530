#include "net/driver.h"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "net/log.h"

namespace pearchute::net {

using Poco::NObserver;
using Poco::Net::ErrorNotification;
using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;

// ---- Buffers ----

std::unique_ptr<BufferPool::Buffer> BufferPool::take() {
  ++out_;
  if (idle_.empty()) return std::unique_ptr<Buffer>(new Buffer);  // not cleared: 16 kB for each would cost
  std::unique_ptr<Buffer> buffer = std::move(idle_.back());
  idle_.pop_back();
  buffer->begin = buffer->end = 0;
  return buffer;
}

void BufferPool::give_back(std::unique_ptr<Buffer> buffer) {
  constexpr std::size_t most_idle = 256;  // 4 MB; what a burst needed beyond goes back to the system
  --out_;
  if (idle_.size() < most_idle) idle_.push_back(std::move(buffer));
}

// ---- Loop ----

Loop::Loop() { setTimeout(Poco::Timespan(0, 100'000)); }
// What was put off would reach into what is gone by now.
Loop::~Loop() {
  soon_.clear(), timers_.clear();
  retired_.clear(), finishing_.clear();
}

Span Loop::now() const { return std::chrono::duration_cast<Span>(std::chrono::steady_clock::now() - start_); }

void Loop::at(Span when, std::function<void()> what) {
  timers_.push_back({when, next_order_++, std::move(what)});
  std::push_heap(timers_.begin(), timers_.end());
  set_wait();
}

void Loop::set_wait() {
  // To the next timer, a tenth of a second at most. Rounded up to whole milliseconds, which is what the poll
  // counts in: rounded down, it would spin through the last one.
  Span wait = std::chrono::milliseconds(100);
  if (!timers_.empty()) wait = std::clamp(timers_.front().when - now(), Span(0), wait);
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(wait);
  setTimeout(Poco::Timespan(0, static_cast<long>(Span(ms).count())));
}

void Loop::soon(std::function<void()> what) { soon_.push_back(std::move(what)); }

void Loop::retire(std::unique_ptr<Wire> wire) {
  if (!wire) return;
  wire->close();
  retired_.push_back(std::move(wire));
}

void Loop::finish(std::unique_ptr<Wire> wire) {
  if (!wire) return;
  wire->close_when_written();
  // A peer that neither reads nor ends for so long is not waited for.
  finishing_.emplace_back(now() + std::chrono::seconds(1), std::move(wire));
}

bool Loop::all_written() const {
  return std::ranges::all_of(finishing_, [](const auto& one) { return one.second->waiting() == 0; });
}

void Loop::cut_finishing() {
  if (finishing_.empty()) return;
  retire(std::move(finishing_.front().second));
  finishing_.pop_front();
}

void Loop::settle() {
  if (settling_) return;
  settling_ = true;
  while (!soon_.empty()) {
    const std::function<void()> what = std::move(soon_.front());
    soon_.pop_front();
    what();
  }
  retired_.clear();
  while (!finishing_.empty() && finishing_.front().first <= now()) {
    finishing_.front().second->close();
    finishing_.pop_front();
  }
  std::erase_if(finishing_, [](const auto& one) { return one.second->closed(); });
  worked_until_ = now();
  settling_ = false;
}

// The poll has brought something. Where it had to wait, nothing lay there before; else what it brought may
// have come at any time since the last one.
void Loop::onBusy() {
  constexpr Span waited = std::chrono::milliseconds(1);
  const Span last = std::exchange(polled_, now());
  unread_since_ = polled_ - worked_until_ > waited ? polled_ : last;
  tick();
}

void Loop::onTimeout() {
  polled_ = now();
  tick();
}

void Loop::tick() {
  if (!timers_.empty() && now() - timers_.front().when > std::chrono::milliseconds(40)) {
    PEARCHUTE_LOG(spdlog::level::warn, "held up: a timer comes {} ms late",
                  (now() - timers_.front().when).count() / 1000);
  }
  while (!timers_.empty() && timers_.front().when <= now()) {
    std::pop_heap(timers_.begin(), timers_.end());
    const std::function<void()> what = std::move(timers_.back().what);
    timers_.pop_back();
    what();
    settle();
  }
  settle();
  set_wait();
}

// ---- Wire ----

Wire::Wire(Loop& loop, const Poco::Net::StreamSocket& accepted, User& user)
    : loop_(loop), socket_(accepted), user_(&user), opened_(true) {
  start();
}

Wire::Wire(Loop& loop, const Poco::Net::SocketAddress& to, User& user) : loop_(loop), user_(&user) {
  bool refused = false;
  try {
    socket_.connectNB(to);
  } catch (const Poco::Exception&) {
    refused = true;
  }
  if (!refused) {
    start();
    return;
  }
  // Told after the event at hand, as any other ending is.
  ++loop_.descriptors_;
  loop_.soon([this] { ended(); });
}

void Wire::start() {
  ++loop_.descriptors_;
  socket_.setBlocking(false);
  if (opened_) set_no_delay();
  watch_incoming(true);
  if (!opened_) want_writable(true);
}

// Unix sockets have no such thing.
void Wire::set_no_delay() {
  int domain = 0;
  socklen_t size = sizeof domain;
  ::getsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_DOMAIN, &domain, &size);
  if (domain != AF_UNIX) socket_.setNoDelay(true);
}

Wire::~Wire() { close(); }

void Wire::close() {
  if (closed_) return;
  closed_ = true;
  user_ = nullptr;
  if (registered_) {
    want_writable(false);
    watch_incoming(false);
  }
  --loop_.descriptors_;
  if (told_end_) discard();
  try {
    socket_.close();
  } catch (const Poco::Exception&) {
    // Nothing is left to close.
  }
  for (auto& buffer : out_) loop_.buffers_.give_back(std::move(buffer));
  out_.clear();
  waiting_ = 0;
}

void Wire::close_when_written() {
  user_ = nullptr;
  closing_ = true;
  pause(false);
  if (waiting_ == 0) say_the_end();
}

// Guards against a last answer that is lost because its reader is still sending: closed at once, the system
// would answer what comes with a reset. So the end is said, and what comes is thrown away, within bounds.
void Wire::say_the_end() {
  if (closed_ || told_end_) return;
  told_end_ = true;
  if (::shutdown(socket_.impl()->sockfd(), SHUT_WR) != 0) close();
}

// Guards against the reset that a close over unread bytes would be: it would take the last answer along.
void Wire::discard() {
  char bytes[4096];
  constexpr int most = 64;  // a flood goes on all the same
  for (int i = 0; i < most; ++i) {
    if (::recv(socket_.impl()->sockfd(), bytes, sizeof bytes, MSG_DONTWAIT) <= 0) return;
  }
}

void Wire::want_writable(bool wanted) {
  if (wanted == writable_wanted_) return;
  writable_wanted_ = wanted;
  const NObserver<Wire, WritableNotification> observer(*this, &Wire::on_writable);
  if (wanted) return loop_.addEventHandler(socket_, observer);
  loop_.removeEventHandler(socket_, observer);
  // Guards against a spin: this reactor goes on polling for what was once asked of a socket, until nothing is
  // asked of it any more.
  watch_incoming(false);
  watch_incoming(true);
}

void Wire::watch_incoming(bool wanted) {
  if (wanted == registered_) return;
  registered_ = wanted;
  const NObserver<Wire, ErrorNotification> error(*this, &Wire::on_error);
  if (!paused_) watch_readable(wanted);
  if (wanted) loop_.addEventHandler(socket_, error);
  else loop_.removeEventHandler(socket_, error);
}

void Wire::watch_readable(bool wanted) {
  const NObserver<Wire, ReadableNotification> readable(*this, &Wire::on_readable);
  if (wanted) loop_.addEventHandler(socket_, readable);
  else loop_.removeEventHandler(socket_, readable);
}

void Wire::pause(bool paused) {
  if (closed_ || paused == paused_) return;
  const bool writable = writable_wanted_;
  if (writable) want_writable(false);
  watch_incoming(false);
  paused_ = paused;
  watch_incoming(true);
  if (writable) want_writable(true);
}

void Wire::send(std::string_view bytes) {
  if (closed_ || closing_) return;
  waiting_ += bytes.size();
  while (!bytes.empty()) {
    if (out_.empty() || out_.back()->end == BufferPool::buffer_size) out_.push_back(loop_.buffers_.take());
    BufferPool::Buffer& buffer = *out_.back();
    const std::size_t part = std::min(bytes.size(), BufferPool::buffer_size - buffer.end);
    std::memcpy(buffer.bytes.data() + buffer.end, bytes.data(), part);
    buffer.end += part;
    bytes.remove_prefix(part);
  }
  offer();
}

void Wire::offer() {
  if (closed_ || closing_ || !opened_ || flush_due_ || flushing_ || writable_wanted_) return;
  flush_due_ = true;  // what one event makes for a peer goes out together
  loop_.soon([this] {
    flush_due_ = false;
    flush();
  });
}

void Wire::skip(std::size_t bytes) {
  while (bytes > 0 && !out_.empty()) {
    BufferPool::Buffer& buffer = *out_.front();
    const std::size_t part = std::min(bytes, buffer.end - buffer.begin);
    buffer.begin += part, bytes -= part, waiting_ -= part, written_ += part;
    if (buffer.begin < buffer.end) return;
    loop_.buffers_.give_back(std::move(out_.front()));
    out_.pop_front();
  }
}

void Wire::flush() {
  while (!closed_) {
    if (out_.empty() && user_) {
      flushing_ = true;
      user_->wire_free();
      flushing_ = false;
    }
    if (closed_ || out_.empty()) break;
    BufferPool::Buffer& buffer = *out_.front();
    // Not by StreamSocket::sendBytes, which throws where a slow reader's buffer is full, as for a broken one.
    const auto sent = ::send(socket_.impl()->sockfd(), buffer.bytes.data() + buffer.begin,
                             buffer.end - buffer.begin, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && (errno == EAGAIN || errno == EINTR)) return want_writable(true);
    if (sent < 0) return ended();
    buffer.begin += static_cast<std::size_t>(sent);
    written_ += static_cast<std::uint64_t>(sent);
    waiting_ -= static_cast<std::size_t>(sent);
    if (buffer.begin == buffer.end) {
      loop_.buffers_.give_back(std::move(out_.front()));
      out_.pop_front();
    }
  }
  if (closed_) return;
  want_writable(false);
  if (closing_) say_the_end();
}

void Wire::ended() {
  if (closed_) return;
  if (!opened_ && error_ == 0) read_error();
  User* user = user_;
  close();
  if (user) user->wire_ended();
}

void Wire::read_error() {
  try {
    error_ = socket_.impl()->socketError();
  } catch (const Poco::Exception&) {
    error_ = ECONNREFUSED;
  }
}

void Wire::check_opened() {
  read_error();
  if (error_ != 0) return ended();
  opened_ = true;
  try {
    set_no_delay();
  } catch (const Poco::Exception&) {
    return ended();
  }
  if (user_) user_->wire_opened();
}

void Wire::on_writable(const Poco::AutoPtr<WritableNotification>&) {
  if (!closed_ && !opened_) check_opened();
  if (!closed_) flush();
  loop_.settle();
}

void Wire::on_error(const Poco::AutoPtr<ErrorNotification>&) {
  ended();
  loop_.settle();
}

void Wire::on_readable(const Poco::AutoPtr<ReadableNotification>&) {
  if (closed_) return;
  if (!opened_) check_opened();
  auto buffer = loop_.buffers_.take();
  // A few rounds at most: others wait for their turn, and what is left is told again.
  for (int round = 0; round < 4 && !closed_ && !paused_; ++round) {
    int got = 0;
    bool broken = false;
    try {
      got = socket_.receiveBytes(buffer->bytes.data(), static_cast<int>(BufferPool::buffer_size));
    } catch (const Poco::Exception&) {
      broken = true;
    }
    if (broken || got == 0) {
      ended();
      break;
    }
    if (got < 0) break;
    constexpr std::size_t most_discarded = 1 << 20;  // more is a flood that no reader of the answer sends
    if (closing_ && (discarded_ += static_cast<std::size_t>(got)) > most_discarded) close();
    if (user_) user_->wire_brought({buffer->bytes.data(), static_cast<std::size_t>(got)});
    if (got < static_cast<int>(BufferPool::buffer_size)) break;
  }
  loop_.buffers_.give_back(std::move(buffer));
  loop_.settle();
}

// ---- Door ----

// As many as may come in a moment; the system cuts it to its own limit.
constexpr int backlog = 512;

Door::Door(Loop& loop, const Poco::Net::SocketAddress& at,
           std::function<void(const Poco::Net::StreamSocket&)> came)
    : loop_(loop), came_(std::move(came)) {
  socket_.bind(at, true, false);
  socket_.listen(backlog);
  socket_.setBlocking(false);
  ++loop_.descriptors_;
  listen(true);
}

Door::~Door() { close(); }

// Guards against what the system took and nobody accepted: closed with the door, it would be reset.
void Door::shut() {
  if (shut_) return;
  listen(false);
  take(backlog);
  close();
}

void Door::close() {
  if (shut_) return;
  shut_ = true;
  *alive_ = false;
  listen(false);
  socket_.close();
  --loop_.descriptors_;
}

void Door::listen(bool wanted) {
  if (wanted == listening_) return;
  listening_ = wanted;
  const NObserver<Door, ReadableNotification> observer(*this, &Door::on_readable);
  if (wanted) loop_.addEventHandler(socket_, observer);
  else loop_.removeEventHandler(socket_, observer);
}

// Guards against spinning on a connection that can't be accepted: those that wait stay in the backlog.
void Door::rest() {
  listen(false);
  loop_.at(loop_.now() + std::chrono::milliseconds(20), [this, alive = alive_] {
    if (*alive) listen(true);
  });
}

// False where one could not be accepted: out of descriptors, or the peer was gone again.
bool Door::take(int most) {
  for (int count = 0; count < most; ++count) {
    try {
      if (!socket_.poll(Poco::Timespan(0, 0), Poco::Net::Socket::SELECT_READ)) return true;
      came_(socket_.acceptConnection());
    } catch (const Poco::Exception&) {
      return false;
    }
  }
  return true;
}

void Door::on_readable(const Poco::AutoPtr<ReadableNotification>&) {
  // A few at a time, so that what they say is read before others are taken: in a burst a full table would
  // else take those for idle that have called.
  if (!shut_ && !take(16)) rest();
  loop_.settle();
}

}  // namespace pearchute::net

// Wire of the driver: one TCP connection, from connecting to its end.
#include <algorithm>
#include <array>
#include <cstring>

#include "net/driver.h"

namespace pearchute::net {

Connection::Connection(Loop& loop, const Poco::Net::StreamSocket& accepted, Listener& listener)
    : loop_(loop), socket_(accepted), listener_(&listener), opened_(true) {
  ++loop_.descriptors_;
  set_no_delay(descriptor());
  start();
}

Connection::Connection(Loop& loop, const Poco::Net::SocketAddress& to, Listener& listener)
    : loop_(loop), listener_(&listener), to_(to) {
  ++loop_.descriptors_;
  connect();
}

void Connection::connect() {
  ++connects_;
  const Opened opened = begin_connect(*to_);
  error_ = opened.error;
  if (!opened.is_open()) return connect_again();
  socket_ = socket_of(opened.descriptor);
  start();
}

// Guards against shortages of this machine's that are taken for the peer's absence: a few are sat out.
void Connection::connect_again() {
  constexpr int most_connects = 20;
  constexpr std::chrono::milliseconds between(10);
  const bool passes = failure_of(error_) == Failure::not_now && connects_ < most_connects;
  // Told after the event at hand, as any other ending is.
  const auto next = [this, alive = alive_, passes] {
    if (!*alive || closed_) return;
    passes ? connect() : ended();
  };
  if (passes) loop_.at(loop_.now() + between, next);
  else loop_.post(next);
}

// Nothing waits for a socket that can't ever be watched: it is as good as broken.
void Connection::start() {
  has_socket_ = true;
  interest_ = {!paused_, !opened_ || writable_wanted_, false};
  watch_ = loop_.watch(descriptor(), interest_, *this);
  if (watch_) return;
  loop_.post([this, alive = alive_] {
    if (*alive) ended();
  });
}

Connection::~Connection() {
  close();
  *alive_ = false;
}

void Connection::leave_socket() {
  if (!has_socket_) return;
  has_socket_ = false;
  if (watch_) loop_.unwatch(*watch_);
  watch_.reset();
  socket_.close();
}

void Connection::close() {
  if (closed_) return;
  closed_ = true;
  listener_ = nullptr;
  --loop_.descriptors_;
  if (has_socket_ && writing_shut_down_) discard();
  leave_socket();
  for (auto& buffer : out_) loop_.buffers_.give_back(std::move(buffer));
  out_.clear();
  waiting_ = 0;
}

// Guards against bytes that lie with the system while the peer takes nothing, and would come to it long after
// they have lost their meaning.
void Connection::abort() {
  if (!closed_ && has_socket_) reset_at_close(descriptor());
  close();
}

bool Connection::peer_has_ended() const {
  return closed_ || (has_socket_ && net::peer_has_ended(descriptor()));
}

std::size_t Connection::unsent() const {
  return waiting_ + (has_socket_ && opened_ ? unsent_bytes(descriptor()) : 0);
}

bool Connection::reset_as_it_opened() const { return !opened_ && is_reset(error_); }

void Connection::close_when_written() {
  listener_ = nullptr;
  closing_ = true;
  pause(false);
  if (waiting_ == 0) shut_down_writing();
}

// Guards against a last answer that is lost because its reader is still sending: closed at once, the system
// would answer what comes with a reset. So the end is said, and what comes is thrown away, within bounds.
void Connection::shut_down_writing() {
  if (closed_ || writing_shut_down_) return;
  writing_shut_down_ = true;
  if (!has_socket_ || !say_end(descriptor())) close();
}

// Guards against the reset that a close over unread bytes would be: it would take the last answer along.
void Connection::discard() {
  std::array<char, 4096> bytes;
  constexpr int most = 64;  // a flood goes on all the same
  for (int i = 0; i < most; ++i) {
    if (receive_some(descriptor(), bytes.data(), bytes.size()).status != TransferStatus::done) return;
  }
}

void Connection::update_interest() {
  if (closed_ || !watch_) return;
  const Readiness wanted{!paused_, !opened_ || writable_wanted_, false};
  if (wanted == interest_) return;
  interest_ = wanted;
  loop_.change_interest(*watch_, wanted);
}

void Connection::pause(bool paused) {
  if (closed_ || paused == paused_) return;
  paused_ = paused;
  update_interest();
}

void Connection::send(std::string_view bytes) {
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

void Connection::offer() {
  if (closed_ || closing_ || !opened_ || flush_due_ || flushing_ || writable_wanted_) return;
  flush_due_ = true;  // what one event makes for a peer goes out together
  loop_.post([this, alive = alive_] {
    if (!*alive) return;
    flush_due_ = false;
    flush();
  });
}

void Connection::skip(std::size_t bytes) {
  while (bytes > 0 && !out_.empty()) {
    BufferPool::Buffer& buffer = *out_.front();
    const std::size_t part = std::min(bytes, buffer.end - buffer.begin);
    buffer.begin += part, bytes -= part, waiting_ -= part, written_ += part;
    if (buffer.begin < buffer.end) return;
    loop_.buffers_.give_back(std::move(out_.front()));
    out_.pop_front();
  }
}

void Connection::flush() {
  while (!closed_) {
    if (out_.empty() && listener_) {
      flushing_ = true;
      listener_->on_writable();
      flushing_ = false;
    }
    if (closed_ || out_.empty()) break;
    BufferPool::Buffer& buffer = *out_.front();
    const Transfer sent =
        send_some(descriptor(), buffer.bytes.data() + buffer.begin, buffer.end - buffer.begin);
    if (sent.status == TransferStatus::not_now) {
      writable_wanted_ = true;
      return update_interest();
    }
    if (sent.status != TransferStatus::done) {
      error_ = sent.error;
      return ended();
    }
    buffer.begin += sent.bytes, written_ += sent.bytes, waiting_ -= sent.bytes;
    if (buffer.begin == buffer.end) {
      loop_.buffers_.give_back(std::move(out_.front()));
      out_.pop_front();
    }
  }
  if (closed_) return;
  writable_wanted_ = false;
  update_interest();
  if (closing_) shut_down_writing();
}

void Connection::ended() {
  if (closed_) return;
  Listener* listener = listener_;
  close();
  if (listener) listener->on_closed();
}

void Connection::check_opened() {
  error_ = pending_error(descriptor());
  if (error_ != 0) {
    if (failure_of(error_) == Failure::never) return ended();
    leave_socket();
    return connect_again();
  }
  opened_ = true;
  to_.reset();
  set_no_delay(descriptor());
  update_interest();
  if (listener_) listener_->on_opened();
}

void Connection::socket_ready(Readiness what) {
  if (!opened_) check_opened();
  if (!opened_ || closed_) return;
  const bool was_paused = paused_;
  if (what.readable && !was_paused) read();
  if (what.writable && !closed_) flush();
  if (closed_) return;
  // Where nothing is read, only an end of both directions makes it readable.
  if (!what.broken && !(was_paused && what.readable)) return;
  error_ = pending_error(descriptor());
  ended();
}

void Connection::read() {
  auto buffer = loop_.buffers_.take();
  // A few rounds at most: others wait for their turn, and what is left is told again.
  constexpr int most_rounds = 4;
  // Of one that is only read to be thrown away nothing can matter any more, however much it still sends.
  const auto note_unread_left = [this] {
    if (listener_) loop_.note_unread_left();
  };
  for (int round = 0; round < most_rounds && !closed_ && !paused_; ++round) {
    const Transfer got = receive_some(descriptor(), buffer->bytes.data(), BufferPool::buffer_size);
    if (got.status == TransferStatus::not_now) {
      if (round == 0) note_unread_left();  // the system has said that there is something
      break;
    }
    if (round + 1 == most_rounds) note_unread_left();
    if (got.status != TransferStatus::done) {
      error_ = got.error;
      ended();
      break;
    }
    constexpr std::size_t most_discarded = 1 << 20;  // more is a flood that no reader of the answer sends
    if (closing_ && (discarded_ += got.bytes) > most_discarded) close();
    if (listener_) listener_->on_data({buffer->bytes.data(), got.bytes});
    if (got.bytes == BufferPool::buffer_size) continue;
    if (!closed_ && !paused_ && net::has_unread(descriptor())) note_unread_left();  // a read that fell short
    break;
  }
  loop_.buffers_.give_back(std::move(buffer));
}

}  // namespace pearchute::net

// Connection: one TCP connection, from connecting to closing.
#include "net/connection.h"

#include <algorithm>
#include <array>
#include <cstring>

#include "net/event_loop.h"

namespace pearchute::net {

Connection::Connection(Loop& loop, const Poco::Net::StreamSocket& accepted, Listener& listener)
    : loop_(loop), socket_(accepted), listener_(&listener), opened_(true) {
  ++loop_.descriptors_;
  set_no_delay(descriptor());
  start_watching();
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
  if (!opened.is_open()) return retry_connect();
  socket_ = socket_of(opened.descriptor);
  start_watching();
}

// Retries a failed connect or reports the end. Guards against taking a shortage on this machine for the
// absence of the peer: connects that fail for a transient cause are made up to 20 times.
void Connection::retry_connect() {
  constexpr int max_connects = 20;
  constexpr std::chrono::milliseconds retry_interval(10);
  const bool is_transient = failure_of(error_) == Failure::not_now && connects_ < max_connects;
  // The listener is called after the current event, as for any other end.
  const auto next = [this, alive = alive_, is_transient] {
    if (!*alive || closed_) return;
    is_transient ? connect() : close_and_notify();
  };
  if (is_transient) loop_.at(loop_.now() + retry_interval, next);
  else loop_.post(next);
}

// A socket that can't be watched is treated as broken, since its events would never arrive.
void Connection::start_watching() {
  has_socket_ = true;
  interest_ = {!paused_, !opened_ || writable_wanted_, false};
  watch_ = loop_.watch(descriptor(), interest_, *this);
  if (watch_) return;
  loop_.post([this, alive = alive_] {
    if (*alive) close_and_notify();
  });
}

Connection::~Connection() {
  close();
  *alive_ = false;
}

void Connection::close_socket() {
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
  if (has_socket_ && writing_shut_down_) discard_input();
  close_socket();
  for (auto& buffer : unsent_buffers_) loop_.buffers_.give_back(std::move(buffer));
  unsent_buffers_.clear();
  waiting_ = 0;
}

// Guards against bytes that the system holds while the peer doesn't read, and that would reach it long after
// they are outdated.
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

// Guards against the loss of the last answer while its reader still sends: after a close, the system would
// answer further data with a reset. So only the sending direction is shut down, and received data is
// discarded, up to a limit.
void Connection::shut_down_writing() {
  if (closed_ || writing_shut_down_) return;
  writing_shut_down_ = true;
  if (!has_socket_ || !shut_down_sending(descriptor())) close();
}

// Reads and discards input before a close. Guards against the reset that the system sends on a close with
// unread bytes, which would destroy the last answer.
void Connection::discard_input() {
  std::array<char, 4096> bytes;
  constexpr int max_reads = 64;  // a peer that floods the connection is reset
  for (int i = 0; i < max_reads; ++i) {
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
    if (unsent_buffers_.empty() || unsent_buffers_.back()->end == BufferPool::buffer_size)
      unsent_buffers_.push_back(loop_.buffers_.take());
    BufferPool::Buffer& buffer = *unsent_buffers_.back();
    const std::size_t part = std::min(bytes.size(), BufferPool::buffer_size - buffer.end);
    std::memcpy(buffer.bytes.data() + buffer.end, bytes.data(), part);
    buffer.end += part;
    bytes.remove_prefix(part);
  }
  request_write();
}

void Connection::request_write() {
  if (closed_ || closing_ || !opened_ || flush_due_ || flushing_ || writable_wanted_) return;
  flush_due_ = true;  // the data of one event is written together
  loop_.post([this, alive = alive_] {
    if (!*alive) return;
    flush_due_ = false;
    flush();
  });
}

void Connection::discard_front(std::size_t bytes) {
  while (bytes > 0 && !unsent_buffers_.empty()) {
    BufferPool::Buffer& buffer = *unsent_buffers_.front();
    const std::size_t part = std::min(bytes, buffer.end - buffer.begin);
    buffer.begin += part, bytes -= part, waiting_ -= part, written_ += part;
    if (buffer.begin < buffer.end) return;
    loop_.buffers_.give_back(std::move(unsent_buffers_.front()));
    unsent_buffers_.pop_front();
  }
}

void Connection::flush() {
  while (!closed_) {
    if (unsent_buffers_.empty() && listener_) {
      flushing_ = true;
      listener_->on_writable();
      flushing_ = false;
    }
    if (closed_ || unsent_buffers_.empty()) break;
    BufferPool::Buffer& buffer = *unsent_buffers_.front();
    const Transfer sent =
        send_some(descriptor(), buffer.bytes.data() + buffer.begin, buffer.end - buffer.begin);
    if (sent.status == TransferStatus::not_now) {
      writable_wanted_ = true;
      return update_interest();
    }
    if (sent.status != TransferStatus::done) {
      error_ = sent.error;
      return close_and_notify();
    }
    buffer.begin += sent.bytes, written_ += sent.bytes, waiting_ -= sent.bytes;
    if (buffer.begin == buffer.end) {
      loop_.buffers_.give_back(std::move(unsent_buffers_.front()));
      unsent_buffers_.pop_front();
    }
  }
  if (closed_) return;
  writable_wanted_ = false;
  update_interest();
  if (closing_) shut_down_writing();
}

void Connection::close_and_notify() {
  if (closed_) return;
  Listener* listener = listener_;
  close();
  if (listener) listener->on_closed();
}

void Connection::check_opened() {
  error_ = pending_error(descriptor());
  if (error_ != 0) {
    if (failure_of(error_) == Failure::never) return close_and_notify();
    close_socket();
    return retry_connect();
  }
  opened_ = true;
  to_.reset();
  set_no_delay(descriptor());
  update_interest();
  if (listener_) listener_->on_opened();
}

void Connection::on_socket_ready(Readiness ready) {
  if (!opened_) check_opened();
  if (!opened_ || closed_) return;
  const bool was_paused = paused_;
  if (ready.readable && !was_paused) read();
  if (ready.writable && !closed_) flush();
  if (closed_) return;
  // A paused socket becomes readable only when both directions are closed.
  if (!ready.broken && !(was_paused && ready.readable)) return;
  error_ = pending_error(descriptor());
  close_and_notify();
}

void Connection::read() {
  auto buffer = loop_.buffers_.take();
  // Limits the rounds so that other sockets get their turn; the next poll reports the remaining data.
  constexpr int max_rounds = 4;
  // Unread data doesn't matter on a connection whose input is discarded.
  const auto note_unread_data = [this] {
    if (listener_) loop_.note_unread_data();
  };
  for (int round = 0; round < max_rounds && !closed_ && !paused_; ++round) {
    const Transfer got = receive_some(descriptor(), buffer->bytes.data(), BufferPool::buffer_size);
    if (got.status == TransferStatus::not_now) {
      if (round == 0) note_unread_data();  // the poll reported data
      break;
    }
    if (round + 1 == max_rounds) note_unread_data();
    if (got.status != TransferStatus::done) {
      error_ = got.error;
      close_and_notify();
      break;
    }
    constexpr std::size_t max_discarded_bytes =
        1 << 20;  // more than any client sends that still reads its answer
    if (closing_ && (discarded_ += got.bytes) > max_discarded_bytes) close();
    if (listener_) listener_->on_data({buffer->bytes.data(), got.bytes});
    if (got.bytes == BufferPool::buffer_size) continue;
    if (!closed_ && !paused_ && net::has_unread(descriptor()))
      note_unread_data();  // data arrived after the read
    break;
  }
  loop_.buffers_.give_back(std::move(buffer));
}

}  // namespace pearchute::net

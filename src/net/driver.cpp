#include "net/driver.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "net/log.h"

namespace pearchute::net {

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

namespace {

epoll_event event_for(Readiness interest, WatchId id) {
  epoll_event event{};
  event.events = (interest.readable ? EPOLLIN : 0U) | (interest.writable ? EPOLLOUT : 0U);
  event.data.u64 = id.value;
  return event;
}

// Heeds only what the socket is watched for by now: an event before this one, or the system's being short of
// memory, may have left another interest with the system.
Readiness readiness_in(const epoll_event& event, Readiness interest) {
  const bool both_have_ended = (event.events & EPOLLHUP) != 0;
  const bool has_bytes = (event.events & EPOLLIN) != 0 && interest.readable;
  const bool has_room = (event.events & EPOLLOUT) != 0 && interest.writable;
  return {both_have_ended || has_bytes, has_room, (event.events & EPOLLERR) != 0};
}

}  // namespace

Loop::Loop() : poll_descriptor_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (poll_descriptor_ >= 0) return;
  const Failure failure = last_failure();
  const std::string wrong = "no event loop can be had: " + text_of_last_error();
  if (failure == Failure::not_now) throw ResourceShortage(wrong);
  throw SystemError(wrong);
}

// What was put off would reach into what is gone by now.
Loop::~Loop() {
  soon_.clear(), timers_.clear(), when_caught_up_.clear();
  retired_.clear(), finishing_.clear();
  ::close(poll_descriptor_);
}

std::optional<WatchId> Loop::watch(int descriptor, Readiness interest, Watcher& watcher) {
  const WatchId id{next_watch_++};
  Watch& watch = watches_[id.value];
  watch.watcher = &watcher, watch.descriptor = descriptor, watch.interest = interest;
  if (tell_interest(id, watch) != Failure::never) return id;
  watches_.erase(id.value);
  return std::nullopt;
}

void Loop::change_interest(WatchId id, Readiness interest) {
  const auto found = watches_.find(id.value);
  if (found == watches_.end()) return;
  found->second.interest = interest;
  tell_interest(id, found->second);
}

void Loop::unwatch(WatchId id) {
  const auto found = watches_.find(id.value);
  if (found == watches_.end()) return;
  const Watch& watch = found->second;
  if (watch.is_known) ::epoll_ctl(poll_descriptor_, EPOLL_CTL_DEL, watch.descriptor, nullptr);
  watches_.erase(found);
}

// Why the system did not take it, if it did not.
std::optional<Failure> Loop::tell_interest(WatchId id, Watch& watch) {
  epoll_event event = event_for(watch.interest, id);
  const int operation = watch.is_known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (::epoll_ctl(poll_descriptor_, operation, watch.descriptor, &event) == 0) {
    watch.is_known = true;
    return std::nullopt;
  }
  const Failure failure = last_failure();
  if (failure == Failure::not_now) tell_interest_later(id, watch);
  return failure;
}

// Guards against a socket that is never heard again because the system was short of memory for a moment: it
// is told later what the socket is watched for by then.
void Loop::tell_interest_later(WatchId id, Watch& watch) {
  if (std::exchange(watch.is_later, true)) return;
  ++unwatched_;
  constexpr std::chrono::milliseconds later(10);
  at(now() + later, [this, id] {
    --unwatched_;
    const auto found = watches_.find(id.value);
    if (found == watches_.end()) return;
    found->second.is_later = false;
    tell_interest(id, found->second);
  });
}

// Guards the other events against an error within one of them, which is logged and counted.
template <class What>
void Loop::guarded(What what) {
  try {
    what();
  } catch (const std::exception& error) {
    ++failed_events_;
    PEARCHUTE_LOG(spdlog::level::err, "an event was cut short: {}", error.what());
  }
}

void Loop::run() {
  while (!stopped_) {
    wait();
    run_timers();
  }
}

// Keeps when it was last known that nothing lay unread. Where a wait had to wait, nothing lay there before
// it; else what it brought may have come at any time since the last look. Guards against a process that had
// no turn when its wait was over: it took longer than was asked for, and nobody knows when in it the system
// looked.
void Loop::note_wait(Span begun, Span at_most, bool looked) {
  constexpr Span waited = std::chrono::milliseconds(1), overslept = std::chrono::milliseconds(10);
  const Span ended = now();
  const bool had_to_wait = ended - begun > waited;
  const bool had_no_turn = ended - begun > at_most + overslept;
  if (had_no_turn) unread_since_ = begun;
  else if (had_to_wait) unread_since_ = ended;
  else unread_since_ = polled_;
  // One that a signal interrupted has looked for nothing since it began, or, at once, since the one before.
  if (had_no_turn || (!looked && had_to_wait)) polled_ = begun;
  else if (looked) polled_ = ended;
}

// Guards against acting on what is known while a peer has said otherwise some time ago: after a time without
// a turn, what came is read before anything leaves that can wait. The longest that this takes is again half
// of the tenth of a second within which an attempt may begin after its client has gone.
void Loop::note_backlog(int found) {
  constexpr std::chrono::milliseconds at_most(50);
  looked_at_ = now();
  if (!behind_since_ && found > 0 && looked_at_ - unread_since_ > stale_after) behind_since_ = looked_at_;
  if (behind_since_ && found != 0 && looked_at_ - *behind_since_ <= at_most) return;
  behind_since_.reset();
  for (auto& what : when_caught_up_) soon(std::move(what));
  when_caught_up_.clear();
}

void Loop::when_caught_up(std::function<void()> what) {
  if (is_behind()) when_caught_up_.push_back(std::move(what));
  else soon(std::move(what));
}

// Sockets before timers: where the process had no turn for a while, what has come meanwhile counts before
// the time that has passed.
void Loop::wait() {
  constexpr int most_events = 256;
  std::array<epoll_event, most_events> events;
  // A wait that a signal ends early has found nothing, and the next one waits for what is left by then.
  const int at_most_ms = wait_ms();
  const Span begun = now();
  const int found = ::epoll_wait(poll_descriptor_, events.data(), most_events, at_most_ms);
  note_wait(begun, std::chrono::milliseconds(at_most_ms), found >= 0);
  note_backlog(found);
  unread_left_ = found < 0 || found == most_events, accepted_ = false;
  for (int i = 0; i < found && !stopped_; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    const auto found_watch = watches_.find(event.data.u64);
    if (found_watch == watches_.end()) continue;  // an event before it has ended this one
    const Watch watch = found_watch->second;
    const Readiness ready = readiness_in(event, watch.interest);
    if (ready == Readiness{}) continue;
    guarded([&] { watch.watcher->socket_ready(ready); });
    settle();
  }
  note_look(begun);
}

// A look finds all that had come to watched sockets by when it began. What came on connections that it
// accepted is found by the next one.
void Loop::note_look(Span begun) {
  if (unread_left_ || unwatched_ > 0) {
    last_whole_look_.reset();
  } else {
    if (!accepted_) read_up_to_ = begun;
    else if (last_whole_look_) read_up_to_ = *last_whole_look_;
    last_whole_look_ = begun;
  }
  if (!look_listener_ || !look_listener_->needs()) return;
  guarded(look_listener_->what);
  settle();
}

void Loop::after_each_look(std::function<bool()> needs, std::function<void()> what) {
  look_listener_ = LookListener{std::move(needs), std::move(what)};
}

Span Loop::now() const { return std::chrono::duration_cast<Span>(std::chrono::steady_clock::now() - start_); }

void Loop::at(Span when, std::function<void()> what) {
  timers_.push_back({when, next_order_++, std::move(what)});
  std::push_heap(timers_.begin(), timers_.end());
}

int Loop::wait_ms() const {
  // To the next timer, a tenth of a second at most. Rounded up to whole milliseconds, which is what the wait
  // counts in: rounded down, it would spin through the last one.
  if (is_behind()) return 0;
  Span wait = std::chrono::milliseconds(100);
  // While something can't be read yet, looking at once would find the same again.
  constexpr Span between_looks = std::chrono::milliseconds(2);
  if (look_listener_ && look_listener_->needs())
    wait = unread_left_ || unwatched_ > 0 ? between_looks : Span(0);
  if (!timers_.empty()) wait = std::clamp(timers_.front().when - now(), Span(0), wait);
  return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
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
  const std::uint64_t written = wire->written();
  finishing_.push_back({std::move(wire), now(), now(), written});
}

// Guards against peers that neither read nor end, or read so slowly that it comes to the same. One that reads
// on gets all that it was sent.
void Loop::close_those_that_stand_still() {
  constexpr std::chrono::seconds stands_still_after(1), at_most(10);
  const Span at = now();
  for (Finishing& one : finishing_) {
    if (one.wire->written() != one.written) one.written = one.wire->written(), one.moved_at = at;
    if (at - one.moved_at >= stands_still_after || at - one.since >= at_most) one.wire->close();
  }
  std::erase_if(finishing_, [](const Finishing& one) { return one.wire->closed(); });
}

bool Loop::all_written() const {
  return std::ranges::all_of(finishing_, [](const Finishing& one) { return one.wire->waiting() == 0; });
}

void Loop::cut_finishing() {
  if (finishing_.empty()) return;
  retire(std::move(finishing_.front().wire));
  finishing_.pop_front();
}

void Loop::settle() {
  if (settling_) return;
  settling_ = true;
  while (!soon_.empty()) {
    const std::function<void()> what = std::move(soon_.front());
    soon_.pop_front();
    guarded(what);  // else nothing that is put off would ever come up again
  }
  retired_.clear();
  close_those_that_stand_still();
  settling_ = false;
}

void Loop::run_timers() {
  if (!timers_.empty() && now() - timers_.front().when > std::chrono::milliseconds(40)) {
    PEARCHUTE_LOG(spdlog::level::warn, "held up: a timer comes {} ms late",
                  (now() - timers_.front().when).count() / 1000);
  }
  while (!timers_.empty() && timers_.front().when <= now()) {
    std::pop_heap(timers_.begin(), timers_.end());
    const std::function<void()> what = std::move(timers_.back().what);
    timers_.pop_back();
    guarded(what);
    settle();
  }
  settle();
}

// ---- Wire ----

namespace {

Poco::Net::StreamSocket socket_of(int descriptor) {
  return Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptor));
}

}  // namespace

Wire::Wire(Loop& loop, const Poco::Net::StreamSocket& accepted, User& user)
    : loop_(loop), socket_(accepted), user_(&user), opened_(true) {
  ++loop_.descriptors_;
  set_no_delay(descriptor());
  start();
}

Wire::Wire(Loop& loop, const Poco::Net::SocketAddress& to, User& user) : loop_(loop), user_(&user), to_(to) {
  ++loop_.descriptors_;
  connect();
}

void Wire::connect() {
  ++connects_;
  const Opened opened = begin_connect(*to_);
  error_ = opened.error;
  if (!opened.is_open()) return connect_again();
  socket_ = socket_of(opened.descriptor);
  start();
}

// Guards against shortages of this machine's that are taken for the peer's absence: a few are sat out.
void Wire::connect_again() {
  constexpr int most_connects = 20;
  constexpr std::chrono::milliseconds between(10);
  const bool passes = failure_of(error_) == Failure::not_now && connects_ < most_connects;
  // Told after the event at hand, as any other ending is.
  const auto next = [this, alive = alive_, passes] {
    if (!*alive || closed_) return;
    passes ? connect() : ended();
  };
  if (passes) loop_.at(loop_.now() + between, next);
  else loop_.soon(next);
}

// Nothing waits for a socket that can't ever be watched: it is as good as broken.
void Wire::start() {
  has_socket_ = true;
  interest_ = {!paused_, !opened_ || writable_wanted_, false};
  watch_ = loop_.watch(descriptor(), interest_, *this);
  if (watch_) return;
  loop_.soon([this, alive = alive_] {
    if (*alive) ended();
  });
}

Wire::~Wire() {
  close();
  *alive_ = false;
}

void Wire::leave_socket() {
  if (!has_socket_) return;
  has_socket_ = false;
  if (watch_) loop_.unwatch(*watch_);
  watch_.reset();
  socket_.close();
}

void Wire::close() {
  if (closed_) return;
  closed_ = true;
  user_ = nullptr;
  --loop_.descriptors_;
  if (has_socket_ && told_end_) discard();
  leave_socket();
  for (auto& buffer : out_) loop_.buffers_.give_back(std::move(buffer));
  out_.clear();
  waiting_ = 0;
}

// Guards against bytes that lie with the system while the peer takes nothing, and would come to it long after
// they have lost their meaning.
void Wire::abort() {
  if (!closed_ && has_socket_) reset_at_close(descriptor());
  close();
}

bool Wire::peer_has_ended() const { return closed_ || (has_socket_ && net::peer_has_ended(descriptor())); }

std::size_t Wire::unsent() const {
  return waiting_ + (has_socket_ && opened_ ? unsent_bytes(descriptor()) : 0);
}

bool Wire::reset_as_it_opened() const { return !opened_ && is_reset(error_); }

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
  if (!has_socket_ || !say_end(descriptor())) close();
}

// Guards against the reset that a close over unread bytes would be: it would take the last answer along.
void Wire::discard() {
  std::array<char, 4096> bytes;
  constexpr int most = 64;  // a flood goes on all the same
  for (int i = 0; i < most; ++i) {
    if (receive_some(descriptor(), bytes.data(), bytes.size()).status != TransferStatus::done) return;
  }
}

void Wire::update_interest() {
  if (closed_ || !watch_) return;
  const Readiness wanted{!paused_, !opened_ || writable_wanted_, false};
  if (wanted == interest_) return;
  interest_ = wanted;
  loop_.change_interest(*watch_, wanted);
}

void Wire::pause(bool paused) {
  if (closed_ || paused == paused_) return;
  paused_ = paused;
  update_interest();
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
  loop_.soon([this, alive = alive_] {
    if (!*alive) return;
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
  if (closing_) say_the_end();
}

void Wire::ended() {
  if (closed_) return;
  User* user = user_;
  close();
  if (user) user->wire_ended();
}

void Wire::check_opened() {
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
  if (user_) user_->wire_opened();
}

void Wire::socket_ready(Readiness what) {
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

void Wire::read() {
  auto buffer = loop_.buffers_.take();
  // A few rounds at most: others wait for their turn, and what is left is told again.
  constexpr int most_rounds = 4;
  for (int round = 0; round < most_rounds && !closed_ && !paused_; ++round) {
    const Transfer got = receive_some(descriptor(), buffer->bytes.data(), BufferPool::buffer_size);
    if (got.status == TransferStatus::not_now) {
      if (round == 0) loop_.note_unread_left();  // the system has said that there is something
      break;
    }
    if (round + 1 == most_rounds) loop_.note_unread_left();
    if (got.status != TransferStatus::done) {
      error_ = got.error;
      ended();
      break;
    }
    constexpr std::size_t most_discarded = 1 << 20;  // more is a flood that no reader of the answer sends
    if (closing_ && (discarded_ += got.bytes) > most_discarded) close();
    if (user_) user_->wire_brought({buffer->bytes.data(), got.bytes});
    if (got.bytes == BufferPool::buffer_size) continue;
    if (!closed_ && !paused_ && net::has_unread(descriptor()))
      loop_.note_unread_left();  // a read that fell short
    break;
  }
  loop_.buffers_.give_back(std::move(buffer));
}

// ---- Door ----

namespace {

// As many as may come in a moment; the system cuts it to its own limit.
constexpr int backlog = 512;

}  // namespace

Door::Door(Loop& loop, const Poco::Net::SocketAddress& at,
           std::function<void(const Poco::Net::StreamSocket&)> came)
    : loop_(loop), came_(std::move(came)) {
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

Door::~Door() { close(); }

// Guards against what the system took and nobody accepted: closed with the door, it would be reset.
void Door::shut() {
  if (shut_ || shutting_) return;
  shutting_ = true;
  if (watch_) loop_.unwatch(*watch_);
  watch_.reset();
  constexpr std::chrono::milliseconds at_most(100);
  take_the_rest(loop_.now() + at_most);
}

void Door::take_the_rest(Span until) {
  if (shut_) return;
  if (take(backlog) == Taken::all || loop_.now() >= until) return close();
  constexpr std::chrono::milliseconds between(2);
  loop_.at(loop_.now() + between, [this, alive = alive_, until] {
    if (*alive) take_the_rest(until);
  });
}

void Door::close() {
  if (shut_) return;
  shut_ = true;
  *alive_ = false;
  if (watch_) loop_.unwatch(*watch_);
  watch_.reset();
  ::close(descriptor_);
  --loop_.descriptors_;
}

// Guards against spinning on a connection that can't be accepted: those that wait stay in the backlog.
void Door::rest() {
  loop_.change_interest(*watch_, {});
  ++loop_.unwatched_;
  loop_.at(loop_.now() + std::chrono::milliseconds(20), [this, &loop = loop_, alive = alive_] {
    --loop.unwatched_;
    if (*alive && watch_) loop_.change_interest(*watch_, {true, false, false});
  });
}

Door::Taken Door::take(int most) {
  for (int count = 0; count < most; ++count) {
    const Accepted one = accept_one(descriptor_);
    switch (one.status) {
      case AcceptStatus::accepted:
        loop_.note_accepted();
        came_(socket_of(one.descriptor));
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
void Door::socket_ready(Readiness) {
  const Span found_since = loop_.unread_since_;
  const Span waits_since = std::min(waits_since_.value_or(found_since), found_since);
  loop_.unread_since_ = waits_since;
  // A few at a time, so that what they say is read before others are taken: in a burst a full table would
  // else take those for idle that have called.
  constexpr int at_a_time = 16;
  const Taken taken = take(at_a_time);
  loop_.unread_since_ = found_since;
  waits_since_ = taken == Taken::all ? std::nullopt : std::optional(waits_since);
  if (taken != Taken::all) loop_.note_unread_left();
  if (taken == Taken::shortage && !shut_) rest();
}

}  // namespace pearchute::net

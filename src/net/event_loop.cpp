// Loop and BufferPool: polling, timers, posted callbacks.
#include "net/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "net/connection.h"
#include "net/log.h"

namespace pearchute::net {

// ---- Buffers ----

std::unique_ptr<BufferPool::Buffer> BufferPool::take() {
  ++in_use_;
  // NOLINTNEXTLINE(modernize-make-unique): that would clear 16 kB for each buffer
  if (idle_.empty()) return std::unique_ptr<Buffer>(new Buffer);
  std::unique_ptr<Buffer> buffer = std::move(idle_.back());
  idle_.pop_back();
  buffer->begin = buffer->end = 0;
  return buffer;
}

void BufferPool::give_back(std::unique_ptr<Buffer> buffer) {
  constexpr std::size_t max_idle = 256;  // 4 MB; further buffers, which a burst needed, are freed
  --in_use_;
  if (idle_.size() < max_idle) idle_.push_back(std::move(buffer));
}

// ---- Loop ----

namespace {

epoll_event event_for(Readiness interest, WatchId id) {
  epoll_event event{};
  event.events = (interest.readable ? EPOLLIN : 0U) | (interest.writable ? EPOLLOUT : 0U);
  event.data.u64 = id.value;
  return event;
}

// Reports only events for which the socket is currently watched. The interest that the system knows may be
// outdated, after an earlier event of the same poll or a shortage of memory.
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
  const std::string wrong = "can't create an event loop: " + text_of_last_error();
  if (failure == Failure::not_now) throw ResourceShortage(wrong);
  throw SystemError(wrong);
}

// Pending callbacks are dropped, since they refer to objects that are destroyed by now.
Loop::~Loop() {
  posted_.clear(), timers_.clear(), when_input_drained_.clear(), deferred_.clear();
  retired_.clear(), finishing_.clear();
  ::close(poll_descriptor_);
}

std::optional<WatchId> Loop::watch(int descriptor, Readiness interest, SocketObserver& observer) {
  const WatchId id{next_watch_++};
  Watch& watch = watches_[id.value];
  watch.observer = &observer, watch.descriptor = descriptor, watch.interest = interest;
  if (register_interest(id, watch) != Failure::never) return id;
  watches_.erase(id.value);
  return std::nullopt;
}

void Loop::change_interest(WatchId id, Readiness interest) {
  const auto found = watches_.find(id.value);
  if (found == watches_.end()) return;
  found->second.interest = interest;
  register_interest(id, found->second);
}

void Loop::unwatch(WatchId id) {
  const auto found = watches_.find(id.value);
  if (found == watches_.end()) return;
  const Watch& watch = found->second;
  if (watch.is_registered) ::epoll_ctl(poll_descriptor_, EPOLL_CTL_DEL, watch.descriptor, nullptr);
  watches_.erase(found);
}

// Returns the failure of the registration, nullopt where it succeeded.
std::optional<Failure> Loop::register_interest(WatchId id, Watch& watch) {
  epoll_event event = event_for(watch.interest, id);
  const int operation = watch.is_registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (::epoll_ctl(poll_descriptor_, operation, watch.descriptor, &event) == 0) {
    watch.is_registered = true;
    return std::nullopt;
  }
  const Failure failure = last_failure();
  if (failure == Failure::not_now) retry_registration_later(id, watch);
  return failure;
}

// Guards against a socket whose events are lost forever because the system was short of memory for a moment:
// the registration is retried with the interest of that time.
void Loop::retry_registration_later(WatchId id, Watch& watch) {
  if (std::exchange(watch.is_retry_scheduled, true)) return;
  ++unwatched_;
  constexpr std::chrono::milliseconds retry_delay(10);
  at(now() + retry_delay, [this, id] {
    --unwatched_;
    const auto found = watches_.find(id.value);
    if (found == watches_.end()) return;
    found->second.is_retry_scheduled = false;
    register_interest(id, found->second);
  });
}

// Runs a callback and logs and counts an exception that it throws, so that other events are not affected.
template <class Callback>
void Loop::run_contained(Callback callback) {
  try {
    callback();
  } catch (const std::exception& error) {
    ++failed_events_;
    PEARCHUTE_LOG(spdlog::level::err, "exception in an event handler: {}", error.what());
  }
}

void Loop::run() {
  while (!stopped_) {
    poll();
    run_timers();
    run_deferred();
  }
}

// Tracks the last time at which no data was unread. Where a poll had to wait, no data was there before its
// end; otherwise the data that it found may have arrived at any time since the previous poll. Guards against
// a stall of the process during the poll: the poll took longer than its timeout, and the time within it at
// which the system checked the sockets is unknown.
void Loop::update_unread_since(TimePoint begun, Duration timeout, bool was_polled) {
  constexpr Duration waited = std::chrono::milliseconds(1), oversleep = std::chrono::milliseconds(10);
  const TimePoint ended = now();
  const bool has_waited = ended - begun > waited;
  const bool was_stalled = ended - begun > timeout + oversleep;
  if (was_stalled) unread_since_ = begun;
  else if (has_waited) unread_since_ = ended;
  else unread_since_ = polled_;
  // A poll that a signal interrupted found nothing since its begin, or, without waiting, since the previous
  // one.
  if (was_stalled || (!was_polled && has_waited)) polled_ = begun;
  else if (was_polled) polled_ = ended;
}

// Guards against acting on outdated state after a stall of the process: input that has arrived meanwhile is
// read before requests are sent. This is limited to the other half of the 100 ms within which an attempt may
// begin after its client has disconnected, see stale_after.
void Loop::update_backlog(int found) {
  constexpr std::chrono::milliseconds max_duration(50);
  last_poll_at_ = now();
  if (!backlog_since_ && found > 0 && last_poll_at_ - unread_since_ > stale_after)
    backlog_since_ = last_poll_at_;
  if (backlog_since_ && found != 0 && last_poll_at_ - *backlog_since_ <= max_duration) return;
  backlog_since_.reset();
  for (auto& callback : when_input_drained_) post(std::move(callback));
  when_input_drained_.clear();
}

void Loop::run_when_input_drained(std::function<void()> callback) {
  if (has_input_backlog()) when_input_drained_.push_back(std::move(callback));
  else post(std::move(callback));
}

// Sockets are handled before timers: after a stall of the process, input that has arrived takes precedence
// over timeouts that have passed.
void Loop::poll() {
  constexpr int max_events = 256;
  std::array<epoll_event, max_events> events;
  // A poll that a signal interrupts finds nothing; the next one waits for the remaining time.
  const int timeout_ms = poll_timeout_ms();
  const TimePoint begun = now();
  const int found = ::epoll_wait(poll_descriptor_, events.data(), max_events, timeout_ms);
  update_unread_since(begun, std::chrono::milliseconds(timeout_ms), found >= 0);
  update_backlog(found);
  has_unread_data_ = found < 0 || found == max_events, accepted_ = false;
  for (int i = 0; i < found && !stopped_; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    const auto found_watch = watches_.find(event.data.u64);
    if (found_watch == watches_.end()) continue;  // unwatched by an earlier event of this poll
    const Watch watch = found_watch->second;
    const Readiness ready = readiness_in(event, watch.interest);
    if (ready == Readiness{}) continue;
    run_contained([&] { watch.observer->on_socket_ready(ready); });
    settle();
  }
  on_poll_end(begun);
}

// A poll finds all data that had arrived at watched sockets by its begin. Data on connections that it
// accepted is found by the next poll.
void Loop::on_poll_end(TimePoint begun) {
  if (has_unread_data_ || unwatched_ > 0) {
    last_complete_poll_.reset();
  } else {
    if (!accepted_) read_up_to_ = begun;
    else if (last_complete_poll_) read_up_to_ = *last_complete_poll_;
    last_complete_poll_ = begun;
  }
  if (!poll_listener_ || !poll_listener_->needs()) return;
  run_contained(poll_listener_->callback);
  settle();
}

void Loop::after_each_poll(std::function<bool()> needs, std::function<void()> callback) {
  poll_listener_ = PollListener{std::move(needs), std::move(callback)};
}

TimePoint Loop::now() const {
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start_));
}

TimerId Loop::at(TimePoint when, std::function<void()> callback) {
  const TimerId id{when, next_order_++};
  timers_.emplace(id, std::move(callback));
  return id;
}

void Loop::cancel(TimerId timer) { timers_.erase(timer); }

void Loop::run_in_next_turn(std::function<void()> callback) { deferred_.push_back(std::move(callback)); }

// Callbacks that are added meanwhile run after the next poll.
void Loop::run_deferred() {
  for (const auto& callback : std::exchange(deferred_, {})) {
    run_contained(callback);
    settle();
  }
}

int Loop::poll_timeout_ms() const {
  // The time until the next timer, 100 ms at most, rounded up to the resolution of the poll. Rounded down,
  // the loop would spin during the last millisecond.
  if (has_input_backlog() || !deferred_.empty()) return 0;
  Duration wait = std::chrono::milliseconds(100);
  // While some data can't be read yet, polling again at once would find the same.
  constexpr Duration poll_interval = std::chrono::milliseconds(2);
  if (poll_listener_ && poll_listener_->needs())
    wait = has_unread_data_ || unwatched_ > 0 ? poll_interval : Duration(0);
  if (!timers_.empty()) wait = std::clamp(timers_.begin()->first.when - now(), Duration(0), wait);
  return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
}

void Loop::post(std::function<void()> callback) { posted_.push_back(std::move(callback)); }

void Loop::retire(std::unique_ptr<Connection> connection) {
  if (!connection) return;
  connection->close();
  retired_.push_back(std::move(connection));
}

void Loop::finish(std::unique_ptr<Connection> connection, TimePoint useful_until) {
  if (!connection) return;
  constexpr std::chrono::seconds min_duration(10);
  connection->close_when_written();
  const std::uint64_t written = connection->written();
  const TimePoint until = std::max<TimePoint>(now() + min_duration, useful_until);
  finishing_.push_back({std::move(connection), until, now(), written});
}

// Guards against peers that neither read nor close. The system takes data for a slow peer in steps that may
// be more than a second apart.
void Loop::close_stalled() {
  constexpr std::chrono::seconds unread_timeout(3), unclosed_timeout(1);
  const TimePoint at = now();
  for (Finishing& one : finishing_) {
    if (one.connection->written() != one.written)
      one.written = one.connection->written(), one.last_write_at = at;
    const Duration stall_timeout = one.has_written_all() ? unclosed_timeout : unread_timeout;
    if (at - one.last_write_at >= stall_timeout || at >= one.until) one.connection->close();
  }
  std::erase_if(finishing_, [](const Finishing& one) { return one.connection->closed(); });
}

bool Loop::Finishing::has_written_all() const { return connection->waiting() == 0; }

bool Loop::all_written() const {
  return std::ranges::all_of(finishing_, [](const Finishing& one) { return one.has_written_all(); });
}

bool Loop::has_written_finishing() const {
  return std::ranges::any_of(finishing_, [](const Finishing& one) { return one.has_written_all(); });
}

bool Loop::close_oldest_written() {
  const auto oldest =
      std::ranges::find_if(finishing_, [](const Finishing& one) { return one.has_written_all(); });
  if (oldest == finishing_.end()) return false;
  retire(std::move(oldest->connection));
  finishing_.erase(oldest);
  return true;
}

void Loop::settle() {
  if (settling_) return;
  settling_ = true;
  while (!posted_.empty()) {
    const std::function<void()> callback = std::move(posted_.front());
    posted_.pop_front();
    run_contained(callback);  // an exception would leave settling_ set and block all posted callbacks
  }
  retired_.clear();
  close_stalled();
  settling_ = false;
}

void Loop::run_timers() {
  if (!timers_.empty() && now() - timers_.begin()->first.when > std::chrono::milliseconds(40)) {
    PEARCHUTE_LOG(spdlog::level::warn, "event loop stalled: timer {} ms late",
                  (now() - timers_.begin()->first.when).count() / 1000);
  }
  while (!timers_.empty() && timers_.begin()->first.when <= now()) {
    const auto timer = timers_.extract(timers_.begin());
    run_contained(timer.mapped());
    settle();
  }
  settle();
}

}  // namespace pearchute::net

// Loop and BufferPool of the driver: waits, timers, what is put off.
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "net/driver.h"
#include "net/log.h"

namespace pearchute::net {

// ---- Buffers ----

std::unique_ptr<BufferPool::Buffer> BufferPool::take() {
  ++out_;
  // NOLINTNEXTLINE(modernize-make-unique): that would clear 16 kB for each buffer
  if (idle_.empty()) return std::unique_ptr<Buffer>(new Buffer);
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
  posted_.clear(), timers_.clear(), when_input_drained_.clear();
  retired_.clear(), finishing_.clear();
  ::close(poll_descriptor_);
}

std::optional<WatchId> Loop::watch(int descriptor, Readiness interest, Watcher& watcher) {
  const WatchId id{next_watch_++};
  Watch& watch = watches_[id.value];
  watch.watcher = &watcher, watch.descriptor = descriptor, watch.interest = interest;
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
  if (watch.is_known) ::epoll_ctl(poll_descriptor_, EPOLL_CTL_DEL, watch.descriptor, nullptr);
  watches_.erase(found);
}

// Why the system did not take it, if it did not.
std::optional<Failure> Loop::register_interest(WatchId id, Watch& watch) {
  epoll_event event = event_for(watch.interest, id);
  const int operation = watch.is_known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (::epoll_ctl(poll_descriptor_, operation, watch.descriptor, &event) == 0) {
    watch.is_known = true;
    return std::nullopt;
  }
  const Failure failure = last_failure();
  if (failure == Failure::not_now) register_interest_later(id, watch);
  return failure;
}

// Guards against a socket that is never heard again because the system was short of memory for a moment: it
// is told later what the socket is watched for by then.
void Loop::register_interest_later(WatchId id, Watch& watch) {
  if (std::exchange(watch.is_later, true)) return;
  ++unwatched_;
  constexpr std::chrono::milliseconds later(10);
  at(now() + later, [this, id] {
    --unwatched_;
    const auto found = watches_.find(id.value);
    if (found == watches_.end()) return;
    found->second.is_later = false;
    register_interest(id, found->second);
  });
}

// Guards the other events against an error within one of them, which is logged and counted.
template <class What>
void Loop::run_contained(What what) {
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
void Loop::note_wait(TimePoint begun, Duration at_most, bool looked) {
  constexpr Duration waited = std::chrono::milliseconds(1), overslept = std::chrono::milliseconds(10);
  const TimePoint ended = now();
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
  if (!backlog_since_ && found > 0 && looked_at_ - unread_since_ > stale_after) backlog_since_ = looked_at_;
  if (backlog_since_ && found != 0 && looked_at_ - *backlog_since_ <= at_most) return;
  backlog_since_.reset();
  for (auto& what : when_input_drained_) post(std::move(what));
  when_input_drained_.clear();
}

void Loop::run_when_input_drained(std::function<void()> what) {
  if (has_input_backlog()) when_input_drained_.push_back(std::move(what));
  else post(std::move(what));
}

// Sockets before timers: where the process had no turn for a while, what has come meanwhile counts before
// the time that has passed.
void Loop::wait() {
  constexpr int most_events = 256;
  std::array<epoll_event, most_events> events;
  // A wait that a signal ends early has found nothing, and the next one waits for what is left by then.
  const int at_most_ms = wait_ms();
  const TimePoint begun = now();
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
    run_contained([&] { watch.watcher->socket_ready(ready); });
    settle();
  }
  note_look(begun);
}

// A look finds all that had come to watched sockets by when it began. What came on connections that it
// accepted is found by the next one.
void Loop::note_look(TimePoint begun) {
  if (unread_left_ || unwatched_ > 0) {
    last_whole_look_.reset();
  } else {
    if (!accepted_) read_up_to_ = begun;
    else if (last_whole_look_) read_up_to_ = *last_whole_look_;
    last_whole_look_ = begun;
  }
  if (!look_listener_ || !look_listener_->needs()) return;
  run_contained(look_listener_->what);
  settle();
}

void Loop::after_each_look(std::function<bool()> needs, std::function<void()> what) {
  look_listener_ = LookListener{std::move(needs), std::move(what)};
}

TimePoint Loop::now() const {
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start_));
}

void Loop::at(TimePoint when, std::function<void()> what) {
  timers_.push_back({when, next_order_++, std::move(what)});
  std::push_heap(timers_.begin(), timers_.end());
}

int Loop::wait_ms() const {
  // To the next timer, a tenth of a second at most. Rounded up to whole milliseconds, which is what the wait
  // counts in: rounded down, it would spin through the last one.
  if (has_input_backlog()) return 0;
  Duration wait = std::chrono::milliseconds(100);
  // While something can't be read yet, looking at once would find the same again.
  constexpr Duration between_looks = std::chrono::milliseconds(2);
  if (look_listener_ && look_listener_->needs())
    wait = unread_left_ || unwatched_ > 0 ? between_looks : Duration(0);
  if (!timers_.empty()) wait = std::clamp(timers_.front().when - now(), Duration(0), wait);
  return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
}

void Loop::post(std::function<void()> what) { posted_.push_back(std::move(what)); }

void Loop::retire(std::unique_ptr<Connection> connection) {
  if (!connection) return;
  connection->close();
  retired_.push_back(std::move(connection));
}

void Loop::finish(std::unique_ptr<Connection> connection) {
  if (!connection) return;
  connection->close_when_written();
  const std::uint64_t written = connection->written();
  finishing_.push_back({std::move(connection), now(), now(), written});
}

// Guards against peers that neither read nor end, or read so slowly that it comes to the same. One that reads
// on gets all that it was sent.
void Loop::close_stalled() {
  constexpr std::chrono::seconds stands_still_after(1), at_most(10);
  const TimePoint at = now();
  for (Finishing& one : finishing_) {
    if (one.connection->written() != one.written) one.written = one.connection->written(), one.moved_at = at;
    if (at - one.moved_at >= stands_still_after || at - one.since >= at_most) one.connection->close();
  }
  std::erase_if(finishing_, [](const Finishing& one) { return one.connection->closed(); });
}

bool Loop::all_written() const {
  return std::ranges::all_of(finishing_, [](const Finishing& one) { return one.connection->waiting() == 0; });
}

void Loop::cut_finishing() {
  if (finishing_.empty()) return;
  retire(std::move(finishing_.front().connection));
  finishing_.pop_front();
}

void Loop::settle() {
  if (settling_) return;
  settling_ = true;
  while (!posted_.empty()) {
    const std::function<void()> what = std::move(posted_.front());
    posted_.pop_front();
    run_contained(what);  // else nothing that is put off would ever come up again
  }
  retired_.clear();
  close_stalled();
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
    run_contained(what);
    settle();
  }
  settle();
}

}  // namespace pearchute::net

// One client's connection, for the front alone: its bytes, its calls in turn, and when its time is up.
#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "front/answers.h"
#include "front/arrival_times.h"
#include "front/front.h"

namespace pearchute::net {

class Front::Client final : public Connection::Listener, public HttpServerSide::Listener {
 public:
  Client(Front& front, ClientId id, const Poco::Net::StreamSocket& socket)
      : front_(front),
        id_(id),
        http_(*this),
        since_(front.loop_.now()),
        stuck_since_(since_),
        came_since_(front.loop_.unread_since()) {
    connection_ = std::make_unique<Connection>(front.loop_, socket, *this);
  }
  ClientId id() const { return id_; }
  HttpServerSide& http() { return http_; }
  Connection& connection() { return *connection_; }
  const Connection& connection() const { return *connection_; }
  std::unique_ptr<Connection> release_connection() { return std::move(connection_); }
  void on_data(std::string_view bytes) override {
    const bool idle = !http_.call_open() && !http_.within_call();
    // The time to a whole call runs from the connection's start or the call's first byte, whatever comes
    // next.
    if (idle && calls_ > 0) since_ = front_.loop_.now();
    // Bytes that come when reading goes on may have come at any time since it stopped.
    TimePoint at = paused_since_.value_or(front_.loop_.unread_since());
    // So may those that came with the connection, where nothing was waited for since it was taken.
    if (http_.bytes_fed() == 0 && at <= since_) at = std::min(at, came_since_);
    const TimePoint now = front_.loop_.now();
    arrivals_.came(http_.bytes_fed() + bytes.size(), std::min(at, now), now);
    http_.feed(bytes);
    if (!connection_->paused()) paused_since_.reset();
    apply_backpressure();
    if (http_.held() >= BufferPool::buffer_size) front_.evict_unparsed_request();
  }
  void on_closed() override { front_.on_client_left(*this, ClientCloseReason::client_left); }
  void called(const std::string& method, const std::string& path, Message& message) override {
    ++front_.counters_.calls, ++calls_;
    owes_answer_ = true;
    call_came_ = arrivals_.of(http_.bytes_taken(), front_.loop_.unread_since());
    call_came_by_ = arrivals_.latest(front_.loop_.now());
    front_.called(*this, method, path, message);
  }
  void refused_call(int status) override {
    ++front_.counters_.bad_calls;
    PEARCHUTE_LOG(spdlog::level::warn, "a call that can't be read: {}", status);
    end_with(status, "the call can't be read", ClientCloseReason::call_unreadable);
  }
  void end_with(int status, std::string_view what, ClientCloseReason reason) {
    std::string out;
    append_response(out, status, "", error_body(what), false);
    connection_->send(out);
    front_.drop(*this, reason);
  }
  bool owes_answer() const { return owes_answer_; }
  void note_answered() { owes_answer_ = false; }
  TimePoint call_came() const { return call_came_; }  // the last byte of the open call, at the earliest
  // The bounds of when it came, as close as this system tells.
  std::pair<TimePoint, TimePoint> call_came_between() {
    constexpr std::chrono::milliseconds close_enough(5);
    const TimePoint now = front_.loop_.now();
    const bool is_last =
        http_.bytes_taken() == http_.bytes_fed() && connection_ && !connection_->has_unread();
    if (call_came_by_ - call_came_ <= close_enough || !is_last) return {call_came_, call_came_by_};
    const auto age = connection_->age_of_last_data();
    if (!age) return {call_came_, call_came_by_};
    const TimePoint earliest = std::max<TimePoint>(call_came_, now - *age - data_age_resolution);
    const TimePoint latest = std::min<TimePoint>(call_came_by_, now - *age + data_age_resolution);
    return earliest <= latest ? std::pair(earliest, latest) : std::pair(call_came_, call_came_by_);
  }
  // Whether what it has written behind its open call may be a call of that key.
  bool may_hold_call_of(std::string_view key) const { return http_.holds_behind(key); }
  // A call's answer has been put out.
  void answered() {
    since_ = front_.loop_.now();
    http_.answered();
    apply_backpressure();
  }
  // Guards against clients that send on without reading, or many calls at once: what is not read stays with
  // them. Their calls get their answers in turn.
  void apply_backpressure() {
    if (!connection_) return;                       // dropped
    constexpr std::size_t most_unread = 64 * 1024;  // more than the largest answer's usual size
    const bool out_of_sight = http_.has_enough() || connection_->waiting() > most_unread;
    const bool was = connection_->paused();
    if (out_of_sight && !was) paused_since_ = front_.loop_.now();
    connection_->pause(out_of_sight);
    // Guards against a client that leaves behind what is not read: its end is not seen, so nothing new begins
    // for it. Clients that make one call at a time and read its answer are never out of sight.
    if (waits_for && out_of_sight) front_.on_client_unreachable(*waits_for);
    else if (waits_for && was) front_.manager_.on_client_reconnected(front_.loop_.now(), *waits_for);
  }

  // It holds its connection for nothing: no call is open, none has come whole.
  bool is_evictable() const { return !http_.call_open() && !waits_for; }
  bool has_made_no_call() const { return calls_ == 0; }
  // The lower, the sooner it goes where places run short, and then the longest at it: one that has said
  // nothing since it came, one that is idle between calls, and last one that may just be about to call.
  std::pair<int, TimePoint> usefulness(TimePoint now) const {
    constexpr std::chrono::milliseconds calls_within(
        250);  // a usual client's first call comes a round trip after it does
    return {calls_ > 0 ? 1 : now - since_ < calls_within ? 2 : 0, since_};
  }
  std::size_t held() const { return http_.held(); }

  // Whether its time is up, and with what status; 0: without a word.
  std::optional<int> overdue(TimePoint now) {
    if (connection_->waiting() > 0) {
      if (connection_->written() != written_) written_ = connection_->written(), stuck_since_ = now;
      // An answer that is read by nobody; a usual client reads at once.
      if (now - stuck_since_ > std::chrono::seconds(3)) return 0;
    } else {
      stuck_since_ = now;
      if (connection_->paused()) apply_backpressure();
    }
    if (!is_evictable()) return std::nullopt;
    // Usual clients send their call as soon as they are connected, in one piece. Clients that keep their
    // connection for longer than usual ones do, four seconds, don't need it to ask again.
    constexpr std::chrono::milliseconds whole_call_within(2000), idle_at_most(5500);
    const bool within = http_.within_call();
    if (now - since_ < (has_made_no_call() || within ? whole_call_within : idle_at_most)) return std::nullopt;
    return within ? 408 : 0;
  }

  std::optional<RequestId> waits_for;
  std::optional<RequestId> may_call;  // it was given this job's path, and has not called it yet

 private:
  Front& front_;
  ClientId id_;
  HttpServerSide http_;
  std::unique_ptr<Connection> connection_;
  TimePoint since_, stuck_since_, came_since_, call_came_{}, call_came_by_{};
  std::optional<TimePoint> paused_since_;  // what came since then was not read at once
  ArrivalTimes arrivals_;
  bool owes_answer_ = false;
  std::uint64_t calls_ = 0, written_ = 0;
};

}  // namespace pearchute::net

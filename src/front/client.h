// One client's connection, private to Front: its bytes, its HTTP requests one after the other, and its
// timeouts.
#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "front/arrival_times.h"
#include "front/front.h"
#include "front/responses.h"

namespace pearchute::net {

class Front::Client final : public Connection::Listener, public HttpServerSide::Listener {
 public:
  Client(Front& front, ClientId id, const Poco::Net::StreamSocket& socket)
      : front_(front),
        id_(id),
        http_(*this),
        accepted_at_(front.loop_.now()),
        state_since_(accepted_at_),
        stuck_since_(accepted_at_),
        connected_since_(front.loop_.unread_since()) {
    connection_ = std::make_unique<Connection>(front.loop_, socket, *this);
  }
  ClientId id() const { return id_; }
  HttpServerSide& http() { return http_; }
  Connection& connection() { return *connection_; }
  const Connection& connection() const { return *connection_; }
  std::unique_ptr<Connection> release_connection() { return std::move(connection_); }
  void on_data(std::string_view bytes) override {
    const bool idle = !http_.has_open_request() && !http_.is_within_request();
    // The timeout of an incomplete HTTP request starts with the connection or the request's first byte, and
    // later bytes don't extend it.
    if (idle && request_count_ > 0) state_since_ = front_.loop_.now();
    // Bytes that are read after a pause may have arrived at any time since its start.
    TimePoint at = paused_since_.value_or(front_.loop_.unread_since());
    // Bytes that are read in the same turn as the connection was accepted may have arrived with it.
    if (http_.received_bytes() == 0 && at <= state_since_) at = std::min(at, connected_since_);
    const TimePoint now = front_.loop_.now();
    arrivals_.record(http_.received_bytes() + bytes.size(), std::min(at, now), now);
    http_.feed(bytes);
    if (!connection_->paused()) paused_since_.reset();
    apply_backpressure();
    if (http_.buffered_bytes() >= BufferPool::buffer_size) front_.evict_unparsed_request();
  }
  void on_closed() override { front_.on_client_left(*this, ClientCloseReason::client_left); }
  void called(const std::string& method, const std::string& path, Message& message) override {
    ++front_.counters_.calls, ++request_count_;
    owes_answer_ = true;
    request_arrival_ = arrivals_.of(http_.consumed_bytes(), front_.loop_.unread_since());
    request_read_by_ = arrivals_.latest(front_.loop_.now());
    front_.on_http_request(*this, method, path, message);
  }
  void refused_call(int status) override {
    ++front_.counters_.bad_calls;
    PEARCHUTE_LOG(spdlog::level::warn, "HTTP request malformed or too large: status={}", status);
    end_with(status, "the call can't be read", ClientCloseReason::call_unreadable);
  }
  // Answers with an error and closes the connection.
  void end_with(int status, std::string_view fault, ClientCloseReason reason) {
    std::string out;
    append_response(out, status, "", error_body(fault), false);
    connection_->send(out);
    front_.drop(*this, reason);
  }
  bool owes_answer() const { return owes_answer_; }
  void clear_owed_answer() { owes_answer_ = false; }
  // The earliest time at which the last byte of the open HTTP request may have arrived.
  TimePoint request_arrival() const { return request_arrival_; }
  // The earliest and the latest such time, as accurately as the system reports it.
  std::pair<TimePoint, TimePoint> arrival_bounds() {
    constexpr std::chrono::milliseconds accuracy(5);
    const TimePoint now = front_.loop_.now();
    const bool is_last =
        http_.consumed_bytes() == http_.received_bytes() && connection_ && !connection_->has_unread();
    if (request_read_by_ - request_arrival_ <= accuracy || !is_last)
      return {request_arrival_, request_read_by_};
    const auto age = connection_->age_of_last_data();
    if (!age) return {request_arrival_, request_read_by_};
    const TimePoint earliest = std::max<TimePoint>(request_arrival_, now - *age - data_age_resolution);
    const TimePoint latest = std::min<TimePoint>(request_read_by_, now - *age + data_age_resolution);
    return earliest <= latest ? std::pair(earliest, latest) : std::pair(request_arrival_, request_read_by_);
  }
  // Whether the bytes after the open HTTP request may be a request of that key.
  bool may_have_buffered_request_of(std::string_view key) const { return http_.has_buffered(key); }
  // Continues with the next HTTP request after the open one's answer has been sent. Guards against a client
  // that has sent many requests and keeps the process from all others: each further request of a connection
  // is handled in another turn of the loop.
  void start_next_request() {
    state_since_ = front_.loop_.now();
    if (http_.has_buffered_bytes()) return continue_in_next_turn();
    end_open_request();
  }
  // Guards against answers that fill the memory: buffered requests wait until the answers before them are
  // written.
  void on_writable() override {
    if (std::exchange(waits_for_written_answers_, false)) continue_in_next_turn();
  }
  // Guards against clients that send without reading answers, or many HTTP requests at once, by not reading
  // from them. Their requests are answered in order.
  void apply_backpressure() {
    if (!connection_) return;                            // dropped
    constexpr std::size_t max_unsent_bytes = 64 * 1024;  // above the usual size of the largest answers
    const bool stops_reading = http_.has_full_buffer() || connection_->waiting() > max_unsent_bytes;
    const bool was_paused = connection_->paused();
    if (stops_reading && !was_paused) paused_since_ = front_.loop_.now();
    connection_->pause(stops_reading);
    // Guards against sending attempts for a client that disconnects while its connection is not read, since
    // the end of the connection goes unnoticed. Reading never stops for clients that send one request at a
    // time and read its answer.
    if (waiting_request && stops_reading) front_.on_client_unreachable(*waiting_request);
    else if (waiting_request && was_paused)
      front_.manager_.on_client_reconnected(front_.loop_.now(), *waiting_request);
  }

  ClientState state() const {
    if (waiting_request)
      return front_.has_path(*waiting_request) ? ClientState::result_awaited : ClientState::request_open;
    if (expected_path && front_.may_be_fetched(*expected_path)) return ClientState::path_given;
    if (connection_ && connection_->waiting() > 0 && front_.loop_.now() < answer_useful_until_)
      return ClientState::answer_unsent;
    if (http_.has_open_request()) return ClientState::request_open;
    return http_.is_within_request() ? ClientState::reading_request : ClientState::idle;
  }
  // Whether an HTTP request is open, or a request waits for its answer here.
  bool has_open_request() const { return http_.has_open_request() || waiting_request; }
  // Whether the connection has a place, see ClientPlaces.
  bool is_admitted() const { return is_admitted_; }
  void set_admitted() { is_admitted_ = true; }
  Duration age(TimePoint now) const { return now - accepted_at_; }
  // Sets when the client stops waiting for the rest of the answer that is sent now.
  void set_answer_useful_until(TimePoint until) { answer_useful_until_ = until; }
  TimePoint answer_useful_until() const { return answer_useful_until_; }
  bool has_sent_no_request() const { return request_count_ == 0; }
  // Orders connections for closing when the table is full; the lowest value is closed first. First those that
  // have sent nothing for longer than a usual client needs, then those that are idle between requests, last
  // those that are new; the longest in this state before others.
  std::pair<int, TimePoint> usefulness(TimePoint now) const {
    // A usual client's first request arrives a round trip after its connection.
    constexpr std::chrono::milliseconds first_request_timeout(250);
    return {request_count_ > 0 ? 1 : now - state_since_ < first_request_timeout ? 2 : 0, state_since_};
  }
  std::size_t buffered_bytes() const { return http_.buffered_bytes(); }

  // Returns nothing while the connection is within its timeouts, otherwise the HTTP status with which to
  // close it; 0 stands for closing without an answer.
  std::optional<int> timeout_status(TimePoint now) {
    if (connection_->waiting() > 0) {
      if (connection_->written() != written_) written_ = connection_->written(), stuck_since_ = now;
      // The client doesn't read its answer; a usual client reads at once.
      if (now - stuck_since_ > std::chrono::seconds(3)) return 0;
    } else {
      stuck_since_ = now;
      if (connection_->paused()) apply_backpressure();
    }
    if (has_open_request()) return std::nullopt;
    const ClientState current = state();
    // The connection is idle once the answer is written.
    if (current == ClientState::answer_unsent) state_since_ = now;
    const bool is_within_request = http_.is_within_request();
    const bool is_call_due = current == ClientState::path_given && !is_within_request;
    if (current == ClientState::answer_unsent || is_call_due) return std::nullopt;
    // Usual clients send their request as soon as they are connected, in one piece. They keep an idle
    // connection for four seconds; a client that keeps it for longer can reconnect for its next request.
    constexpr std::chrono::milliseconds request_timeout(2000), idle_timeout(5500);
    if (now - state_since_ < (has_sent_no_request() || is_within_request ? request_timeout : idle_timeout))
      return std::nullopt;
    return is_within_request ? 408 : 0;
  }

  std::optional<RequestId> waiting_request;  // the request whose answer is sent on this connection
  std::optional<RequestId> expected_path;  // the client got this request's path and has not requested it yet

 private:
  void continue_in_next_turn() {
    front_.loop_.run_in_next_turn([&front = front_, id = id_] {
      const auto at = front.clients_.find(id);
      if (at != front.clients_.end()) at->second->continue_when_written();
    });
  }
  void continue_when_written() {
    waits_for_written_answers_ = connection_->waiting() > 0;
    if (!waits_for_written_answers_) end_open_request();
  }
  // The open HTTP request has its answer; the next one is handled if it is buffered.
  void end_open_request() {
    http_.answered();
    apply_backpressure();
  }

  Front& front_;
  ClientId id_;
  HttpServerSide http_;
  std::unique_ptr<Connection> connection_;
  TimePoint accepted_at_, state_since_, stuck_since_, connected_since_, request_arrival_{},
      request_read_by_{};
  std::optional<TimePoint> paused_since_;  // set while bytes that arrived since then may be unread
  ArrivalTimes arrivals_;
  TimePoint answer_useful_until_{};
  bool owes_answer_ = false, is_admitted_ = false;
  bool waits_for_written_answers_ = false;  // before the next buffered request is handled
  std::uint64_t request_count_ = 0, written_ = 0;
};

}  // namespace pearchute::net

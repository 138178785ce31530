// A stand-in engine. It speaks the operators' RESP protocol, runs each request for the time that its
// statement states, on a limited number of cores, holds the memory grants, and fails in scripted or seeded
// ways. It reports what it observes to a HistoryChecker.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lab/checkers/history_checker.h"
#include "net/deferred_deletion.h"
#include "net/event_loop.h"
#include "net/listening_socket.h"

namespace pearchute::lab {

// Faults of an engine. Each share is the probability, per request received, that the fault occurs. A
// statement may also select a fault by `fault=`: error, reset (the connection ends), reset-once (only the
// first time), hang (the run never ends), cut (the answer is truncated), torn (a page that holds no rows),
// twice (the answer is sent twice), part (the first page of two, then the connection stays silent), mute (the
// connection stays silent), full (rejected), endless (the answer continues byte by byte and is never
// complete).
struct Faults {
  double error = 0, reset = 0, hang = 0, cut = 0, turn_away = 0;
  double slow = 1;      // factor on the work
  double crossing = 0;  // share of cancellations that cross an answer of the engine, as if it had not read
                        // them yet; the same share of liveness replies is late
  bool deaf = false;    // connections stay open, but nothing is read
  bool hangs = false;   // requests are read and recorded, but not run or answered
  bool refuse = false;  // closes new connections at once
};

// Lives on the loop's thread. All counters run from construction.
class StandInEngine {
 public:
  // Listens on a free loopback port. `record` may be null.
  StandInEngine(net::Loop& loop, std::string name, int cores, double memory_mb, std::uint64_t seed,
                HistoryChecker* record);
  ~StandInEngine();
  const std::string& name() const { return name_; }
  std::string address() const { return address_; }
  void set(const Faults& faults);
  void die();   // closes all connections and the listening socket
  void live();  // listens again at the same address
  std::uint64_t begun() const { return begun_; }
  std::uint64_t given_up() const { return given_up_; }
  bool was_given_up(const std::string& request_id) const { return cancelled_requests_.contains(request_id); }
  int begun_times(const std::string& request_id) const {  // known for the first 5000 requests only
    const auto at = begun_requests_.find(request_id);
    return at == begun_requests_.end() ? 0 : at->second;
  }
  // The time limit that the manager sent with the request's last attempt; no value if none arrived.
  std::optional<std::chrono::milliseconds> time_limit_of(const std::string& request_id) const {
    const auto at = time_limits_.find(request_id);
    return at == time_limits_.end() ? std::nullopt : std::optional(at->second);
  }
  // When each of the last 4096 attempts arrived, and its work.
  struct BegunWork {
    Time at{};
    double work_ms = 0;
  };
  const std::deque<BegunWork>& begun_work() const { return begun_work_; }
  std::uint64_t hung() const { return hung_; }
  std::uint64_t signs() const { return signs_; }      // liveness checks received
  std::uint64_t crossed() const { return crossed_; }  // answers that crossed a cancellation
  std::size_t running() const { return running_.size() + waiting_.size(); }
  std::size_t connections() const { return sessions_.size(); }      // open now
  std::uint64_t bytes_received() const { return bytes_received_; }  // over all connections so far
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  class Session;
  friend class Session;
  struct Run {
    Session* session = nullptr;
    std::string request_id;
    double work_ms = 0, grant_mb = 0;
    int rows = 1;
    std::string fault;
    std::uint64_t number = 0;
  };
  void on_accepted(const Poco::Net::StreamSocket& socket);
  void on_request(Session& session, std::vector<std::string>& fields);
  void on_cancel(Session& session, const std::string& request_id);
  void start_next();
  void finish(std::uint64_t number);
  void close_session(Session& session);
  void end_run(const Run& run, HistoryChecker::RunEnd how);
  bool should_cross_cancel();
  void answer_across_cancel(const Run& run, bool has_begun);
  void on_liveness_check(Session& session, const std::string& tag);

  net::Loop& loop_;
  const std::string name_;
  const int cores_;
  const double memory_mb_;
  std::knuth_b random_;
  HistoryChecker* record_;
  Faults faults_;
  std::string address_;
  std::unique_ptr<net::ListeningSocket> listener_;
  std::map<Session*, std::unique_ptr<Session>> sessions_;
  net::DeferredDeletion<Session> closed_sessions_;
  std::map<std::uint64_t, Run> running_;
  std::vector<Run> waiting_;
  double granted_mb_ = 0;
  std::uint64_t next_run_ = 1, begun_ = 0, given_up_ = 0, hung_ = 0, signs_ = 0, crossed_ = 0;
  std::uint64_t bytes_received_ = 0, bytes_sent_ = 0;
  std::map<std::string, int> begun_requests_;
  std::map<std::string, std::chrono::milliseconds> time_limits_;  // of the requests in begun_requests_
  std::deque<BegunWork> begun_work_;
  Time reads_backlog_until_{};  // until then, requests may have waited unread while `deaf` was set
  std::set<std::string> cancelled_requests_, reset_requests_;  // the first 1000; those of `reset-once`
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::lab

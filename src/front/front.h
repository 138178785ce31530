// The front end of the manager process: accepts clients' requests over HTTP and, as the DecisionSink, carries
// out the decisions of the WorkloadManager. It owns the clients' connections and the table of open requests,
// and maps requests to their attempts and back. The WorkloadManager decides whether, where and when a request
// is sent to an engine, and how it ends without a result.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/arrival_order.h"
#include "core/workload_manager.h"
#include "engines/endpoint_list_client.h"
#include "engines/engine_pool.h"
#include "front/client_places.h"
#include "front/request_log.h"
#include "net/connection.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "net/log.h"
#include "net/scoped_timer.h"
#include "service/deployment.h"

namespace pearchute::net {

// Used on the loop's thread only. `deployment` is copied; `loop` and `counters` must outlive it.
class Front final : public DecisionSink, public EnginePool::Listener, public EndpointListClient::Listener {
 public:
  // `descriptors` and `memory` (bytes) are the limits of the process.
  Front(Loop& loop, const service::Deployment& deployment, std::uint64_t seed, std::size_t descriptors,
        std::size_t memory, Counters& counters);
  ~Front() override;
  // Whether another connection can be accepted now. Where the table of connections is full of ones that are
  // still to be read, it can't before they are.
  bool can_accept();
  // REQUIRES: can_accept().
  void on_client_accepted(const Poco::Net::StreamSocket& socket);
  void set_ready(bool ready) { ready_ = ready; }
  // Whether all requests are answered and no client is expected to fetch an answer by its path.
  bool is_idle() const;
  bool has_written_all() const;  // whether all answers have been handed to the system
  std::string counters_as_json();
  // Gives all open requests their final answer now; rejects requests that arrive later.
  void answer_open_requests();
  // Sends no more attempts to engines: the WorkloadManager rejects the queued requests, attempts that are
  // sent may still end.
  void stop_sending() { sending_stopped_ = true; }
  // Closes idle connections now and the others after their next answer, so that clients reconnect to another
  // manager.
  void close_idle_connections();
  // Rejects new requests with advice to retry and fails the health check; open requests continue.
  void set_draining(bool draining) { draining_ = draining; }
  // Sets the receiver of the WorkloadManager's trace events.
  void set_trace_listener(std::function<void(std::string_view)> on_event) {
    trace_listener_ = std::move(on_event);
  }

  // An open request, as the admin channel shows it.
  struct RequestView {
    const std::string& id;
    const std::string& type;
    Duration age{}, time_left{};
    int attempt_count = 0;
    std::vector<EngineId> engines;
    WorkloadManager::QueuedFor queued_for{};
  };
  std::size_t open_requests() const { return unanswered_requests_; }
  std::size_t queued_requests() const { return manager_.queued_requests(); }
  // Visits up to `max_count` open requests, oldest first.
  void visit_requests(std::size_t max_count, const std::function<void(const RequestView&)>& visit);
  // Counts queued requests by cause, among a few thousand requests of the table at most.
  std::map<WorkloadManager::QueuedFor, std::size_t> count_queued_by_cause();
  // `oldest` is the time since the oldest open attempt on the engine was submitted.
  void visit_engines(const std::function<void(const Engine&, const WorkloadManager::EngineEstimate&,
                                              const EnginePool::SocketStats&, Duration oldest)>& visit) const;

  // DecisionSink
  void send_attempt(RequestId request, EngineId engine, Duration time_limit) override;
  void set_execution_terms(RequestId request, double grant_mb, int priority) override;
  void limit_send_delay(RequestId request, Duration span) override;
  void cancel_attempt(RequestId request, int number) override;
  void on_rejection(RequestId id, RejectionReason reason) override;
  void throttle(RequestId request, Duration come_back_in) override;
  void fail(RequestId request) override;
  void schedule_wakeup(Duration span, std::uint64_t mark) override;
  void cancel_wakeup(std::uint64_t mark) override;
  void probe(EngineId engine) override;
  void subscribe_endpoints() override {}  // the command channel sends the endpoint list without a request
  void trace_event(std::string_view text) override;

  // EnginePool::Listener and EndpointListClient::Listener
  std::optional<Outcome> check_before_send(const PendingSend& pending) override;
  void on_attempt_ended(AttemptId attempt, Outcome outcome, std::vector<std::string> pages) override;
  void on_attempt_progress(AttemptId attempt, double share_done) override;
  void on_attempt_spill(AttemptId attempt, double missing_mb) override;
  void on_attempt_wait(AttemptId attempt, WaitCause wait) override;
  void on_late_answer(AttemptId attempt, std::string_view answer) override;
  void on_endpoints_changed(EndpointUpdate update, const std::vector<DiscoveredEndpoint>& endpoints) override;

 private:
  class Client;
  friend class Client;
  using ClientId = Id<struct ClientTag, std::uint64_t>;

  // An attempt that has been submitted to the engine pool.
  struct SubmittedAttempt {
    int index = 0;
    TimePoint submitted_at{};
    EngineId engine{};
    std::string engine_name;
    bool is_sent = false;  // its first byte has been written to the engine's socket
    ScopedTimer deadline_timer;
  };
  // A request, from its arrival until it is answered, its attempts have ended and its answer has expired.
  struct OpenRequest {
    std::string id, kind, token, statement;
    TimePoint accepted_at{};
    TimePoint deadline{};
    RequestTypeId type;
    std::optional<OrderKey> order_key;  // set in classes that are ordered by key
    std::optional<double> estimate_ms;
    std::optional<ClientId> waiting_client;  // the connection on which the client waits for the answer
    std::optional<ClientId> path_given_to;   // the connection on which the client got the path
    bool has_path = false;                   // the client fetches the answer by the request's path
    bool answered = false, fetched = false;
    TimePoint answered_at{};
    int status = 0;  // of the answer that is kept for the path; 0 where there is none
    std::string headers, body;
    double grant_mb = 0;
    int priority = 1;
    std::optional<TimePoint> send_deadline;  // for submitting attempts; see EnginePool::submit
    int attempt_count = 0;
    std::vector<SubmittedAttempt> open_attempts;
    // When the first attempt that ended with an uncertain outcome was submitted.
    std::optional<TimePoint> first_uncertain_attempt_at;
    Outcome last_outcome = Outcome::succeeded;  // of the attempt that ended last
    std::optional<RejectionReason> rejection;
    ScopedTimer path_timer;    // gives the client the request's path
    ScopedTimer expiry_timer;  // forgets the answer that is kept
  };

  void on_http_request(Client& client, const std::string& method, const std::string& path, Message& message);
  void accept_request(Client& client, std::string_view kind, Message& message);
  void submit(const Request& request);
  void submit_in_order(Client& client, const Request& request, std::string_view key);
  void submit_released();
  void on_client_left(Client& client, ClientCloseReason reason);
  // Treats the client of a request as disconnected unless it waits on a connection.
  void disconnect_if_unattended(RequestId id);
  void on_client_unreachable(RequestId id);
  bool may_close(const Client& client);
  Client* least_useful_connection();
  Client* oldest_silent_overflow();
  void evict(Client& client, ClientCloseReason reason);
  bool is_full() const;
  bool make_place();
  bool admit(Client& client);
  bool admit_caller_of_path(Client& client, RequestId id, OpenRequest& request);
  void reserve_place(RequestId id);
  void refuse_for_lack_of_place(Client& client);
  // `useful_until`: when the client stops waiting for the rest of the answer.
  void respond(ClientId client, int status, std::string_view headers, std::string_view body,
               std::optional<TimePoint> useful_until = std::nullopt);
  void answer(RequestId id, OpenRequest& request, int status, std::string headers, std::string body);
  void send_result_path(RequestId id);
  void log_queue_cause(RequestId id);
  void finish_request(RequestId id, OpenRequest& request);
  // The earliest time counts where it is called again.
  void expire_answer_at(TimePoint when, RequestId id, OpenRequest& request);
  void forget_if_done(RequestId id);
  void reject(Client& client, RefusalReason reason, int status, std::string_view fault);
  void reject_temporarily(Client& client, RefusalReason reason);
  bool client_connected(const OpenRequest& request) const;
  bool retry_is_forbidden(RequestId id, const OpenRequest& request);
  void retract_unsent_attempts(RequestId id, OpenRequest& request);
  void record_retraction(RequestId id, SubmittedAttempt& submitted);
  void cancel_submitted_attempt(AttemptId attempt, CancelReason reason);
  AttemptFacts attempt_facts(AttemptId attempt, const OpenRequest& request,
                             const SubmittedAttempt& submitted) const;
  static AttemptName name_of(const OpenRequest& request, const SubmittedAttempt& submitted);
  void drop(Client& client, ClientCloseReason reason);
  void evict_unparsed_request();
  void sweep();
  std::optional<RequestId> request_of_path(std::string_view path) const;
  bool has_path(RequestId id) const;  // whether the client fetches the answer by the request's path
  // Whether the request is open, or its answer is kept for its path.
  bool may_be_fetched(RequestId id) const;

  Loop& loop_;
  service::Deployment deployment_;
  Counters& counters_;
  RequestLog log_;
  std::map<EngineId, std::string> engine_names_;
  ClientPlaces places_;
  std::size_t max_unparsed_bytes_;
  std::size_t statement_bytes_ = 0;  // of the unanswered requests
  bool ready_ = false, closing_ = false, closing_idle_connections_ = false, sending_stopped_ = false,
       draining_ = false;
  std::unordered_map<RequestId, OpenRequest> requests_;
  std::size_t unanswered_requests_ = 0;
  std::map<ClientId, std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<Client>> closed_clients_;
  std::uint64_t next_client_ = 1;
  std::function<void(std::string_view)> trace_listener_;
  EnginePool engines_;
  std::unordered_map<std::uint64_t, ScopedTimer> wakeups_;  // of requests, by the WorkloadManager's token
  WorkloadManager manager_;
  ArrivalOrder arrivals_;
  // Requests of ordered keys whose order of arrival is not settled yet.
  std::unordered_map<RequestId, Request> awaiting_order_;
};

}  // namespace pearchute::net

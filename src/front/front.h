// The front: takes clients' calls as jobs, and is the DecisionSink through which the module acts. It owns the
// clients' connections, the table of open jobs, and the way from a job to its dispatches and back. It decides
// nothing: whether, where and when a job goes, and how it ends without a result, is the module's.
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
#include "engines/engines.h"
#include "engines/list.h"
#include "front/request_log.h"
#include "net/driver.h"
#include "net/http.h"
#include "net/log.h"
#include "service/deployment.h"

namespace pearchute::net {

class Front final : public DecisionSink, public EnginePool::Listener, public EndpointWatch::Listener {
 public:
  Front(Loop& loop, const service::Deployment& deployment, std::uint64_t seed, std::size_t descriptors,
        std::size_t memory, Counters& counters);
  ~Front() override;
  void on_client_accepted(const Poco::Net::StreamSocket& socket);
  void set_ready(bool ready) { ready_ = ready; }
  // Every job has its answer, and nobody is expected to come for one.
  bool idle() const;
  bool all_written() const;  // nothing waits for a client to read it
  std::string counters_now();
  // Every job that is still open gets its final answer now; what comes later is turned away.
  void answer_all();
  // Nothing more goes to engines: what waits is given up by the module, what is out may still end.
  void send_nothing() { sending_nothing_ = true; }
  // Connections with nothing open are closed, and others with their next answer: a client that comes again
  // goes elsewhere.
  void close_idle_connections();
  // New calls are told to come back elsewhere or later, and the check says no; what is open goes on.
  void set_draining(bool draining) { draining_ = draining; }
  // What the module remarks, as it does.
  void set_trace_listener(std::function<void(std::string_view)> heard) { trace_listener_ = std::move(heard); }

  // For those who ask what goes on.
  struct RequestView {
    const std::string& id;
    const std::string& type;
    Duration age{}, left{};
    int dispatches = 0;
    std::vector<EngineId> out;
    WorkloadManager::QueuedFor waits{};
  };
  std::size_t open_requests() const { return unanswered_requests_; }
  std::size_t queued_requests() const { return manager_.queued_requests(); }
  void visit_requests(std::size_t most,
                      const std::function<void(const RequestView&)>& visit);  // the oldest first
  // How many held jobs wait for what, of the first few thousand.
  std::map<WorkloadManager::QueuedFor, std::size_t> count_queued_by_cause();
  // `oldest` is for how long the oldest dispatch there has been out.
  void visit_engines(const std::function<void(const Engine&, const WorkloadManager::EngineEstimate&,
                                              const EnginePool::SocketStats&, Duration oldest)>& visit) const;

  // What the module does
  void dispatch(RequestId request, EngineId engine, Duration time_limit) override;
  void set_execution_terms(RequestId request, double grant_mb, int priority) override;
  void limit_send_delay(RequestId request, Duration span) override;
  void cancel_attempt(RequestId request, int number) override;
  void on_rejection(RequestId id, RejectionReason reason) override;
  void throttle(RequestId request, Duration come_back_in) override;
  void fail(RequestId request) override;
  void schedule_wakeup(Duration span, std::uint64_t mark) override;
  void probe(EngineId engine) override;
  void subscribe_endpoints() override {}  // this platform's list comes unasked
  void trace_event(std::string_view text) override;

  // What engines and the list tell
  std::optional<Outcome> check_before_send(const PendingSend& pending) override;
  void on_attempt_ended(AttemptId key, Outcome outcome, std::vector<std::string> pages) override;
  void on_attempt_progress(AttemptId key, double share_done) override;
  void on_attempt_spill(AttemptId key, double missing_mb) override;
  void on_attempt_wait(AttemptId key, WaitCause wait) override;
  void on_late_answer(AttemptId key, std::string_view word) override;
  void on_endpoints_changed(EndpointUpdate update, const std::vector<DiscoveredEndpoint>& endpoints) override;

 private:
  class Client;
  friend class Client;
  using ClientId = Id<struct ClientTag, std::uint64_t>;

  // For one dispatch.
  struct SentAttempt {
    int index = 0;
    TimePoint at{};
    EngineId engine{};
    std::string engine_name;
    bool has_left = false;
  };
  // For one job.
  struct OpenRequest {
    std::string id, kind, token, statement;
    TimePoint taken{};
    TimePoint end{};  // the client's patience
    RequestTypeId type;
    std::optional<OrderKey> order_key;  // in a class that keeps order
    std::optional<double> estimate_ms;
    std::optional<ClientId> caller;
    std::optional<ClientId> path_given_to;  // it is about to call the path there
    bool has_path = false;
    bool answered = false, fetched = false;
    TimePoint answered_at{};
    int status = 0;  // of an answer that may be fetched by its path
    std::string headers, body;
    double grant_mb = 0;
    int priority = 1;
    std::optional<TimePoint> leave_by;  // of the next dispatch, or the last
    int dispatches = 0;
    std::vector<SentAttempt> out;
    std::optional<TimePoint>
        first_uncertain_attempt_at;         // when the first dispatch that may have run was sent
    Outcome last_end = Outcome::succeeded;  // of a dispatch; done where none has ended
    std::optional<RejectionReason> given_up;
  };

  void called(Client& client, const std::string& method, const std::string& path, Message& message);
  void accept_request(Client& client, std::string_view kind, Message& message);
  void submit(const Request& request);
  void submit_in_order(Client& client, const Request& request, std::string_view key);
  void submit_settled();
  void on_client_left(Client& client, ClientCloseReason reason);
  void disconnect_if_unattended(RequestId id);  // unless its client waits on another connection
  void on_client_unreachable(RequestId id);
  bool may_close(const Client& client);
  void reject_connection(const Poco::Net::StreamSocket& socket);
  void respond(ClientId client, int status, std::string_view headers, std::string_view body);
  void answer(RequestId id, OpenRequest& request, int status, std::string headers, std::string body);
  void send_result_path(RequestId id);
  void log_queue_cause(RequestId id);
  void finish_request(RequestId id, OpenRequest& request);
  void expire_answer_at(TimePoint when, RequestId id);
  void forget_if_done(RequestId id);
  void reject(Client& client, RefusalReason reason, int status, std::string_view what);
  void reject_temporarily(Client& client, RefusalReason reason);
  bool client_connected(const OpenRequest& request) const;
  bool retry_is_forbidden(RequestId id, const OpenRequest& request);
  void retract_unsent_attempts(RequestId id, OpenRequest& request);
  void record_retraction(RequestId id, SentAttempt& sent);
  void cancel_sent_attempt(AttemptId key, CancelReason reason);
  AttemptFacts attempt_of(AttemptId key, const OpenRequest& request, const SentAttempt& sent) const;
  static AttemptName name_of(const OpenRequest& request, const SentAttempt& sent);
  void drop(Client& client, ClientCloseReason reason);
  void evict_unparsed_request();
  void sweep();
  std::optional<RequestId> request_of_path(std::string_view path) const;

  Loop& loop_;
  service::Deployment deployment_;
  Counters& counters_;
  RequestLog log_;
  std::map<EngineId, std::string> engine_names_;
  std::size_t max_clients_, max_unparsed_bytes_;
  std::size_t statement_bytes_ = 0;  // of the jobs in the table
  bool ready_ = false, closing_ = false, closing_idle_connections_ = false, sending_nothing_ = false,
       draining_ = false;
  std::unordered_map<RequestId, OpenRequest> requests_;
  std::size_t unanswered_requests_ = 0;  // jobs without their answer
  std::map<ClientId, std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<Client>> closed_clients_;
  struct IgnoreEvents final : Connection::Listener {
    void on_data(std::string_view) override {}
    void on_closed() override {}
  } ignored_;  // who hears of connections that are turned away
  std::uint64_t next_client_ = 1;
  std::function<void(std::string_view)> trace_listener_;
  EnginePool engines_;
  WorkloadManager manager_;
  ArrivalOrder arrivals_;
  std::unordered_map<RequestId, Request> awaiting_order_;  // read, and not with the module yet
};

}  // namespace pearchute::net

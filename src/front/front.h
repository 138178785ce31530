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
#include "core/control.h"
#include "engines/engines.h"
#include "engines/list.h"
#include "front/request_log.h"
#include "net/driver.h"
#include "net/http.h"
#include "net/log.h"
#include "service/deployment.h"

namespace pearchute::net {

class Front final : public DecisionSink, public Engines::Listener, public ListFeed::Listener {
 public:
  Front(Loop& loop, const service::Deployment& deployment, std::uint64_t seed, std::size_t descriptors,
        std::size_t memory, Counters& counters);
  ~Front() override;
  void client_came(const Poco::Net::StreamSocket& socket);
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
  void send_home();
  // New calls are told to come back elsewhere or later, and the check says no; what is open goes on.
  void turn_away(bool away) { away_ = away; }
  // What the module remarks, as it does.
  void on_remark(std::function<void(std::string_view)> heard) { remarked_ = std::move(heard); }

  // For those who ask what goes on.
  struct JobSeen {
    const std::string& id;
    const std::string& type;
    Duration age{}, left{};
    int dispatches = 0;
    std::vector<EngineId> out;
    WorkloadManager::QueuedFor waits{};
  };
  std::size_t open_jobs() const { return owed_; }
  std::size_t queued_requests() const { return manager_.queued_requests(); }
  void tell_jobs(std::size_t most, const std::function<void(const JobSeen&)>& visit);  // the oldest first
  // How many held jobs wait for what, of the first few thousand.
  std::map<WorkloadManager::QueuedFor, std::size_t> tell_waits();
  // `oldest` is for how long the oldest dispatch there has been out.
  void tell_engines(const std::function<void(const Engine&, const WorkloadManager::EngineEstimate&,
                                             const Engines::Shown&, Duration oldest)>& visit) const;

  // What the module does
  void dispatch(RequestId job, EngineId engine, Duration time_limit) override;
  void set_execution_terms(RequestId job, double grant_mb, int priority) override;
  void limit_send_delay(RequestId job, Duration span) override;
  void cancel_attempt(RequestId job, int number) override;
  void on_rejection(RequestId id, RejectionReason reason) override;
  void throttle(RequestId job, Duration come_back_in) override;
  void fail(RequestId job) override;
  void schedule_wakeup(Duration span, std::uint64_t mark) override;
  void probe(EngineId engine) override;
  void subscribe_endpoints() override {}  // this platform's list comes unasked
  void trace_event(std::string_view text) override;

  // What engines and the list tell
  std::optional<Outcome> refuses_departure(const Departure& departure) override;
  void talk_ended(AttemptId key, Outcome outcome, std::vector<std::string> pages) override;
  void talk_progress(AttemptId key, double share_done) override;
  void talk_spill(AttemptId key, double missing_mb) override;
  void talk_wait(AttemptId key, WaitCause wait) override;
  void talk_crossed(AttemptId key, std::string_view word) override;
  void list_changed(EndpointUpdate news, const std::vector<Member>& members) override;

 private:
  class Client;
  friend class Client;
  using ClientId = Id<struct ClientTag, std::uint64_t>;

  // For one dispatch.
  struct Sent {
    int number = 0;
    TimePoint at{};
    EngineId engine{};
    std::string engine_name;
    bool has_left = false;
  };
  // For one job.
  struct OpenJob {
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
    std::vector<Sent> out;
    std::optional<TimePoint>
        first_uncertain_attempt_at;         // when the first dispatch that may have run was sent
    Outcome last_end = Outcome::succeeded;  // of a dispatch; done where none has ended
    std::optional<RejectionReason> given_up;
  };

  void called(Client& client, const std::string& method, const std::string& path, Message& message);
  void take_job(Client& client, std::string_view kind, Message& message);
  void hand_over(const Request& job);
  void await_earlier_calls(Client& client, const Request& job, std::string_view key);
  void hand_over_what_is_settled();
  void client_left(Client& client, ClientCloseReason reason);
  void left_alone(RequestId id);  // unless its client waits on another connection
  void lose_sight(RequestId id);
  bool may_close(const Client& client);
  void turn_away(const Poco::Net::StreamSocket& socket);
  void respond(ClientId client, int status, std::string_view headers, std::string_view body);
  void answer(RequestId id, OpenJob& job, int status, std::string headers, std::string body);
  void give_path(RequestId id);
  void log_what_it_waits_for(RequestId id);
  void settle_account(RequestId id, OpenJob& job);
  void forget_answer_at(TimePoint when, RequestId id);
  void forget_if_done(RequestId id);
  void refuse(Client& client, RefusalReason reason, int status, std::string_view what);
  void refuse_for_now(Client& client, RefusalReason reason);
  bool client_is_there(const OpenJob& job) const;
  bool repeat_is_forbidden(RequestId id, const OpenJob& job);
  void take_back_unsent(RequestId id, OpenJob& job);
  void note_taken_back(RequestId id, Sent& sent);
  void call_off(AttemptId key, CallOffReason reason);
  AttemptFacts attempt_of(AttemptId key, const OpenJob& job, const Sent& sent) const;
  static AttemptName name_of(const OpenJob& job, const Sent& sent);
  void drop(Client& client, ClientCloseReason reason);
  void shed_unread();
  void sweep();
  std::optional<RequestId> job_of_path(std::string_view path) const;

  Loop& loop_;
  service::Deployment deployment_;
  Counters& counters_;
  RequestLog log_;
  std::map<EngineId, std::string> engine_names_;
  std::size_t most_clients_, most_unread_;
  std::size_t statement_bytes_ = 0;  // of the jobs in the table
  bool ready_ = false, closing_ = false, sending_home_ = false, sending_nothing_ = false, away_ = false;
  std::unordered_map<RequestId, OpenJob> jobs_;
  std::size_t owed_ = 0;  // jobs without their answer
  std::map<ClientId, std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<Client>> gone_;
  struct Nobody final : Wire::User {
    void wire_brought(std::string_view) override {}
    void wire_ended() override {}
  } nobody_;  // who hears of connections that are turned away
  std::uint64_t next_client_ = 1;
  std::function<void(std::string_view)> remarked_;
  Engines engines_;
  WorkloadManager manager_;
  ArrivalOrder arrivals_;
  std::unordered_map<RequestId, Request> arriving_;  // read, and not with the module yet
};

}  // namespace pearchute::net

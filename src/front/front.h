// The front: takes clients' calls as jobs, and is the Host through which the module acts. It owns the
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

class Front final : public Host, public Engines::Listener, public ListFeed::Listener {
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
    Span age{}, left{};
    int dispatches = 0;
    std::vector<EngineId> out;
    WorkloadManager::Waits waits{};
  };
  std::size_t open_jobs() const { return owed_; }
  std::size_t held_jobs() const { return manager_.held_jobs(); }
  void tell_jobs(std::size_t most, const std::function<void(const JobSeen&)>& visit);  // the oldest first
  // How many held jobs wait for what, of the first few thousand.
  std::map<WorkloadManager::Waits, std::size_t> tell_waits();
  // `oldest` is for how long the oldest dispatch there has been out.
  void tell_engines(const std::function<void(const Engine&, const WorkloadManager::Belief&,
                                             const Engines::Shown&, Span oldest)>& visit) const;

  // What the module does
  void dispatch(JobId job, EngineId engine, Span time_limit) override;
  void set_terms(JobId job, double grant_mb, int priority) override;
  void must_leave_within(JobId job, Span span) override;
  void stop_dispatch(JobId job, int number) override;
  void giving_up(JobId id, GiveUpReason reason) override;
  void throttle(JobId job, Span come_back_in) override;
  void cancel_for_good(JobId job) override;
  void wake_in(Span span, std::uint64_t mark) override;
  void probe(EngineId engine) override;
  void subscribe_list() override {}  // this platform's list comes unasked
  void remark(std::string_view text) override;

  // What engines and the list tell
  std::optional<Outcome> refuses_departure(const Departure& departure) override;
  void talk_ended(DispatchKey key, Outcome outcome, std::vector<std::string> pages) override;
  void talk_progress(DispatchKey key, double share_done) override;
  void talk_spill(DispatchKey key, double missing_mb) override;
  void talk_wait(DispatchKey key, Wait wait) override;
  void talk_crossed(DispatchKey key, std::string_view word) override;
  void list_changed(ListNews news, const std::vector<Member>& members) override;

 private:
  class Client;
  friend class Client;
  using ClientId = Id<struct ClientTag, std::uint64_t>;

  // For one dispatch.
  struct Sent {
    int number = 0;
    Span at{};
    EngineId engine{};
    std::string engine_name;
    bool has_left = false;
  };
  // For one job.
  struct OpenJob {
    std::string id, kind, token, statement;
    Span taken{};
    Span end{};  // the client's patience
    TypeId type;
    std::optional<OrderKey> order_key;  // in a class that keeps order
    std::optional<double> estimate_ms;
    std::optional<ClientId> caller;
    std::optional<ClientId> path_given_to;  // it is about to call the path there
    bool has_path = false;
    bool answered = false, fetched = false;
    Span answered_at{};
    int status = 0;  // of an answer that may be fetched by its path
    std::string headers, body;
    double grant_mb = 0;
    int priority = 1;
    std::optional<Span> leave_by;  // of the next dispatch, or the last
    int dispatches = 0;
    std::vector<Sent> out;
    std::optional<Span> first_doubt;   // when the first dispatch that may have run was sent
    Outcome last_end = Outcome::done;  // of a dispatch; done where none has ended
    std::optional<GiveUpReason> given_up;
  };

  void called(Client& client, const std::string& method, const std::string& path, Message& message);
  void take_job(Client& client, std::string_view kind, Message& message);
  void hand_over(const Job& job);
  void await_earlier_calls(Client& client, const Job& job, std::string_view key);
  void hand_over_what_is_settled();
  void client_left(Client& client, ClientCloseReason reason);
  void left_alone(JobId id);  // unless its client waits on another connection
  void lose_sight(JobId id);
  bool may_close(const Client& client);
  void turn_away(const Poco::Net::StreamSocket& socket);
  void respond(ClientId client, int status, std::string_view headers, std::string_view body);
  void answer(JobId id, OpenJob& job, int status, std::string headers, std::string body);
  void give_path(JobId id);
  void log_what_it_waits_for(JobId id);
  void settle_account(JobId id, OpenJob& job);
  void forget_answer_at(Span when, JobId id);
  void forget_if_done(JobId id);
  void refuse(Client& client, RefusalReason reason, int status, std::string_view what);
  void refuse_for_now(Client& client, RefusalReason reason);
  bool client_is_there(const OpenJob& job) const;
  bool repeat_is_forbidden(JobId id, const OpenJob& job);
  void take_back_unsent(JobId id, OpenJob& job);
  void note_taken_back(JobId id, Sent& sent);
  void call_off(DispatchKey key, CallOffReason reason);
  Attempt attempt_of(DispatchKey key, const OpenJob& job, const Sent& sent) const;
  static AttemptName name_of(const OpenJob& job, const Sent& sent);
  void drop(Client& client, ClientCloseReason reason);
  void shed_unread();
  void sweep();
  std::optional<JobId> job_of_path(std::string_view path) const;

  Loop& loop_;
  service::Deployment deployment_;
  Counters& counters_;
  RequestLog log_;
  std::map<EngineId, std::string> engine_names_;
  std::size_t most_clients_, most_unread_;
  std::size_t statement_bytes_ = 0;  // of the jobs in the table
  bool ready_ = false, closing_ = false, sending_home_ = false, sending_nothing_ = false, away_ = false;
  std::unordered_map<JobId, OpenJob> jobs_;
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
  std::unordered_map<JobId, Job> arriving_;  // read, and not with the module yet
};

}  // namespace pearchute::net

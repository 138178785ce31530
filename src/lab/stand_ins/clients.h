// Stand-in clients. They send requests to managers in an open loop over persistent connections, follow the
// path of a result as the operators' protocol requires, withdraw requests, and report the outcome of each to
// a HistoryChecker.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lab/checkers/history_checker.h"
#include "net/deferred_deletion.h"
#include "net/event_loop.h"
#include "net/http.h"

namespace pearchute::lab {

// One request.
struct Ask {
  std::string type = "quick";
  std::string statement = "SELECT work=5 FROM a_1.t";
  std::chrono::milliseconds patience{2000};  // the client's timeout
  std::uint64_t key = 0;                     // 0: none
  double cost_ms = 5, memory_mb = 8;
};

// Lives on the loop's thread.
class StandInClients {
 public:
  // `kind_of` returns the rules for a reservation type.
  StandInClients(net::Loop& loop, std::uint64_t seed, HistoryChecker& record,
                 std::function<HistoryChecker::Kind(const std::string&)> kind_of);
  ~StandInClients();
  // Adds the manager at this address and returns the number that identifies it.
  int add_manager(const std::string& address);
  // Sends a request and returns its id. `on_answer` gets the answer, or no value if there was none.
  std::string ask(int manager, const Ask& ask, std::function<void(std::optional<Answer>)> on_answer = {});
  void withdraw_some(std::size_t max_count);  // random ones of the open requests
  // Closes the connection of the request or, if the request has a result path, deletes the path.
  void withdraw(const std::string& id);
  // Sends `rate` requests a second, drawn from the mix, to the managers in turn, until called with rate 0.
  void offer(double rate, std::vector<Ask> mix);
  // Withdraws this share of the offered requests within 40 ms, or half of those with a key if `share` is
  // above 0.
  void leave_early(double share) { leave_early_ = share; }
  // Sends two requests of one key in the shortest interval that clients keep: the first on a new connection,
  // the second on an open one. Does nothing if no open connection is idle.
  void ask_pair(int manager, const Ask& ask);
  // With `use`, requests to the manager use only idle open connections, as clients do while a manager ends.
  void use_open_lines(int manager, bool use);
  // Like a front in front of the managers, the clients request each manager's check five times a second, and
  // offer it no requests while the check fails or is not answered.
  bool up(int manager) const;        // the result of the last check
  void manager_starts(int manager);  // discards the result that a former process of the manager gave
  // Number of answers with a retry-after-ms header.
  std::uint64_t retry_advised() const { return retry_advised_; }

 private:
  class Session;
  friend class Session;
  struct Manager {
    std::string address;
    std::vector<std::unique_ptr<Session>> sessions;
    bool uses_open_connections = false;
  };
  // When the last request of a key was written, and whether on a new connection; this decides how soon the
  // next one may follow.
  struct KeySent {
    Time written{};
    bool on_new_connection = false, is_written = true;
  };
  bool may_follow(std::uint64_t key) const;
  void on_written(const std::string& id, std::uint64_t key, bool on_new_connection);
  void withdraw_soon(const std::string& id);
  std::optional<int> next_manager();
  void send_second_of_pair(Session& session, const Ask& ask);
  std::string send_on(Session& session, int manager, const Ask& ask,
                      std::function<void(std::optional<Answer>)> on_answer);
  Session* idle_session(int manager);
  Session& idle_or_new_session(int manager);
  void close_session(Session& session);
  void send_due(std::uint64_t offer);

  net::Loop& loop_;
  std::knuth_b random_;
  HistoryChecker& record_;
  std::function<HistoryChecker::Kind(const std::string&)> kind_of_;
  std::vector<Manager> managers_;
  class Check;
  std::vector<std::unique_ptr<Check>> checks_;  // one per manager
  std::map<std::uint64_t, KeySent> key_sent_;
  std::map<std::string, double> usual_cost_ms_;  // mean per type of the offered mix
  double leave_early_ = 0;
  net::DeferredDeletion<Session> closed_sessions_;
  std::vector<Ask> mix_;
  double rate_ = 0;
  Time next_due_{};
  std::uint64_t next_id_ = 1, offers_ = 0, next_manager_ = 0, retry_advised_ = 0;
  const std::uint64_t salt_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::lab

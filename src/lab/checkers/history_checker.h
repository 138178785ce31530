// Checks the service rules from what stand-in clients and engines observed of each request. The checker never
// uses reports of the managers. All times are readings of the machine's steady clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/checkers/service_terms.h"

namespace pearchute::lab {

using Time = std::chrono::microseconds;  // of the steady clock
Time steady_now();

enum class Answer { done, refused, failed };

// Records events of requests, managers and engines as they happen, and counts violations of the rules. Not
// thread-safe.
class HistoryChecker {
 public:
  // The rules for the requests of one reservation type.
  struct Kind {
    bool once = false;              // a second attempt may start only if the engine rejected the first
    bool in_order = false;          // requests of one key run one at a time, in the order they were sent
    std::set<std::string> zones{};  // zones in which attempts may run; empty: all
    double usual_work_ms = 0;       // work that an attempt adds to the slow start of a cold engine
  };
  // How an attempt ends, as its engine observes it.
  enum class RunEnd {
    answered,
    turned_away,  // the engine rejected it and ran nothing
    given_up,     // the manager cancelled it
    cut,          // its connection ended
  };
  // Sets the rules that need figures; a rule without figures is not checked.
  void set_terms(const ServiceTerms& terms) { terms_ = terms; }
  void set_zone(const std::string& engine, const std::string& zone) { zones_[engine] = zone; }
  // The engine has just started and is cold from now on; `cores` determines how much work it may be sent.
  void on_engine_started(const std::string& engine, int cores);
  // Reports by how much the stand-ins' own thread is late: an observation may be older than its recorded time
  // by that much.
  void on_own_delay(Time delay);

  // The client is about to write the request; `until` is the client's deadline. `written` follows when the
  // last byte is written.
  void sent(const std::string& id, int manager, const Kind& kind, std::uint64_t key, Time until);
  void written(const std::string& id);
  // The request crossed the manager's close of an idle connection: the manager did not read it, and the
  // client writes it again.
  void crossed(const std::string& id);
  void answered(const std::string& id, Answer answer);
  void unanswered(const std::string& id);  // its connection or its time ended without an answer
  void withdrawn(const std::string& id);
  void unreached(const std::string& id);  // no connection was made, so no manager received the request
  // The manager or its machine was killed: requests that are open there count as excused, not as lost.
  void manager_died(int manager);
  void manager_lives(int manager);
  // With `unseen`, engines may miss cancellations (they hang, or are cut off), so attempts that a manager
  // gave up and an engine still runs are not counted as violations. Requests of kind `once` are checked
  // regardless.
  void set_unseen_give_ups(bool unseen) { unseen_give_ups_ = unseen; }
  // An engine received an attempt whose time limit, as sent by the manager, is `wait`.
  void on_time_limit_received(const std::string& id, std::chrono::milliseconds wait);
  // An engine received an attempt. It ends when its answer is written, it is cancelled, or its connection
  // ends. `was_backlogged`: the engine had not been reading, so the attempt may have arrived earlier, and
  // before or after others; this matters only together with set_unseen_give_ups(true).
  void begun(const std::string& engine, const std::string& id, bool was_backlogged = false);
  void ended(const std::string& engine, const std::string& id, RunEnd how);

  // The manager received the order to drain the engine at `ordered_at`; no new attempt may reach the engine
  // more than 500 ms later, until drain_over().
  void drain_came(const std::string& engine, int manager, Time ordered_at);
  void drain_over(const std::string& engine, int manager);

  // Counts of requests and of violations.
  struct Verdict {
    std::uint64_t sent = 0, done = 0, refused = 0, failed = 0, withdrawn = 0, unreached = 0;
    std::uint64_t lost = 0, doubled = 0, late = 0, twice_run = 0, overlaps = 0, disorder = 0;
    std::uint64_t drains = 0, late_over_500ms = 0;
    std::uint64_t excused = 0;           // requests that were open at a manager when it was killed
    std::uint64_t after_leaving = 0;     // attempts that reached an engine over 0.1 s after the client left
    std::uint64_t waits_too_long = 0;    // attempts with a time limit beyond the client's remaining time
    std::uint64_t unrested = 0;          // attempts that started within the quiet period of their key
    std::uint64_t misplaced = 0;         // attempts in a zone where their type may not run
    std::uint64_t over_ration = 0;       // retries beyond the retry budget
    std::uint64_t over_cold_budget = 0;  // attempts beyond the slow start of a cold engine
    // How often the quiet period, the retry budget and the slow start were checked.
    std::uint64_t rests_seen = 0, further_seen = 0, cold_seen = 0;
    std::vector<Time> drain_delays;   // from each order to the last new attempt; 0 where none followed
    std::vector<std::string> faults;  // descriptions of the first 20 violations
    bool clean() const { return keeps_rules() && late == 0; }
    // The operators' rules alone: an answer that is up to half a second late breaks none of them.
    bool keeps_rules() const {
      return lost + doubled + twice_run + overlaps + disorder + late_over_500ms + after_leaving +
                 waits_too_long + unrested + misplaced + over_ration + over_cold_budget ==
             0;
    }
  };
  // Counts open requests as lost once their deadline passed 500 ms ago; others are not judged yet.
  const Verdict& verdict();
  std::uint64_t open() const { return open_count_; }

 private:
  struct Attempt {
    std::string engine;
    bool has_ended = false, was_rejected = false;
  };
  struct Request {
    int manager = 0;
    Kind kind;
    std::uint64_t key = 0, sequence = 0;
    Time deadline{};
    int answers = 0;
    bool given_up = false;        // closed without an answer
    bool excused = false;         // its manager was killed and may have written an answer before
    std::optional<Time> left_at;  // when its client withdrew it
    std::vector<Attempt> attempts;
    bool is_closed() const { return answers > 0 || given_up; }
    bool is_running() const {
      return std::ranges::any_of(attempts, [](const Attempt& attempt) { return !attempt.has_ended; });
    }
  };
  // The requests of one ordered key at one manager.
  struct KeyQueue {
    int manager = 0;
    std::uint64_t next_sequence = 1, last_started_sequence = 0;
    std::string running_id;           // the request that an engine runs, or empty
    std::deque<std::string> pending;  // written, and not known to have ended
    Time quiet_until{};
  };
  // A request that started while an earlier one of its key was open. The rules were kept if the earlier one's
  // answer arrives within moments.
  struct Overtaken {
    std::string earlier, later;
    Time at{};
  };
  struct WarmingEngine {
    Time since{};
    double limit_ms = 0;
    std::deque<std::pair<Time, double>> work_ms;
  };
  struct Drain {
    Time ordered_at{}, last_attempt_at{};
  };
  void report_violation(std::uint64_t& count, const std::string& description);
  void close(const std::string& id, Request& request);
  void check_order(const std::string& id, Request& request);
  void check_overtaken();
  void check_zone(const std::string& engine, const std::string& id, const Request& request);
  void check_retry_budget(const std::string& id, const Request& request);
  void check_slow_start(const std::string& engine, const Request& request);
  void reset_manager_state(int manager);
  // By how much an event may be older than its recorded time.
  Time clock_tolerance() const;

  std::map<std::string, Request> requests_;
  std::deque<std::pair<Time, std::string>> closed_;  // closing times, for the removal from requests_
  std::map<std::uint64_t, KeyQueue> key_queues_;
  std::map<std::pair<std::string, int>, std::deque<Time>> recent_attempts_;  // of the last second
  std::map<std::pair<std::string, int>, Drain> drains_;
  std::uint64_t open_count_ = 0;
  bool unseen_give_ups_ = false;
  ServiceTerms terms_;
  std::map<std::string, std::string> zones_;
  std::map<std::string, WarmingEngine> warming_engines_;
  std::vector<Overtaken> overtaken_;
  std::map<int, std::deque<Time>> accepted_, retries_;  // by manager, within the retry budget's window
  std::deque<std::pair<Time, Time>> own_delays_;        // time of report and delay, of the last two seconds
  std::set<int> killed_managers_;
  Verdict verdict_;
};

}  // namespace pearchute::lab

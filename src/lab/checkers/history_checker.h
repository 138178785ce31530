// What stand-in clients and engines saw of each job, with times, and the rules checked by it alone: never by
// the managers' own word. Times are the machine's steady clock.
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

class HistoryChecker {
 public:
  struct Kind {
    bool once = false;              // must never be begun twice unless the first was turned away
    bool in_order = false;          // jobs of one key one at a time, as sent
    std::set<std::string> zones{};  // where it may run; everywhere where none is named
    double usual_work_ms = 0;       // what it counts against a cold engine's budget
  };
  // How a run ends, as its engine sees it.
  enum class RunEnd {
    answered,
    turned_away,  // it never ran
    given_up,     // the manager's word
    cut,          // its connection ended
  };
  // What the rules ask beyond those that need no figures. Nothing where it is never told.
  void set_terms(const ServiceTerms& terms) { terms_ = terms; }
  void set_zone(const std::string& engine, const std::string& zone) { zones_[engine] = zone; }
  // It counts as cold from now on; `cores` says how much it is to be sent.
  void engine_starts(const std::string& engine, int cores);
  // How late this laboratory's own thread was just now: what it sees happened up to so much earlier.
  void own_delay(Time delay);

  // It is about to be written; `written` says when its last byte was.
  void sent(const std::string& job, int manager, const Kind& kind, std::uint64_t key, Time until);
  void written(const std::string& job);
  void crossed(
      const std::string& job);  // the close of its connection: it came to nobody, and is written again
  void answered(const std::string& job, Answer answer);
  void unanswered(const std::string& job);  // its connection ended without one, or its time did
  void withdrawn(const std::string& job);
  void unreached(const std::string& job);  // no connection: it came to nobody
  // The manager was killed, or its machine: what is open there is lost through no fault of its own.
  void manager_died(int manager);
  void manager_lives(int manager);
  // Engines may not hear of what managers give up (they hang, or are cut off), so what they still run is not
  // held against the manager. A job that must run once is judged all the same.
  void set_unseen_give_ups(bool unseen) { unseen_give_ups_ = unseen; }
  // At an engine: how long the manager said that it would wait, when the job came.
  void told_wait(const std::string& job, std::chrono::milliseconds wait);
  // At an engine. A run ends when its answer is written, it is given up, or its connection ends.
  // `lay_unread`: the engine did not read for a while, so it may have come earlier, and in another order.
  // That counts only together with unseen give-ups.
  void begun(const std::string& engine, const std::string& job, bool lay_unread = false);
  void ended(const std::string& engine, const std::string& job, RunEnd how);

  // Manager `manager` had the order to drain `engine` at `came`; nothing new may reach it much later.
  void drain_came(const std::string& engine, int manager, Time came);
  void drain_over(const std::string& engine, int manager);

  struct Verdict {
    std::uint64_t sent = 0, done = 0, refused = 0, failed = 0, withdrawn = 0, unreached = 0;
    std::uint64_t lost = 0, doubled = 0, late = 0, twice_run = 0, overlaps = 0, disorder = 0;
    std::uint64_t drains = 0, late_over_500ms = 0;
    std::uint64_t excused = 0;         // open at a manager that was killed
    std::uint64_t after_leaving = 0;   // begun over 0.1 s after their client had left
    std::uint64_t waits_too_long = 0;  // told an engine more time than the client has left
    std::uint64_t unrested = 0;        // begun before their key had rested
    std::uint64_t misplaced = 0;       // begun where their class may not run
    std::uint64_t over_ration = 0;     // further attempts beyond the budget
    std::uint64_t over_cold_budget = 0;
    std::uint64_t rests_seen = 0, further_seen = 0, cold_seen = 0;  // how often each was put to the test
    std::vector<Time> drain_delays;   // from the order to the last new dispatch; 0 where none came after
    std::vector<std::string> faults;  // the first few, in words
    bool clean() const { return keeps_rules() && late == 0; }
    // As far as the operators' rules go: an answer up to half a second late only earns nothing.
    bool keeps_rules() const {
      return lost + doubled + twice_run + overlaps + disorder + late_over_500ms + after_leaving +
                 waits_too_long + unrested + misplaced + over_ration + over_cold_budget ==
             0;
    }
  };
  // Jobs whose time is not up yet are not judged.
  const Verdict& verdict();
  std::uint64_t open() const { return open_; }

 private:
  struct Run {
    std::string engine;
    bool over = false, turned_away = false;
  };
  struct Job {
    int manager = 0;
    Kind kind;
    std::uint64_t key = 0, turn = 0;
    Time until{};
    int answers = 0;
    bool given_up = false;
    bool excused = false;         // its manager was killed; an answer may have been on its way
    std::optional<Time> left_at;  // by its client
    std::vector<Run> runs;
    bool is_closed() const { return answers > 0 || given_up; }
    bool is_out() const {
      return std::ranges::any_of(runs, [](const Run& run) { return !run.over; });
    }
  };
  // The jobs of a key at one manager.
  struct Line {
    int manager = 0;
    std::uint64_t next_turn = 1, last_begun = 0;
    std::string out;                  // the job of the key that is out
    std::deque<std::string> earlier;  // written, and not known to be over
    Time rests_until{};
  };
  // A job began while an earlier one was open; that one has its answer within moments, or it was a break.
  struct Overtaken {
    std::string earlier, later;
    Time at{};
  };
  struct WarmingEngine {
    Time since{};
    double limit_ms = 0;
    std::deque<std::pair<Time, double>> work;
  };
  struct Drained {
    Time came{}, last{};
  };
  void fault(std::uint64_t& count, const std::string& what);
  void closed(const std::string& id, Job& job);
  void judge_order(const std::string& id, Job& job);
  void judge_overtaken();
  void judge_place(const std::string& engine, const std::string& id, const Job& job);
  void judge_ration(const std::string& id, const Job& job);
  void judge_cold_budget(const std::string& engine, const Job& job);
  void forget_lines_of(int manager);
  // What happened may have done so this much earlier than it was seen.
  Time slack() const;

  std::map<std::string, Job> jobs_;
  std::deque<std::pair<Time, std::string>> over_;  // to be forgotten in time
  std::map<std::uint64_t, Line> lines_;
  std::map<std::pair<std::string, int>, std::deque<Time>> wants_;  // of the last second
  std::map<std::pair<std::string, int>, Drained> drained_;
  std::uint64_t open_ = 0;
  bool unseen_give_ups_ = false;
  ServiceTerms terms_;
  std::map<std::string, std::string> zones_;
  std::map<std::string, WarmingEngine> cold_;
  std::vector<Overtaken> overtaken_;
  std::map<int, std::deque<Time>> taken_, further_;  // by manager, of the ration's window
  std::deque<std::pair<Time, Time>> delays_;         // when, and how long, of the last two seconds
  std::set<int> dead_managers_;
  Verdict verdict_;
};

}  // namespace pearchute::lab

// A stand-in engine: speaks the operators' RESP protocol, runs jobs for the time that their statements say on
// as many cores as it has, holds their grants in its memory, and fails in scripted and seeded ways. It tells
// the record what it saw.
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

// Each share is of the jobs that come. A statement may ask for a fault of its own by `fault=`: error, reset
// (its connection ends), reset-once, hang (it never ends), cut (an answer that stops short), torn (a page
// that is no rows), twice (a second copy), part (one page of two, and then no word), mute (no word any more),
// full, endless (an answer that goes on byte by byte and is never whole).
struct Faults {
  double error = 0, reset = 0, hang = 0, cut = 0, turn_away = 0;
  double slow = 1;      // times the work
  double crossing = 0;  // of the give-ups: it says a word of its own first, as one that has not read them
  bool deaf = false;    // connections stay open, nothing is read
  bool hangs = false;   // what comes is read and noted, and nothing is done or said
  bool refuse = false;  // no new connections
};

class StandInEngine {
 public:
  StandInEngine(net::Loop& loop, std::string name, int cores, double memory_mb, std::uint64_t seed,
                HistoryChecker* record);
  ~StandInEngine();
  const std::string& name() const { return name_; }
  std::string address() const { return address_; }
  void set(const Faults& faults);
  void die();   // resets all connections, and refuses others from then on
  void live();  // at the same address
  std::uint64_t begun() const { return begun_; }
  std::uint64_t given_up() const { return given_up_; }
  bool was_given_up(const std::string& job) const { return given_up_jobs_.contains(job); }
  int begun_times(const std::string& job) const {  // of the first few thousand jobs
    const auto at = begun_jobs_.find(job);
    return at == begun_jobs_.end() ? 0 : at->second;
  }
  // How long the manager said that it would wait, when the job last came; nothing where it did not come.
  std::optional<std::chrono::milliseconds> told_wait(const std::string& job) const {
    const auto at = told_waits_.find(job);
    return at == told_waits_.end() ? std::nullopt : std::optional(at->second);
  }
  // When and how much, of the last few thousand statements.
  struct BegunWork {
    Time at{};
    double work_ms = 0;
  };
  const std::deque<BegunWork>& begun_work() const { return begun_work_; }
  std::uint64_t hung() const { return hung_; }
  std::uint64_t signs() const { return signs_; }      // of life that it was asked for
  std::uint64_t crossed() const { return crossed_; }  // words that it said across a give-up
  std::size_t running() const { return running_.size() + waiting_.size(); }
  std::size_t connections() const { return lines_.size(); }         // open now
  std::uint64_t bytes_received() const { return bytes_received_; }  // over all connections so far
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  class Line;
  friend class Line;
  struct Run {
    Line* line = nullptr;
    std::string job;
    double work_ms = 0, grant_mb = 0;
    int rows = 1;
    std::string fault;
    std::uint64_t number = 0;
  };
  void came(const Poco::Net::StreamSocket& socket);
  void want(Line& line, std::vector<std::string>& words);
  void never_mind(Line& line, const std::string& job);
  void given_up(const Run& run);
  void start_next();
  void finish(std::uint64_t number);
  void forget(Line& line);
  void over(const Run& run, HistoryChecker::RunEnd how);
  bool crosses();
  void say_across(const Run& run, bool has_begun);
  void asked_for_a_sign(Line& line, const std::string& tag);

  net::Loop& loop_;
  const std::string name_;
  const int cores_;
  const double memory_mb_;
  std::knuth_b chance_;
  HistoryChecker* record_;
  Faults faults_;
  std::string address_;
  std::unique_ptr<net::ListeningSocket> door_;
  std::map<Line*, std::unique_ptr<Line>> lines_;
  net::DeferredDeletion<Line> gone_;
  std::map<std::uint64_t, Run> running_;
  std::vector<Run> waiting_;
  double granted_mb_ = 0;
  std::uint64_t next_ = 1, begun_ = 0, given_up_ = 0, hung_ = 0, signs_ = 0, crossed_ = 0;
  std::uint64_t bytes_received_ = 0, bytes_sent_ = 0;
  std::map<std::string, int> begun_jobs_;
  std::map<std::string, std::chrono::milliseconds> told_waits_;  // of as many jobs
  std::deque<BegunWork> begun_work_;
  Time reads_backlog_until_{};                        // what lay unread while it was deaf
  std::set<std::string> given_up_jobs_, reset_jobs_;  // of faults and tests: a few
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::lab

// Stand-in clients: send jobs to managers at times of their own (open loop), over kept connections, as the
// operators' protocol says, follow paths, withdraw, and tell the record what became of each.
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

// What is asked for, once.
struct Ask {
  std::string type = "quick";
  std::string statement = "SELECT work=5 FROM a_1.t";
  std::chrono::milliseconds patience{2000};
  std::uint64_t key = 0;  // 0: none
  double cost_ms = 5, memory_mb = 8;
};

class StandInClients {
 public:
  // `kind_of` tells what the rules hold for a type.
  StandInClients(net::Loop& loop, std::uint64_t seed, HistoryChecker& record,
                 std::function<HistoryChecker::Kind(const std::string&)> kind_of);
  ~StandInClients();
  // A manager's address; the number stands for it from then on.
  int add_manager(const std::string& address);
  // Sends one; `heard` gets the answer, or nothing where none came. Returns its id.
  std::string ask(int manager, const Ask& ask, std::function<void(std::optional<Answer>)> heard = {});
  void withdraw_some(std::size_t most);   // of the jobs that are open
  void withdraw(const std::string& job);  // closes its connection, or deletes its path
  // Offers `rate` jobs a second to the managers in turn, of the mix, until told 0.
  void offer(double rate, std::vector<Ask> mix);
  // Of the jobs offered, this share is left by its client within some milliseconds; of jobs with a key half.
  void leave_early(double share) { leave_early_ = share; }
  // Two jobs of one key, as close as clients may write them: one on a new connection, the other on one that
  // is open already.
  void ask_pair(int manager, const Ask& ask);
  // As clients do with a manager that ends: what is open is used on, though no new connection is made.
  void use_open_lines(int manager, bool use);
  // As the front does that stands before managers, it asks each for its check five times a second, and sends
  // nothing new where the answer is no or does not come.
  bool up(int manager) const;        // by its last check
  void manager_starts(int manager);  // what the last check of its former life said counts no more
  std::uint64_t retry_advised() const { return retry_advised_; }

 private:
  class Line;
  friend class Line;
  struct Manager {
    std::string address;
    std::vector<std::unique_ptr<Line>> lines;
    bool uses_open_lines = false;
  };
  // When a key's last job was written, and whether on a new connection: the next one keeps its distance.
  struct KeySent {
    Time written{};
    bool on_new_connection = false, is_written = true;
  };
  bool keeps_distance(std::uint64_t key) const;
  void wrote(const std::string& job, std::uint64_t key, bool on_new_connection);
  void leave_soon(const std::string& job);
  std::optional<int> next_manager();
  void ask_second(Line& line, const Ask& ask);
  std::string ask_on(Line& line, int manager, const Ask& ask,
                     std::function<void(std::optional<Answer>)> heard);
  Line* free_line(int manager);
  Line& line_to(int manager);
  void drop(Line& line);
  void next(std::uint64_t turn);

  net::Loop& loop_;
  std::knuth_b chance_;
  HistoryChecker& record_;
  std::function<HistoryChecker::Kind(const std::string&)> kind_of_;
  std::vector<Manager> managers_;
  class Check;
  std::vector<std::unique_ptr<Check>> checks_;  // one for each manager
  std::map<std::uint64_t, KeySent> key_sent_;
  std::map<std::string, double> usual_cost_ms_;  // by type, of the jobs on offer
  double leave_early_ = 0;
  net::DeferredDeletion<Line> gone_;
  std::vector<Ask> mix_;
  double rate_ = 0;
  Time next_due_{};
  std::uint64_t next_job_ = 1, offers_ = 0, turn_ = 0, retry_advised_ = 0;
  const std::uint64_t salt_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::lab

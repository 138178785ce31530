// The share of the fleet's recently answered requests that were done, from the counters that the agents
// report. A rollout compares the share before and after a batch.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pearchute::agent {

// Belongs to one rollout, and covers all instances of the fleet.
class CompletionRate {
 public:
  // Adds an instance's counters, which count since its process `pid` started. If the pid has changed or
  // `answered` has decreased, the process is new: its counters are the baseline for the next call.
  void add(const std::string& instance, std::uint64_t pid, std::uint64_t done, std::uint64_t answered);
  // Reduces the weight of the requests added so far. Call once after each round of reports.
  void decay();
  // Between 0 and 1; 1 if there were too few requests.
  double value() const;

 private:
  // An instance's last reported counters.
  struct Counters {
    std::uint64_t pid = 0;
    std::uint64_t done = 0;
    std::uint64_t answered = 0;
  };
  std::map<std::string, Counters> last_;  // by instance
  double done_ = 0;                       // weighted count of requests
  double answered_ = 0;                   // weighted count of requests
};

}  // namespace pearchute::agent

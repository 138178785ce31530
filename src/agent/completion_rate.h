// The share of the fleet's requests that were done, of late, from the counters that the agents report. A
// rollout compares it before and after a batch.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pearchute::agent {

// Of one rollout, over all instances of the fleet.
class CompletionRate {
 public:
  // Counters of an instance since its process, `pid`, started. Another pid, or a counter that went back,
  // counts as a fresh start.
  void add(const std::string& instance, std::uint64_t pid, std::uint64_t done, std::uint64_t answered);
  // After each round of reports: older requests count less.
  void decay();
  // Between 0 and 1; 1 where there were hardly any requests.
  double value() const;

 private:
  // As reported last.
  struct Counters {
    std::uint64_t pid = 0;
    std::uint64_t done = 0;
    std::uint64_t answered = 0;
  };
  std::map<std::string, Counters> last_;  // by instance
  double done_ = 0;                       // decayed counts
  double answered_ = 0;
};

}  // namespace pearchute::agent

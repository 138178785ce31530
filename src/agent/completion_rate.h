// The share of the fleet's recently answered requests that were done, from the counters that the agents
// report. A rollout compares the share before and after a batch.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pearchute::agent {

// An instance's counters, which count since its process started.
struct InstanceCounters {
  std::uint64_t pid = 0;
  // As in ProcessSupervisor::InstanceStatus; tells apart processes that have the same pid. 0: not known,
  // since the process didn't answer or its agent doesn't tell it.
  std::uint64_t process_id = 0;
  std::uint64_t done = 0;
  std::uint64_t answered = 0;
};

// Belongs to one rollout, and covers all instances of the fleet.
class CompletionRate {
 public:
  // Adds an instance's counters. If the process is another one, or a counter has decreased, they are the
  // baseline for the next call.
  void add(const std::string& instance, const InstanceCounters& counters);
  // Reduces the weight of the requests added so far. Call once after each round of reports.
  void decay();
  // Between 0 and 1; 1 if there were too few requests.
  double value() const;

 private:
  std::map<std::string, InstanceCounters> last_;  // by instance
  double done_ = 0;                               // weighted count of requests
  double answered_ = 0;                           // weighted count of requests
};

}  // namespace pearchute::agent

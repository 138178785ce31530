// Processor time, memory and descriptors of a process, read from /proc by its id.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace pearchute::lab {

// The resources that one process has used at a time of the steady clock.
struct ProcessUsage {
  std::chrono::microseconds taken_at{};
  // Processor time of all threads, including ended ones, from the process's CPU clock.
  std::chrono::nanoseconds cpu_time{};
  std::uint64_t resident_kb = 0;
  std::uint64_t peak_resident_kb = 0;
  std::uint64_t descriptors = 0;
  std::uint64_t threads = 0;
};

// Returns no value if there is no such process.
std::optional<std::chrono::nanoseconds> cpu_time_of(pid_t process);

// Total memory of the machine; 0 if it can't be read.
std::uint64_t machine_memory_kb();

// Returns no value if the process has ended or may not be read.
std::optional<ProcessUsage> read_process_usage(pid_t process);

// Processor time used between two readings, as a share of one core; 0 if no time passed between them.
double cpu_share_between(const ProcessUsage& earlier, const ProcessUsage& later);

// Readings of one process over a run. The caller decides when to take them. Once `max_samples` are kept, each
// new reading replaces the last one.
class ProcessUsageSampler {
 public:
  static constexpr std::size_t max_samples = 100'000;
  explicit ProcessUsageSampler(pid_t process) : process_(process) {}
  // Returns false, and adds no reading, if the process can't be read.
  bool sample();
  const std::vector<ProcessUsage>& samples() const { return samples_; }
  double mean_cpu_share() const;  // from the first reading to the last
  double max_cpu_share() const;   // highest between two consecutive readings
  std::uint64_t most_resident_kb() const;
  std::uint64_t most_descriptors() const;

 private:
  pid_t process_;
  std::vector<ProcessUsage> samples_;
};

}  // namespace pearchute::lab

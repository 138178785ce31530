// Processor time, memory and descriptors of a process, read from /proc by its id.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace pearchute::lab {

// What one process has used by a moment of the steady clock.
struct ProcessUsage {
  std::chrono::microseconds taken_at{};
  // Time on a processor over all threads, those that have ended among them, by the process's own clock.
  std::chrono::nanoseconds cpu_time{};
  std::uint64_t resident_kb = 0;
  std::uint64_t peak_resident_kb = 0;
  std::uint64_t descriptors = 0;
  std::uint64_t threads = 0;
};

// Nothing where there is no such process.
std::optional<std::chrono::nanoseconds> cpu_time_of(pid_t process);

std::uint64_t machine_memory_kb();

// Nothing where the process is gone or is not ours to read.
std::optional<ProcessUsage> read_process_usage(pid_t process);

// Processor time spent between two readings as a share of one core; 0 where no time has passed.
double cpu_share_between(const ProcessUsage& earlier, const ProcessUsage& later);

// Readings of one process over a run. The caller decides when to take them; at most `most_samples` are kept.
class ProcessUsageSampler {
 public:
  static constexpr std::size_t most_samples = 100'000;
  explicit ProcessUsageSampler(pid_t process) : process_(process) {}
  // False where the process could not be read; then nothing is added.
  bool sample();
  const std::vector<ProcessUsage>& samples() const { return samples_; }
  double mean_cpu_share() const;  // from the first reading to the last
  double most_cpu_share() const;  // between two readings next to each other
  std::uint64_t most_resident_kb() const;
  std::uint64_t most_descriptors() const;

 private:
  pid_t process_;
  std::vector<ProcessUsage> samples_;
};

}  // namespace pearchute::lab

// The processor time of another process, read from that process's CPU clock. Unlike a sum over its current
// threads, it includes the time of threads that have ended.
#pragma once

#include <sys/types.h>

#include <chrono>

namespace pearchute::lab {

// Throws SystemError where the process has ended.
std::chrono::nanoseconds process_cpu_time(pid_t process);

// The processor time that a process uses from the construction of the meter on.
class CpuMeter {
 public:
  explicit CpuMeter(pid_t process);
  double microseconds() const;             // of processor time
  double seconds() const;                  // of elapsed time
  double microseconds_per_second() const;  // the mean processor time per elapsed second

 private:
  const pid_t process_;
  const std::chrono::steady_clock::time_point started_at_;
  const std::chrono::nanoseconds started_cpu_;
};

}  // namespace pearchute::lab

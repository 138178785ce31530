// The processor time of another process by its own clock, in nanoseconds. Unlike a sum over the threads that
// are there now, it keeps the time of threads that have ended.
#pragma once

#include <sys/types.h>

#include <chrono>

namespace pearchute::lab {

// Throws SystemError where the process is gone.
std::chrono::nanoseconds process_cpu_time(pid_t process);

// What a process uses from the meter's making on.
class CpuMeter {
 public:
  explicit CpuMeter(pid_t process);
  double microseconds() const;             // of processor time so far
  double seconds() const;                  // that have passed
  double microseconds_per_second() const;  // of processor time, on average

 private:
  const pid_t process_;
  const std::chrono::steady_clock::time_point started_at_;
  const std::chrono::nanoseconds started_cpu_;
};

}  // namespace pearchute::lab

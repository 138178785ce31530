#include "lab/measurements/process_cpu_clock.h"

#include <ctime>
#include <string>

#include "errors/error.h"

namespace pearchute::lab {

std::chrono::nanoseconds process_cpu_time(pid_t process) {
  clockid_t clock{};
  timespec used{};
  if (::clock_getcpuclockid(process, &clock) != 0 || ::clock_gettime(clock, &used) != 0)
    throw SystemError("no processor clock of process " + std::to_string(process));
  return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

CpuMeter::CpuMeter(pid_t process)
    : process_(process),
      started_at_(std::chrono::steady_clock::now()),
      started_cpu_(process_cpu_time(process)) {}

double CpuMeter::microseconds() const {
  return std::chrono::duration<double, std::micro>(process_cpu_time(process_) - started_cpu_).count();
}

double CpuMeter::seconds() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at_).count();
}

double CpuMeter::microseconds_per_second() const {
  const double elapsed = seconds();
  return elapsed > 0 ? microseconds() / elapsed : 0;
}

}  // namespace pearchute::lab

#include "lab/measurements/process_cpu_clock.h"

#include <string>

#include "errors/error.h"
#include "lab/checkers/process_usage.h"

namespace pearchute::lab {

std::chrono::nanoseconds process_cpu_time(pid_t process) {
  const auto used = cpu_time_of(process);
  if (!used) throw SystemError("can't read the processor clock of process " + std::to_string(process));
  return *used;
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

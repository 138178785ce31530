#include "lab/scale/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace pearchute::lab {

ProcessUsage usage_of(pid_t process) {
  ProcessUsage usage;
  const std::string folder = "/proc/" + std::to_string(process);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) usage.memory_kb = std::stoull(line.substr(6));
  }
  std::ifstream stat(folder + "/stat");
  const std::string text{std::istreambuf_iterator<char>(stat), {}};
  const std::size_t behind_name = text.rfind(')');
  if (behind_name == std::string::npos) return usage;
  std::istringstream fields(text.substr(behind_name + 2));
  // The field behind the name is the third; user and system time are the 14th and 15th.
  std::string skipped;
  for (int field = 3; field < 14; ++field) fields >> skipped;
  std::uint64_t user = 0, system = 0;
  fields >> user >> system;
  const auto ticks_a_second = static_cast<std::uint64_t>(::sysconf(_SC_CLK_TCK));
  usage.processor = std::chrono::milliseconds((user + system) * 1000 / ticks_a_second);
  return usage;
}

std::uint64_t machine_memory_kb() {
  std::ifstream meminfo("/proc/meminfo");
  for (std::string line; std::getline(meminfo, line);) {
    if (line.starts_with("MemTotal:")) return std::stoull(line.substr(9));
  }
  return 0;
}

}  // namespace pearchute::lab

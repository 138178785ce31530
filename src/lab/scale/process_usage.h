// What a process takes of the machine, as the system counts it.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>

namespace pearchute::lab {

struct ProcessUsage {
  std::uint64_t memory_kb = 0;             // resident
  std::chrono::milliseconds processor{0};  // user and system time
};
// All zero where there is no such process.
ProcessUsage usage_of(pid_t process);
std::uint64_t machine_memory_kb();

}  // namespace pearchute::lab

// The daemon as a process whose system calls can be made to fail, by the laboratory's preloaded library.
#pragma once

#include "daemon_fixture.h"
#include "lab/faults/fault_injection.h"

namespace pearchute::test {

inline std::int64_t elapsed_ms(Clock::time_point since) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - since).count();
}

// A daemon whose system calls can be made to fail.
struct FaultyDaemon : DaemonFixture {
  FaultInjection faults;
  explicit FaultyDaemon(std::uint64_t seed = 1)
      : faults(PEARCHUTE_FAULTS, folder + "/faults", "pearchuted", seed) {
    environment = faults.environment();
  }
};

}  // namespace pearchute::test

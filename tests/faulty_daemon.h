// A daemon process under fault injection: the laboratory's preloaded library makes its system calls fail.
#pragma once

#include "daemon_fixture.h"
#include "lab/faults/fault_injection.h"

namespace pearchute::test {

inline std::int64_t elapsed_ms(Clock::time_point since) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - since).count();
}

// A daemon whose system calls fail as set in `faults`.
struct FaultyDaemon : DaemonFixture {
  FaultInjection faults;
  explicit FaultyDaemon(std::uint64_t seed = 1)
      : faults(PEARCHUTE_FAULTS, folder + "/faults", "pearchuted", seed) {
    environment = faults.environment();
  }
};

// Checks that the manager answers all connections that wait in the listen backlog when it stops listening,
// even if accept fails with this kind of fault at that moment.
inline void answers_all_that_wait_at_the_end(FaultKind kind) {
  FaultyDaemon fixture;
  fixture.more = R"("limits":{"sockets":1024})";
  fixture.go(usual_settings, known({{"a", fixture.engine("a")}}));
  kill(fixture.daemon, SIGTERM);
  pass(milliseconds(200));  // the daemon has handled the signal
  kill(fixture.daemon, SIGSTOP);
  pass(milliseconds(50));
  fixture.faults.set(kind, 0.1);
  std::vector<int> late;
  for (int i = 0; i < 100; ++i) late.push_back(fixture.open(job("work=1", 900, "brief")));
  pass(milliseconds(600));  // past the time at which the daemon stops listening
  kill(fixture.daemon, SIGCONT);
  int broken = 0;
  for (const int fd : late) {
    broken += !hear(fd).starts_with("HTTP/1.1 ");
    close(fd);
  }
  std::fprintf(stderr, "%d of 100 connections had no answer\n", broken);
  assert(broken == 0 && fixture.faults.struck(kind) > 0);
  assert(fixture.ended() == 0);
}

}  // namespace pearchute::test

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

// Connections wait to be accepted when the manager stops listening, and accept fails in that way just then:
// all are answered.
inline void answers_all_that_wait_at_the_end(FaultKind kind) {
  FaultyDaemon fixture;
  fixture.more = R"("limits":{"sockets":1024})";
  fixture.go(usual_settings, known({{"a", fixture.engine("a")}}));
  kill(fixture.daemon, SIGTERM);
  pass(milliseconds(200));  // it has heard
  kill(fixture.daemon, SIGSTOP);
  pass(milliseconds(50));
  fixture.faults.set(kind, 0.1);
  std::vector<int> late;
  for (int i = 0; i < 100; ++i) late.push_back(fixture.open(job("work=1", 900, "brief")));
  pass(milliseconds(600));  // past the time at which it stops to listen
  kill(fixture.daemon, SIGCONT);
  int broken = 0;
  for (const int fd : late) {
    broken += !hear(fd).starts_with("HTTP/1.1 ");
    close(fd);
  }
  std::fprintf(stderr, "%d of 100 had no answer\n", broken);
  assert(broken == 0 && fixture.faults.struck(kind) > 0);
  assert(fixture.ended() == 0);
}

}  // namespace pearchute::test

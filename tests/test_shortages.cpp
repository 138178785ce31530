// System calls that fail for a moment at an awkward one, from outside: the daemon as a process whose calls
// are made to fail. Each scenario is a test of its own, named on the command line.
#include <cstring>
#include <nlohmann/json.hpp>

#include "faulty_daemon.h"
#include "scenarios.h"
#include "scripted_discovery.h"

using namespace pearchute::test;
using namespace pearchute::lab;

namespace {

// The system has no memory to watch a socket with, now and then: what came on it is answered all the same.
void sockets_unwatched() {
  FaultyDaemon fixture;
  fixture.go(usual_settings, known({{"a", fixture.engine("a")}}));
  fixture.faults.set(FaultKind::watch_fails, 0.3);
  int answered = 0;
  for (int i = 0; i < 100; ++i) {
    const JobCall call = job("work=1", 3000);
    const int fd = fixture.open(call);
    answered += hear(fd).starts_with("HTTP/1.1 200");
    close(fd);
  }
  std::fprintf(stderr, "%d of 100 were answered\n", answered);
  assert(fixture.faults.struck(FaultKind::watch_fails) > 10);
  assert(answered == 100);
}

constexpr Scenario scenarios[] = {
    {"sockets_unwatched", sockets_unwatched}};

}  // namespace

int main(int count, char** names) { return play_named(scenarios, count, names); }

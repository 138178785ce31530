// An agent as a process whose system calls fail for a moment: what it looks after is taken neither for ended
// nor for somebody else's, and nothing is started twice. Each scenario is a test of its own, named on the
// command line.
#include <signal.h>

#include <cassert>
#include <cstdio>
#include <fstream>
#include <iterator>

#include "lab/faults/fault_injection.h"
#include "lab/stand_ins/agent_cluster.h"
#include "scenarios.h"

using namespace pearchute;
using namespace pearchute::lab;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ClusterSpec small_site() {
  ClusterSpec site;
  site.managers = 2, site.engines = 2, site.pearchuted = PEARCHUTED, site.pearchute_agent = PEARCHUTE_AGENT;
  site.starts_managers = false;
  return site;
}

// One agent with two managers, and the calls of that agent alone.
struct FaultyAgent {
  AgentCluster fleet{small_site(), 1};
  Agent& agent = fleet.agents[0];
  FaultInjection faults{PEARCHUTE_FAULTS, fleet.world.folder() + "/faults", "pearchute-agent", 1};

  FaultyAgent() {
    agent.end(SIGKILL);
    agent.environment = faults.environment();
    agent.start();
    assert(wait_for([&] { return fleet.all_serve(); }));
  }
  std::map<std::string, std::uint64_t> processes() {
    std::map<std::string, std::uint64_t> all;
    for (const auto& [name, instance] : fleet.conditions()) all[name] = instance.pid();
    return all;
  }
  // How often its log says so.
  int told(const std::string& words) {
    std::ifstream log(agent.charter + ".log");
    const std::string text{std::istreambuf_iterator<char>(log), {}};
    int count = 0;
    for (std::size_t at = 0; (at = text.find(words, at)) != std::string::npos; ++at) ++count;
    return count;
  }
};

// A signal that comes while the agent looks whether a process still runs says nothing of that process.
void interrupted_looks() {
  FaultyAgent site;
  const auto before = site.processes();
  const int started = site.told("started, version");
  site.faults.set(FaultKind::wait_interrupted, 0.2);
  assert(wait_for([&] { return site.faults.struck(FaultKind::wait_interrupted) > 200; }));
  site.faults.set_none();
  assert(wait_for([&] { return site.fleet.all_serve(); }));
  std::fprintf(stderr, "%d starts in all\n", site.told("started, version"));
  assert(site.processes() == before && site.told("started, version") == started);
}

// An agent that starts while descriptors run short still knows what it looks after.
void restart_while_files_run_short() {
  FaultyAgent site;
  const auto before = site.processes();
  const int started = site.told("started, version");
  for (int i = 0; i < 6; ++i) {
    site.agent.end(SIGKILL);
    site.faults.set(FaultKind::open_fails, 0.3);
    site.agent.start();
    assert(wait_for([&] { return site.fleet.all_serve(); }));
    site.faults.set_none();
    std::fprintf(stderr, "%d starts in all\n", site.told("started, version"));
    assert(site.processes() == before && site.told("started, version") == started);
  }
  assert(site.faults.struck(FaultKind::open_fails) > 0);
}

constexpr test::Scenario scenarios[] = {{"interrupted_looks", interrupted_looks},
                                        {"restart_while_files_run_short", restart_while_files_run_short}};

}  // namespace

int main(int count, char** names) { return test::play_named(scenarios, count, names); }

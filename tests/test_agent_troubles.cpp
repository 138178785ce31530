// Faults around agents, as processes over five managers and stand-in engines: an agent that is stopped until
// its lease has expired and then continues, a command that doesn't start, an unusable configuration file at a
// reload, a foreign process at an instance's address, and a request that hangs during a drain.
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <fstream>

#include "agent/agent_config.h"
#include "agent/grpc_credentials.h"
#include "agent/processes.h"
#include "lab/stand_ins/admin_endpoints.h"
#include "lab/stand_ins/agent_cluster.h"

using namespace pearchute;
using namespace pearchute::lab;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string state_of(Agent& agent, const std::string& id) { return agent.rollout(id).state(); }

int main() {
  ClusterSpec site;
  site.managers = 5, site.engines = 4, site.pearchuted = PEARCHUTED, site.pearchute_agent = PEARCHUTE_AGENT,
  site.starts_managers = false;
  AgentCluster fleet(site);
  TestCluster& world = fleet.world;
  Agent &first = fleet.agents[0], &second = fleet.agents[1], &third = fleet.agents[2];
  const auto all_serve = [&] { return fleet.all_serve(); };
  assert(wait_for(all_serve) && world.all_serving(4));
  world.on([&] {
    world.crowd().offer(100, {{"quick", "SELECT work=5 FROM a_1.t", milliseconds(2000), 0, 5, 8},
                              {"once", "UPDATE work=8 a_4.t", milliseconds(2000), 0, 8, 8}});
  });
  std::string fault;

  // An agent is stopped during a step until its lease has expired. The coordinator pauses the rollout. When
  // the agent continues, it doesn't act under the expired lease: the interrupted step falls back.
  assert(first.start_rollout(fleet.plan("stopped", "restart"), &fault).ok() && fault.empty());
  assert(wait_for([&] { return fleet.seen("n3").has_under_way(); }));
  ::kill(second.process, SIGSTOP);
  assert(wait_for([&] { return state_of(first, "stopped") == "paused"; }));
  ::kill(second.process, SIGCONT);
  assert(wait_for(all_serve));
  assert(fleet.seen("n3").last().end() == "fell_back");
  assert(first.say("stopped", "abort").empty());
  assert(wait_for([&] { return state_of(first, "stopped") == "aborted"; }));

  // A change to a command that doesn't start is rolled back. The agent reads the new command in a reload of
  // its configuration; an earlier reload of an unusable file has changed nothing.
  const auto before = fleet.seen("n5");
  std::ofstream(third.charter) << "[agent]\nnonsense = 1\n";
  ::kill(third.process, SIGHUP);
  std::this_thread::sleep_for(milliseconds(200));
  fleet.write_charter(third, {{"n5", "command.2 = exit 1\ncommand.3 = " + fleet.command_of(4)}});
  ::kill(third.process, SIGHUP);
  agent::v1::Plan change = fleet.plan("broken", "change");
  const agent::v1::Target target = change.targets(4);
  change.clear_targets();
  *change.add_targets() = target;
  change.set_version(2), change.set_version_before(1), change.set_failures(0), change.set_reverts(true);
  change.set_up_within_ms(3000), change.clear_least_serving();
  // Until the agent has reloaded its configuration, it refuses the step to an unknown version, and the
  // rollout ends.
  assert(wait_for([&] {
    change.set_id(change.id() + "+");
    assert(third.start_rollout(change, &fault).ok() && fault.empty());
    assert(wait_for([&] { return state_of(third, change.id()) == "done"; }));
    return third.rollout(change.id()).words().at("n5") == "serves" && fleet.seen("n5").pid() != before.pid();
  }));
  assert(third.rollout(change.id()).word() == "rolled back" && fleet.seen("n5").version() == 1);
  change.set_id("sound"), change.set_version(3), change.set_up_within_ms(8000);
  assert(third.start_rollout(change, &fault).ok() && fault.empty());
  assert(wait_for([&] { return state_of(third, "sound") == "done"; }));
  assert(fleet.seen("n5").version() == 3 && third.rollout("sound").word().empty());
  assert(wait_for(all_serve));

  // A foreign manager takes the instance's address while its agent is down. The restarted agent starts no
  // process there and doesn't end the foreign one. Once that has exited, the agent starts the instance again.
  const std::int64_t own_pid = static_cast<std::int64_t>(fleet.seen("n5").pid());
  third.end(SIGTERM);
  ::kill(static_cast<pid_t>(own_pid), SIGKILL);
  assert(wait_for([&] { return !agent::start_ticks_of(own_pid); }));
  world.start(4);
  for (int i = 0; world.status(4).identity().phase() != "serving" && i < 500; ++i)
    world.rest(milliseconds(10));
  third.start();
  assert(wait_for([&] { return fleet.seen("n5").condition() == "foreign"; }));
  std::this_thread::sleep_for(milliseconds(600));
  assert(world.ended(4) == -1 && fleet.seen("n5").condition() == "foreign");
  world.signal(4, SIGKILL);
  assert(wait_for([&] { return world.ended(4) != -1; }));
  assert(wait_for(all_serve));

  // A request hangs: the drain waits until its timeout, and the instance restarts. The client gets exactly
  // one answer, which is a failure.
  std::optional<Answer> answer;
  bool has_ended = false;
  world.on([&] {
    world.crowd().ask(0, {"quick", "SELECT fault=hang FROM a_1.t", milliseconds(4000), 0, 5, 8},
                      [&](std::optional<Answer> end) { answer = end, has_ended = true; });
  });
  agent::v1::Plan hanging = fleet.plan("hanging", "restart");
  const agent::v1::Target one = hanging.targets(0);
  hanging.clear_targets();
  *hanging.add_targets() = one;
  hanging.set_drain_within_ms(1000);
  const auto old = fleet.seen("n1").pid();
  assert(first.start_rollout(hanging, &fault).ok() && fault.empty());
  assert(wait_for([&] { return state_of(first, "hanging") == "done"; }));
  assert(fleet.seen("n1").pid() != old && wait_for([&] { return world.on([&] { return has_ended; }); }));
  assert(answer && answer != Answer::done);

  world.on([&] { world.crowd().offer(0, {}); });
  assert(world.quiet());
  const HistoryChecker::Verdict verdict = world.verdict();
  for (const std::string& violation : verdict.faults) std::fprintf(stderr, "%s\n", violation.c_str());
  std::printf("%llu requests: %llu done, %llu lost\n", static_cast<unsigned long long>(verdict.sent),
              static_cast<unsigned long long>(verdict.done), static_cast<unsigned long long>(verdict.lost));
  for (Agent& each : fleet.agents) each.end(SIGTERM);
  assert(verdict.doubled == 0 && verdict.twice_run == 0 && verdict.overlaps == 0 && verdict.disorder == 0);
}

// An agent as a process whose system calls fail for a moment: what it looks after is taken neither for ended
// nor for somebody else's, and nothing is started twice. Each scenario is a test of its own, named on the
// command line.
#include <Poco/Net/SocketAddress.h>
#include <grpcpp/grpcpp.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <iterator>

#include "agent/rpc_deadline.h"
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
    faults.set_folder(fleet.world.folder());
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
  std::uint64_t struck = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    site.agent.end(SIGKILL);
    FaultInjection faults(PEARCHUTE_FAULTS, site.fleet.world.folder() + "/faults-of-start", "pearchute-agent",
                          seed);
    faults.set(FaultKind::open_fails, 0.3);
    site.agent.environment = faults.environment();
    site.agent.start();
    assert(wait_for([&] { return site.fleet.all_serve(); }));
    faults.set_none();
    struck += faults.struck(FaultKind::open_fails);
    const auto shown = site.agent.show();
    if (shown && !shown->trouble().empty())
      std::fprintf(stderr, "seed %llu: %s\n", static_cast<unsigned long long>(seed),
                   shown->trouble().c_str());
    assert(shown && shown->trouble().empty());  // it takes orders
    assert(site.processes() == before && site.told("started, version") == started);
  }
  std::fprintf(stderr, "%d starts in all, %llu opens failed\n", started,
               static_cast<unsigned long long>(struck));
  assert(struck > 10);
}

// Whether the agent answers a caller that has not called before.
bool answers_newcomers(Agent& agent) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // a connection of its own
  const auto channel =
      grpc::CreateCustomChannel(agent.control, grpc::InsecureChannelCredentials(), arguments);
  grpc::ClientContext context;
  context.set_deadline(agent::deadline_in(milliseconds(500)));
  agent::v1::Shown shown;
  return agent::v1::Agent::NewStub(channel)->Show(&context, {}, &shown).ok();
}

// Connections that can't be accepted for a moment: those that come later are.
void accept_fails_for_a_moment() {
  FaultyAgent site;
  assert(answers_newcomers(site.agent));
  for (const FaultKind kind : {FaultKind::accept_fails, FaultKind::accept_odd}) {
    const std::uint64_t before = site.faults.struck(kind);
    site.faults.set(kind, 1);
    assert(wait_for([&] { return answers_newcomers(site.agent), site.faults.struck(kind) > before; }));
    site.faults.set_none();
    assert(wait_for([&] { return answers_newcomers(site.agent); }, seconds(15)));
  }
}

// Whether somebody takes a connection at the agent's TLS address: bytes that are no handshake end it.
bool heeds_newcomers(const std::string& address) {
  const Poco::Net::SocketAddress place(address);
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval patience{1, 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  char byte = 0;
  const std::string words = "this is no handshake\r\n\r\n";
  const bool heard = ::connect(descriptor, place.addr(), place.length()) == 0 &&
                     ::send(descriptor, words.data(), words.size(), MSG_NOSIGNAL) > 0 &&
                     (::recv(descriptor, &byte, 1, 0) >= 0 || errno == ECONNRESET);
  ::close(descriptor);
  return heard;
}

// Callers that break off before they are accepted, as on a busy machine, take nothing from those behind them.
void callers_break_off_while_they_wait() {
  FaultyAgent site;
  assert(wait_for([&] { return heeds_newcomers(site.agent.listen); }));
  const Poco::Net::SocketAddress place(site.agent.listen);
  ::kill(site.agent.process, SIGSTOP);
  for (int i = 0; i < 5; ++i) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    assert(::connect(descriptor, place.addr(), place.length()) == 0);
    const linger at_once{1, 0};  // a reset
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(descriptor);
  }
  ::kill(site.agent.process, SIGCONT);
  assert(wait_for([&] { return heeds_newcomers(site.agent.listen); }, seconds(15)));
}

// A wall clock that is stepped by an hour, both ways, while a rollout runs: claims, leases, times allowed and
// remote calls go by real time.
void rollout_over_clock_steps() {
  FaultyAgent site;
  const auto before = site.processes();
  std::string fault;
  agent::v1::Plan plan = site.fleet.plan("steps", "restart");
  plan.clear_least_serving();
  assert(site.agent.start_rollout(plan, &fault).ok() && fault.empty());
  int steps = 0;
  assert(wait_for([&] {
    const auto hour = std::chrono::hours(1);
    site.faults.step_wall_clock(++steps % 3 == 0 ? std::chrono::hours(0) : steps % 3 == 1 ? hour : -hour);
    return site.agent.rollout("steps").state() == "done";
  }));
  assert(site.agent.rollout("steps").word().empty() && site.faults.wall_clock_reads() > 0 && steps > 6);
  site.faults.step_wall_clock({});
  assert(wait_for([&] { return site.fleet.all_serve(); }));
  for (const auto& [name, pid] : site.processes()) assert(pid != before.at(name));
}

// All kinds of calls fail now and then while a rollout restarts the instances, one after another: it is done
// in the end, and each instance has one new process.
void rollout_while_calls_fail() {
  FaultyAgent site;
  const auto before = site.processes();
  const int started = site.told("started, version");
  constexpr FaultKind kinds[] = {
      FaultKind::receive_interrupted, FaultKind::receive_short,    FaultKind::send_interrupted,
      FaultKind::send_short,          FaultKind::accept_fails,     FaultKind::accept_odd,
      FaultKind::socket_fails,        FaultKind::connect_fails,    FaultKind::connect_interrupted,
      FaultKind::watch_fails,         FaultKind::wait_interrupted, FaultKind::open_fails,
      FaultKind::process_fails};
  for (const FaultKind kind : kinds) site.faults.set(kind, 0.08);
  agent::v1::Plan plan = site.fleet.plan("failing", "restart");
  plan.clear_least_serving();
  std::string fault;
  assert(wait_for([&] { return site.agent.start_rollout(plan, &fault).ok(); }) && fault.empty());
  assert(wait_for([&] { return site.agent.rollout("failing").state() == "done"; }));
  site.faults.set_none();
  assert(site.agent.rollout("failing").word().empty());
  assert(wait_for([&] { return site.fleet.all_serve(); }));
  const agent::v1::Rollout rollout = site.agent.rollout("failing");
  for (const auto& [name, word] : rollout.words())
    std::fprintf(stderr, "%s: %s\n", name.c_str(), word.c_str());
  for (const auto& [name, pid] : site.processes()) assert(pid != before.at(name));
  assert(site.told("started, version") == started + static_cast<int>(before.size()));
  for (const FaultKind kind :
       {FaultKind::receive_interrupted, FaultKind::send_interrupted, FaultKind::wait_interrupted})
    assert(site.faults.struck(kind) > 0);
}

// The folder of the agent's state fails for a while amid a rollout, and the agent is killed meanwhile: once
// the folder is sound the rollout ends, or has stopped and says why, and no instance is left half way.
void rollout_while_the_folder_fails() {
  FaultyAgent site;
  const auto before = site.processes();
  agent::v1::Plan plan = site.fleet.plan("owed", "restart");
  plan.clear_least_serving();
  std::string fault;
  assert(site.agent.start_rollout(plan, &fault).ok() && fault.empty());
  assert(wait_for([&] { return site.fleet.seen("n1").has_under_way(); }));
  constexpr FaultKind kinds[] = {FaultKind::folder_write_fails, FaultKind::folder_write_short,
                                 FaultKind::folder_sync_fails};
  for (const FaultKind kind : kinds) site.faults.set(kind, 0.5);
  assert(wait_for([&] { return site.faults.struck(FaultKind::folder_write_fails) > 0; }));
  site.agent.end(SIGKILL);
  site.agent.start();
  const std::uint64_t struck = site.faults.struck(FaultKind::folder_write_fails);
  assert(wait_for([&] { return site.faults.struck(FaultKind::folder_write_fails) > struck; }));
  site.faults.set_none();
  assert(wait_for([&] { return site.agent.show() && site.agent.show()->trouble().empty(); }));
  agent::v1::Rollout rollout;
  assert(wait_for([&] {
    rollout = site.agent.rollout("owed");
    return rollout.state() == "done" || rollout.state() == "paused" || rollout.state() == "failed";
  }));
  std::fprintf(stderr, "the rollout is %s: %s\n", rollout.state().c_str(), rollout.word().c_str());
  assert((rollout.state() == "done") == rollout.word().empty());
  assert(wait_for([&] { return site.fleet.all_serve(); }));
  if (rollout.state() == "done")
    for (const auto& [name, pid] : site.processes()) assert(pid != before.at(name));
}

// An instance that has ended is started again, though no process can be had at first.
void no_process_for_a_moment() {
  FaultyAgent site;
  site.faults.set(FaultKind::process_fails, 1);
  ::kill(static_cast<pid_t>(site.processes().begin()->second), SIGKILL);
  assert(wait_for([&] { return site.faults.struck(FaultKind::process_fails) > 1; }));
  site.faults.set_none();
  assert(wait_for([&] { return site.fleet.all_serve(); }));
}

constexpr test::Scenario scenarios[] = {
    {"interrupted_looks", interrupted_looks},
    {"accept_fails_for_a_moment", accept_fails_for_a_moment},
    {"callers_break_off_while_they_wait", callers_break_off_while_they_wait},
    {"rollout_over_clock_steps", rollout_over_clock_steps},
    {"rollout_while_calls_fail", rollout_while_calls_fail},
    {"rollout_while_the_folder_fails", rollout_while_the_folder_fails},
    {"no_process_for_a_moment", no_process_for_a_moment},
    {"restart_while_files_run_short", restart_while_files_run_short}};

}  // namespace

int main(int count, char** names) { return test::play_named(scenarios, count, names); }

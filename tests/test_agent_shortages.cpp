// An agent process whose system calls fail temporarily must not take its instances for exited or foreign, and
// must not start one twice. Each scenario is a test, which the command line names.
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

// One agent with two managers. Faults are injected into the system calls of the agent alone.
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
  // Pids, by instance.
  std::map<std::string, std::uint64_t> processes() {
    std::map<std::string, std::uint64_t> all;
    for (const auto& [name, instance] : fleet.conditions()) all[name] = instance.pid();
    return all;
  }
  // How many times the agent's log contains `text`.
  int count_in_log(const std::string& text) {
    std::ifstream log(agent.charter + ".log");
    const std::string contents{std::istreambuf_iterator<char>(log), {}};
    int count = 0;
    for (std::size_t at = 0; (at = contents.find(text, at)) != std::string::npos; ++at) ++count;
    return count;
  }
};

// A signal that interrupts the agent's check of a process must not make the process count as exited.
void interrupted_process_checks() {
  FaultyAgent site;
  const auto before = site.processes();
  const int started = site.count_in_log("started, version");
  site.faults.set(FaultKind::wait_interrupted, 0.2);
  assert(wait_for([&] { return site.faults.struck(FaultKind::wait_interrupted) > 200; }));
  site.faults.set_none();
  assert(wait_for([&] { return site.fleet.all_serve(); }));
  std::fprintf(stderr, "%d starts in all\n", site.count_in_log("started, version"));
  assert(site.processes() == before && site.count_in_log("started, version") == started);
}

// An agent that restarts while open() fails for want of descriptors adopts all its running instances.
void restart_while_open_fails() {
  FaultyAgent site;
  const auto before = site.processes();
  const int started = site.count_in_log("started, version");
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
    assert(shown && shown->trouble().empty());  // the agent accepts changes
    assert(site.processes() == before && site.count_in_log("started, version") == started);
  }
  std::fprintf(stderr, "%d starts in all, %llu opens failed\n", started,
               static_cast<unsigned long long>(struck));
  assert(struck > 10);
}

// Whether the agent answers an RPC over a new connection.
bool answers_new_connection(Agent& agent) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // shares no connection with other channels
  const auto channel =
      grpc::CreateCustomChannel(agent.control, grpc::InsecureChannelCredentials(), arguments);
  grpc::ClientContext context;
  context.set_deadline(agent::deadline_in(milliseconds(500)));
  agent::v1::Shown shown;
  return agent::v1::Agent::NewStub(channel)->Show(&context, {}, &shown).ok();
}

// The agent keeps accepting connections after accept() has failed. Left to itself, gRPC would stop listening.
void accept_fails_temporarily() {
  FaultyAgent site;
  assert(answers_new_connection(site.agent));
  for (const FaultKind kind : {FaultKind::accept_fails, FaultKind::accept_odd}) {
    const std::uint64_t before = site.faults.struck(kind);
    site.faults.set(kind, 1);
    assert(wait_for([&] { return answers_new_connection(site.agent), site.faults.struck(kind) > before; }));
    site.faults.set_none();
    assert(wait_for([&] { return answers_new_connection(site.agent); }, seconds(15)));
  }
}

// Whether the agent accepts a connection at its TLS address: it sends an alert or ends the connection in
// response to bytes that are not a TLS handshake.
bool accepts_tls_connection(const std::string& address) {
  const Poco::Net::SocketAddress endpoint(address);
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval receive_timeout{1, 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
  char byte = 0;
  const std::string text = "this is not a handshake\r\n\r\n";
  const bool accepted = ::connect(descriptor, endpoint.addr(), endpoint.length()) == 0 &&
                        ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL) > 0 &&
                        (::recv(descriptor, &byte, 1, 0) >= 0 || errno == ECONNRESET);
  ::close(descriptor);
  return accepted;
}

// Clients that reset their connections before the agent accepts them, as on an overloaded machine, must not
// keep it from accepting later ones.
void clients_reset_before_accept() {
  FaultyAgent site;
  assert(wait_for([&] { return accepts_tls_connection(site.agent.listen); }));
  const Poco::Net::SocketAddress endpoint(site.agent.listen);
  ::kill(site.agent.process, SIGSTOP);
  for (int i = 0; i < 5; ++i) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    assert(::connect(descriptor, endpoint.addr(), endpoint.length()) == 0);
    const linger reset_on_close{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    ::close(descriptor);
  }
  ::kill(site.agent.process, SIGCONT);
  assert(wait_for([&] { return accepts_tls_connection(site.agent.listen); }, seconds(15)));
}

// Steps of the wall clock by an hour in both directions don't affect a rollout: leases, timeouts and RPC
// deadlines use the monotonic clock.
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

// A rollout that restarts the instances one after another completes although system calls of many kinds fail
// at random, and starts exactly one new process for each instance.
void rollout_while_system_calls_fail() {
  FaultyAgent site;
  const auto before = site.processes();
  const int started = site.count_in_log("started, version");
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
  for (const auto& [name, detail] : rollout.words())
    std::fprintf(stderr, "%s: %s\n", name.c_str(), detail.c_str());
  for (const auto& [name, pid] : site.processes()) assert(pid != before.at(name));
  assert(site.count_in_log("started, version") == started + static_cast<int>(before.size()));
  for (const FaultKind kind :
       {FaultKind::receive_interrupted, FaultKind::send_interrupted, FaultKind::wait_interrupted})
    assert(site.faults.struck(kind) > 0);
}

// Writes to the folder of the agent's state fail during a rollout, and the agent is killed meanwhile. Once
// the folder works again, the rollout is done, or has stopped with a reason, and no step is left half done.
void rollout_while_state_folder_fails() {
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

// The agent restarts a crashed instance although fork() fails at first.
void fork_fails_temporarily() {
  FaultyAgent site;
  site.faults.set(FaultKind::process_fails, 1);
  ::kill(static_cast<pid_t>(site.processes().begin()->second), SIGKILL);
  assert(wait_for([&] { return site.faults.struck(FaultKind::process_fails) > 1; }));
  site.faults.set_none();
  assert(wait_for([&] { return site.fleet.all_serve(); }));
}

constexpr test::Scenario scenarios[] = {
    {"interrupted_process_checks", interrupted_process_checks},
    {"accept_fails_temporarily", accept_fails_temporarily},
    {"clients_reset_before_accept", clients_reset_before_accept},
    {"rollout_over_clock_steps", rollout_over_clock_steps},
    {"rollout_while_system_calls_fail", rollout_while_system_calls_fail},
    {"rollout_while_state_folder_fails", rollout_while_state_folder_fails},
    {"fork_fails_temporarily", fork_fails_temporarily},
    {"restart_while_open_fails", restart_while_open_fails}};

}  // namespace

int main(int count, char** names) { return test::play_named(scenarios, count, names); }

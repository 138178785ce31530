// Tests of the daemon and the command line as processes whose system calls are made to fail temporarily. Each
// scenario is a test of its own, named on the command line.
#include <sys/stat.h>

#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>

#include "faulty_daemon.h"
#include "lab/stand_ins/admin_endpoints.h"
#include "lab/stand_ins/test_cluster.h"
#include "scenarios.h"
#include "scripted_discovery.h"

using namespace pearchute::test;
using namespace pearchute::lab;

namespace {

// Registering a socket with the event loop fails at times for lack of memory. All requests have to be
// answered.
void watch_registration_fails() {
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

// Connections wait to be accepted when the manager stops listening, and accept returns errors that concern
// one connection each. The connections behind them have to be accepted.
void accept_errors_at_shutdown() { answers_all_that_wait_at_the_end(FaultKind::accept_odd); }

// A connect that a signal interrupts before it starts must not be taken for an unreachable engine.
void interrupted_connects() {
  FaultyDaemon fixture;
  fixture.go(usual_settings, known({{"a", fixture.engine("a")}}));
  fixture.faults.set(FaultKind::connect_interrupted, 0.5);
  // All requests are open at the same time, so each needs a connection to the engine.
  std::vector<int> clients;
  for (int i = 0; i < 12; ++i) clients.push_back(fixture.open(job("work=100", 3000)));
  int answered = 0;
  for (const int fd : clients) {
    answered += hear(fd).starts_with("HTTP/1.1 200");
    close(fd);
  }
  const std::uint64_t unreachable = fixture.counter("unreachable");
  std::fprintf(stderr, "%d of 12 were answered, %llu attempts were unreachable\n", answered,
               static_cast<unsigned long long>(unreachable));
  assert(fixture.faults.struck(FaultKind::connect_interrupted) > 2);
  assert(answered == 12 && unreachable == 0);
}

std::string list_of(const std::vector<StandInChannel::Member>& members) {
  return StandInChannel::event(1, members, true).dump();
}

// Discovery is unreachable, and a reloaded configuration contains newer events. The drain of an engine among
// them has to take effect.
void reload_applies_drain(const std::string& later_events) {
  DaemonFixture fixture;
  const std::string a = fixture.engine("a"), b = fixture.engine("b");
  int unused_port = 0;
  close(listen_on(unused_port));
  const std::string channel = "127.0.0.1:" + std::to_string(unused_port);
  const std::string start = list_of({{"a", a, "east", "std", "active"}, {"b", b, "east", "std", "active"}});
  const std::string drain = StandInChannel::event(2, {{"a", a, "east", "std", "leaving"}}, false).dump();
  fixture.configure(usual_settings, R"({"cursor":1,"cmds":[)" + start + "]}", channel);
  fixture.go();
  fixture.configure(usual_settings, R"({"cursor":2,"cmds":[)" + start + "," + drain + later_events + "]}",
                    channel);
  kill(fixture.daemon, SIGHUP);
  // Sends many requests at once, so that an engine that accepts requests gets some of them.
  const auto begun_at_a = [&] {
    std::vector<JobCall> calls;
    std::vector<int> clients;
    for (int i = 0; i < 10; ++i) {
      calls.push_back(job("work=30", 3000));
      clients.push_back(fixture.open(calls.back()));
    }
    int begun = 0;
    for (std::size_t i = 0; i < calls.size(); ++i) {
      assert(hear(clients[i]).starts_with("HTTP/1.1 200"));
      close(clients[i]);
      begun += fixture.begun("a", calls[i]);
    }
    return begun;
  };
  assert(soon([&] { return begun_at_a() == 0; }, 20));
  assert(begun_at_a() == 0);
}

void reload_applies_newer_events() { reload_applies_drain(""); }

// The events before a malformed one take effect.
void reload_with_a_malformed_event() { reload_applies_drain(R"(,{"cursor":"three"})"); }

// The endpoint list contains an engine with a host name instead of a numeric address, and resolving is slow.
// Requests for the other engine must not wait for that.
void engine_with_a_host_name() {
  FaultyDaemon fixture;
  fixture.faults.set(FaultKind::resolve_slow, 1);
  fixture.go(usual_settings, known({{"a", fixture.engine("a")}, {"b", "engine-b.example:6565"}}));
  const auto begun = Clock::now();
  for (int i = 0; i < 20; ++i) {
    const int fd = fixture.open(job("work=1", 3000));
    assert(hear(fd).starts_with("HTTP/1.1 200"));
    close(fd);
  }
  std::fprintf(stderr, "20 requests took %lld ms\n", static_cast<long long>(elapsed_ms(begun)));
  assert(elapsed_ms(begun) < 1000);
}

// The snapshot of a large fleet may arrive as one HTTP chunk of hundreds of kilobytes.
void list_in_one_chunk() {
  DaemonFixture fixture;
  const std::string engine = fixture.engine("a");
  std::vector<StandInChannel::Member> members = {{"a", engine, "east", "std", "active"}};
  for (int i = 0; i < 3199; ++i)
    members.push_back({"gone" + std::to_string(i), "127.0.0.1:1", "east", "std", "leaving"});
  const std::string event = "id: 1\ndata: " + list_of(members) + "\n\n";
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", event.size());
  std::atomic<bool> stopped = false;
  ScriptedDiscovery discovery([&](int peer) {
    hear_request(peer);
    say(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size) + event + "\r\n");
    while (!stopped) pass(milliseconds(10));
    close(peer);
  });
  fixture.configure(usual_settings, R"({"cursor":0,"cmds":[]})", discovery.address());
  fixture.daemon = ::start(fixture.configuration, fixture.environment);
  const bool ready = soon([&] { return fixture.ready(); }, 500);
  stopped = true;
  assert(ready);
}

// A second manager is started by mistake with the first one's admin channel, and can't get a socket at first
// to check whether a process listens there. It must not remove the first one's socket.
void admin_socket_in_use() {
  DaemonFixture fixture;
  fixture.configure(usual_settings, known({{"a", fixture.engine("a")}}));
  const std::string admin = fixture.folder + "/admin.ini", socket = fixture.folder + "/admin.sock";
  std::ofstream(admin) << "[admin]\nlisten = unix:" << socket << "\norders_file = " << fixture.folder
                       << "/orders\n";
  const auto start_manager = [&](const Environment& more) {
    Environment environment = more;
    environment.emplace_back("PROXY_CONFIG", fixture.configuration);
    return start_child(
        {.program = PEARCHUTED, .arguments = {"--admin", admin}, .environment = environment, .log = {}});
  };
  const auto socket_inode = [&] {
    struct stat status {};
    return stat(socket.c_str(), &status) == 0 ? status.st_ino : 0;
  };
  fixture.daemon = start_manager({});
  assert(soon([&] { return fixture.ready(); }));
  const auto before = socket_inode();
  assert(before != 0);
  std::uint64_t struck = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    FaultInjection faults(PEARCHUTE_FAULTS, fixture.folder + "/faults", "pearchuted", seed);
    faults.set(FaultKind::socket_fails, 0.5);
    assert(end_of(start_manager(faults.environment())) == 1);
    struck += faults.struck(FaultKind::socket_fails);
    assert(socket_inode() == before);
  }
  assert(struck > 0);
  unlink(admin.c_str());
}

// An operator restarts a manager, and creating the new process fails at first. The old one has ended by then,
// so the start has to be retried.
void restart_while_fork_fails() {
  ClusterSpec spec;
  spec.managers = 1, spec.engines = 1, spec.pearchuted = PEARCHUTED;
  TestCluster cluster(spec);
  cluster.must_serve(1);
  const std::string fleet = cluster.write_fleet();
  std::uint64_t struck = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    FaultInjection faults(PEARCHUTE_FAULTS, cluster.folder() + "/faults", "pearchutectl", seed);
    faults.set(FaultKind::process_fails, 0.6);
    const auto before = cluster.status(0).identity().pid();
    const Ran ran =
        run_program(PEARCHUTECTL, {"--fleet", fleet, "restart", "--on", "name = n1"}, faults.environment());
    struck += faults.struck(FaultKind::process_fails);
    std::fprintf(stderr, "seed %llu: status %d\n%s", static_cast<unsigned long long>(seed), ran.status,
                 ran.out.c_str());
    assert(ran.status == 0 && cluster.status(0).identity().pid() != before);
  }
  assert(struck > 0);
}

// The command line's status command succeeds while its own system calls fail at times.
void command_line_while_system_calls_fail() {
  ClusterSpec spec;
  spec.managers = 3, spec.engines = 1, spec.pearchuted = PEARCHUTED;
  TestCluster cluster(spec);
  cluster.must_serve(1);
  const std::string fleet = cluster.write_fleet();
  constexpr FaultKind kinds[] = {FaultKind::receive_interrupted, FaultKind::receive_short,
                                 FaultKind::send_interrupted,    FaultKind::send_short,
                                 FaultKind::socket_fails,        FaultKind::watch_fails,
                                 FaultKind::wait_interrupted};
  std::uint64_t struck = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    FaultInjection faults(PEARCHUTE_FAULTS, cluster.folder() + "/faults", "pearchutectl", seed);
    for (const FaultKind kind : kinds) faults.set(kind, 0.2);
    const Ran ran =
        run_program(PEARCHUTECTL, {"--fleet", fleet, "--output", "json", "status"}, faults.environment());
    for (const FaultKind kind : kinds) struck += faults.struck(kind);
    const auto status = nlohmann::json::parse(ran.out, nullptr, false);
    if (ran.status != 0)
      std::fprintf(stderr, "seed %llu: %s\n", static_cast<unsigned long long>(seed), ran.out.c_str());
    assert(ran.status == 0 && !status.is_discarded());
    for (const char* name : {"n1", "n2", "n3"}) assert(ran.out.find(name) != std::string::npos);
  }
  assert(struck > 20);
}

// Signals interrupt waits at times, also those of the log sink. No log line may be lost by that.
void log_lines_while_waits_are_interrupted() {
  FaultyDaemon fixture;
  fixture.configure(usual_settings, known({{"a", fixture.engine("a")}}));
  const std::string log = fixture.folder + "/log";
  Environment environment = {{"PROXY_CONFIG", fixture.configuration}};
  environment.insert(environment.end(), fixture.environment.begin(), fixture.environment.end());
  fixture.faults.set(FaultKind::wait_interrupted, 0.5);
  fixture.daemon = start_child(
      {.program = PEARCHUTED, .arguments = {}, .environment = environment, .log = log, .inherits = false});
  assert(soon([&] { return fixture.ready(); }));
  constexpr int request_count = 30;
  for (int i = 0; i < request_count; ++i) {
    assert(call(fixture.port, job("work=1", 3000).bytes()).starts_with("HTTP/1.1 200"));
    pass(milliseconds(30));  // the time of several log flushes
  }
  kill(fixture.daemon, SIGTERM);
  assert(fixture.ended() == 0);
  std::ifstream file(log);
  int sent_lines = 0;
  for (std::string line; std::getline(file, line);)
    sent_lines += line.find(" sent: endpoint=a ") != std::string::npos;
  std::fprintf(stderr, "%d of %d lines were written\n", sent_lines, request_count);
  unlink(log.c_str());
  assert(sent_lines == request_count && fixture.faults.struck(FaultKind::wait_interrupted) > 0);
}

constexpr Scenario scenarios[] = {
    {"log_lines_while_waits_are_interrupted", log_lines_while_waits_are_interrupted},

    {"watch_registration_fails", watch_registration_fails},
    {"accept_errors_at_shutdown", accept_errors_at_shutdown},
    {"interrupted_connects", interrupted_connects},
    {"reload_applies_newer_events", reload_applies_newer_events},
    {"reload_with_a_malformed_event", reload_with_a_malformed_event},
    {"engine_with_a_host_name", engine_with_a_host_name},
    {"restart_while_fork_fails", restart_while_fork_fails},
    {"command_line_while_system_calls_fail", command_line_while_system_calls_fail},
    {"list_in_one_chunk", list_in_one_chunk},
    {"admin_socket_in_use", admin_socket_in_use}};

}  // namespace

int main(int count, char** names) { return play_named(scenarios, count, names); }

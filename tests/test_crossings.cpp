// Tests combinations of two or three rare conditions. The daemon runs as a process among stand-ins. Each
// scenario is a test of its own, named on the command line; docs/incidents/ describes how they were found.
#include <atomic>
#include <cstring>
#include <nlohmann/json.hpp>

#include "faulty_daemon.h"
#include "scenarios.h"
#include "scripted_discovery.h"

using namespace pearchute::test;
using namespace pearchute::lab;

namespace {

// The time limit in a request on an engine's connection, in milliseconds; -1 if there is none.
long time_limit_in(const std::string& request) {
  const std::size_t at = request.find(",ms=");
  return at == std::string::npos ? -1 : std::atol(request.c_str() + at + 4);
}

// Settings with a long connect timeout, for engines that accept connections late.
constexpr const char* late_settings = R"({"classes":[
    {"name":"quick","repeat":"pure","slo":8000000,"giveUp":9000000,"worth":1}],
    "hostTypes":["std"],"failureDomains":["east"],"zone":"east","nInstances":1,
    "obligations":{"stopSendingWithin":500000},
    "familyInfo":{"coresByKind":[8],"sizeMb":[8000]},
    "limits":{"attemptsCap":2,"cancel":true,"connectTimeout":6000000,"idleClose":15000000,"streamsPerConn":4}})";

// An engine starts to drain while the connection for a request is still being established: the request must
// not be sent to it.
void drain_while_connecting() {
  DaemonFixture fixture;
  LateDoor late;
  const StandInChannel::Member engine{"d", "127.0.0.1:" + std::to_string(late.port), "east", "std", "active"};
  const std::string channel = fixture.stage.on([&] {
    fixture.channel = std::make_unique<StandInChannel>(fixture.stage.loop());
    fixture.channel->tell({engine}, true);
    return fixture.channel->address();
  });
  fixture.configure(late_settings, R"({"cursor":0,"cmds":[]})", channel);
  fixture.go();
  const JobCall call = job("work=1", 6000);
  const int fd = fixture.open(call);
  assert(soon([&] { return fixture.counter("dispatches") == 1; }));
  fixture.stage.on([&] {
    auto draining = engine;
    draining.phase = "leaving";
    fixture.channel->tell({draining}, false);
  });
  pass(milliseconds(700));  // longer than the 500 ms within which the manager must stop sending
  late.opens();
  const std::string received = late.hears(id_of(call.number), milliseconds(2500));
  assert(received.find(id_of(call.number)) == std::string::npos);
  close(fd);
}

// A connection to an engine is established late: the time limit sent to the engine must be what is left of
// the client's timeout then.
void deadline_after_late_connect() {
  DaemonFixture fixture;
  LateDoor late;
  fixture.go(late_settings, known({{"d", "127.0.0.1:" + std::to_string(late.port)}}));
  const JobCall call = job("work=1", 6000);
  const auto sent = Clock::now();
  const int fd = fixture.open(call);
  assert(soon([&] { return fixture.counter("dispatches") == 1; }));
  pass(milliseconds(1200));
  late.opens();
  const std::string received = late.hears(id_of(call.number), milliseconds(4000));
  const long time_limit = time_limit_in(received), left = 6000 - elapsed_ms(sent);
  std::fprintf(stderr, "time limit %ld ms, %ld ms are left\n", time_limit, left);
  assert(time_limit > 0 && time_limit <= left + 300 + 150);  // received up to 0.3 s late, 150 ms tolerance
  close(fd);
}

// Pipelined requests wait in the manager, and their time runs meanwhile: the engine must receive the
// remaining time as the limit, and a request without any time left must not be sent.
void pipelined_deadlines() {
  DaemonFixture fixture;
  const std::string engine = fixture.engine("a");
  fixture.go(usual_settings, known({{"a", engine}}));
  const JobCall first = job("work=800", 5000), second = job("work=1", 1600), third = job("work=1", 500);
  const int fd = connect_to(fixture.port);
  const auto sent = Clock::now();
  say(fd, first.bytes() + second.bytes() + third.bytes());
  assert(hear(fd).starts_with("HTTP/1.1 200"));
  const auto answered = elapsed_ms(sent);
  assert(hear(fd).starts_with("HTTP/1.1 200"));
  assert(hear(fd).starts_with("HTTP/1.1 503"));
  const auto time_limit =
      fixture.stage.on([&] { return fixture.engines["a"]->time_limit_of(id_of(second.number)); });
  std::fprintf(stderr, "time limit %lld ms, %lld ms were left\n", static_cast<long long>(time_limit->count()),
               static_cast<long long>(1600 - answered));
  assert(time_limit && time_limit->count() <= 1600 - answered + 150);
  assert(fixture.begun("a", third) == 0);
  close(fd);
}

// Overloaded discovery refuses requests at once: the manager must retry with backoff, not as fast as it is
// refused, and must reconnect soon once discovery accepts requests again.
void discovery_refuses() {
  DaemonFixture fixture;
  const std::string engine = fixture.engine("a");
  for (const char* refusal : {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
                              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"}) {
    std::atomic<bool> is_overloaded = true, over = false;
    ScriptedDiscovery discovery([&](int peer) {
      hear_request(peer);
      if (is_overloaded) say(peer, refusal);
      else say(peer, "HTTP/1.1 200 OK\r\n\r\n" + list_event(engine));
      while (!is_overloaded && !over) pass(milliseconds(10));
      close(peer);
    });
    fixture.configure(usual_settings, R"({"cursor":0,"cmds":[]})", discovery.address());
    fixture.daemon = ::start(fixture.configuration, fixture.environment);
    assert(soon([&] { return discovery.connections() > 0; }));
    pass(milliseconds(2000));
    const int asked = discovery.connections();
    std::fprintf(stderr, "connected %d times in two seconds\n", asked);
    assert(asked >= 3 && asked <= 20);
    is_overloaded = false;
    assert(soon([&] { return fixture.ready(); }, 100));
    over = true;
    kill(fixture.daemon, SIGKILL), fixture.ended();
  }
}

// Discovery takes 3.2 s to send its first response: the manager must wait longer at each try, so that it
// becomes ready.
void discovery_slow() {
  DaemonFixture fixture;
  const std::string engine = fixture.engine("a");
  std::atomic<bool> over = false;
  ScriptedDiscovery discovery([&](int peer) {
    hear_request(peer);
    pass(milliseconds(3200));
    say(peer, "HTTP/1.1 200 OK\r\n\r\n" + list_event(engine));
    while (!over) pass(milliseconds(10));
    close(peer);
  });
  fixture.configure(usual_settings, R"({"cursor":0,"cmds":[]})", discovery.address());
  fixture.daemon = ::start(fixture.configuration, fixture.environment);
  const bool ready = soon([&] { return fixture.ready(); }, 900);
  over = true;
  assert(ready);
}

// The daemon is stopped while a request arrives: the time limit sent to the engine must be what is left of
// the client's timeout, including the time during the stop.
void deadline_after_stall() {
  DaemonFixture fixture;
  fixture.go(usual_settings, known({{"a", fixture.engine("a")}}));
  for (int i = 0; i < 5; ++i) {
    kill(fixture.daemon, SIGSTOP);
    pass(milliseconds(20));
    const JobCall call = job("work=1", 3000);
    const auto sent = Clock::now();
    const int fd = fixture.open(call);
    pass(milliseconds(500));
    kill(fixture.daemon, SIGCONT);
    assert(hear(fd).starts_with("HTTP/1.1 200"));
    const auto left = 3000 - elapsed_ms(sent);
    const auto time_limit =
        fixture.stage.on([&] { return fixture.engines["a"]->time_limit_of(id_of(call.number)); });
    std::fprintf(stderr, "time limit %lld ms, %lld ms were left\n",
                 static_cast<long long>(time_limit->count()), static_cast<long long>(left));
    assert(time_limit && time_limit->count() <= left + 150);
    close(fd);
  }
}

// The wall clock is stepped while a signal interrupts a wait: the wait must end when it would have ended
// anyway.
void clock_step_in_interrupted_wait() {
  FaultyDaemon fixture;
  fixture.go(usual_settings, known({{"a", fixture.engine("a")}}));
  fixture.faults.set(FaultKind::wait_interrupted, 1);
  for (int i = 0; i < 10; ++i) {
    const JobCall call = job("fault=hang", 700, "brief");
    const auto sent = Clock::now();
    const int fd = fixture.open(call);
    pass(milliseconds(100));
    fixture.faults.step_wall_clock(i % 2 ? std::chrono::hours(1) : -std::chrono::hours(1));
    pollfd one{fd, POLLIN, 0};
    const bool heard = poll(&one, 1, 3000) == 1;
    std::fprintf(stderr, "answered after %lld ms\n", static_cast<long long>(elapsed_ms(sent)));
    assert(heard && elapsed_ms(sent) < 1200);
    close(fd);
  }
  assert(fixture.faults.struck(FaultKind::wait_interrupted) > 10);
}

// Reads fail with EINTR before any byte is read: the connection is intact and must stay in use.
void interrupted_reads() {
  FaultyDaemon fixture;
  fixture.go(usual_settings, known({{"a", fixture.engine("a")}}));
  fixture.faults.set(FaultKind::receive_interrupted, 0.2);
  int answered = 0;
  for (int i = 0; i < 200; ++i) {
    const JobCall call = job("work=1", 2000);
    const int fd = fixture.open(call);
    answered += hear(fd).starts_with("HTTP/1.1 200");
    close(fd);
  }
  std::fprintf(stderr, "%d of 200 were answered\n", answered);
  assert(fixture.faults.struck(FaultKind::receive_interrupted) > 20);
  assert(answered == 200);
}

// Sockets or files are unavailable for a moment at the start: the manager must retry.
void start_without_sockets() {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    FaultyDaemon fixture(seed);
    fixture.faults.set(FaultKind::socket_fails, 0.5);
    fixture.faults.set(FaultKind::open_fails, 0.2);
    fixture.configure(usual_settings, known({{"a", fixture.engine("a")}}));
    fixture.daemon = ::start(fixture.configuration, fixture.environment);
    const bool ready = soon([&] { return fixture.ready(); }, 300);
    if (!ready) std::fprintf(stderr, "seed %llu\n", static_cast<unsigned long long>(seed));
    assert(ready);
  }
}

// Connections wait in the listen backlog when the manager stops listening, and accept fails for a moment
// then.
void accept_fails_at_the_end() { answers_all_that_wait_at_the_end(FaultKind::accept_fails); }

// The configuration file can't be opened for a moment when SIGHUP announces that the channel has moved: the
// manager must retry the reload.
void reload_while_files_run_short() {
  FaultyDaemon fixture;
  std::unique_ptr<StandInChannel> moved;
  const std::string engine = fixture.engine("a");
  const auto [at, moved_at] = fixture.stage.on([&] {
    fixture.channel = std::make_unique<StandInChannel>(fixture.stage.loop());
    moved = std::make_unique<StandInChannel>(fixture.stage.loop());
    for (StandInChannel* one : {fixture.channel.get(), moved.get()})
      one->tell({{"a", engine, "east", "std", "active"}}, true);
    return std::pair(fixture.channel->address(), moved->address());
  });
  fixture.configure(usual_settings, R"({"cursor":0,"cmds":[]})", at);
  fixture.go();
  fixture.configure(usual_settings, R"({"cursor":0,"cmds":[]})", moved_at);
  fixture.faults.set(FaultKind::open_fails, 1);
  kill(fixture.daemon, SIGHUP);
  assert(soon([&] { return fixture.faults.struck(FaultKind::open_fails) > 0; }));
  fixture.faults.set(FaultKind::open_fails, 0);
  const bool has_moved = soon([&] { return fixture.stage.on([&] { return moved->streams() == 1; }); }, 200);
  fixture.stage.on([&] { moved.reset(); });
  assert(has_moved);
}

// A client leaves while part of its request waits in the socket's send queue, because the engine doesn't
// read: the rest must not reach the engine.
void left_behind_in_the_send_queue() {
  DaemonFixture fixture;
  int port = 0;
  const int listener = listen_on(port), small = 2048;
  setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  fixture.go(late_settings, known({{"a", "127.0.0.1:" + std::to_string(port)}}));
  const JobCall call = job("work=1 /*" + std::string(60'000, 'x') + "*/", 6000);
  const int fd = fixture.open(call);
  const int peer = accept(listener, nullptr, nullptr);
  pass(milliseconds(200));
  close(fd);
  pass(milliseconds(300));
  std::string received;
  char bytes[4096];
  const timeval patience{1, 0};
  setsockopt(peer, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  for (ssize_t got = 0; (got = recv(peer, bytes, sizeof bytes, 0)) > 0;)
    received.append(bytes, static_cast<std::size_t>(got));
  std::fprintf(stderr, "%zu bytes received, %s\n", received.size(),
               received.find("FROM a_1.t") == std::string::npos ? "incomplete" : "complete");
  assert(received.find("FROM a_1.t") == std::string::npos);
  close(peer), close(listener);
}

// A client leaves while the daemon is stopped: once the daemon continues, the request that it held for that
// client must not be sent, whichever event it handles first.
void left_while_stalled() {
  DaemonFixture fixture;
  const std::string engine = fixture.engine("a", 1);
  fixture.go(R"({"classes":[{"name":"quick","repeat":"pure","slo":8000000,"giveUp":9000000,"worth":1}],
    "hostTypes":["std"],"failureDomains":["east"],"zone":"east","nInstances":1,
    "familyInfo":{"coresByKind":[1],"sizeMb":[100]},
    "limits":{"attemptsCap":1,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":1}})",
             known({{"a", engine}}));
  for (int round = 0; round < 5; ++round) {
    std::vector<JobCall> fills;
    std::vector<int> fill_fds;
    for (int i = 0; i < 4; ++i) {
      fills.push_back(job("work=400", 6000));
      fills.back().cost_ms = 400;
      fill_fds.push_back(fixture.open(fills.back()));
    }
    pass(milliseconds(100));
    std::vector<JobCall> held;
    std::vector<int> waiting;
    for (int i = 0; i < 6; ++i) {
      held.push_back(job("work=1", 6000));
      waiting.push_back(fixture.open(held.back()));
    }
    pass(milliseconds(50));
    std::vector<int> begun_before;
    kill(fixture.daemon, SIGSTOP);
    for (const JobCall& one : held) begun_before.push_back(fixture.begun("a", one));
    for (const int fd : waiting) close(fd);
    pass(milliseconds(1500));  // answers arrive meanwhile, and timers become due
    kill(fixture.daemon, SIGCONT);
    pass(milliseconds(400));
    for (const int fd : fill_fds) close(fd);
    for (std::size_t i = 0; i < held.size(); ++i) {
      if (fixture.begun("a", held[i]) != begun_before[i])
        std::fprintf(stderr, "round %d: request %d started after its client had left\n", round,
                     held[i].number),
            assert(false);
    }
  }
}

// One type for each engine, which is selected by its kind; a cold engine is sent nothing for five seconds.
constexpr const char* cold_settings = R"({"classes":[
    {"name":"first","repeat":"pure","slo":8000000,"giveUp":9000000,"worth":1,"boundTo":["a"]},
    {"name":"second","repeat":"pure","slo":8000000,"giveUp":9000000,"worth":1,"boundTo":["b"]}],
    "hostTypes":["a","b"],"failureDomains":["east"],"zone":"east","nInstances":1,
    "obligations":{"cold":4000000,"coldFrom":0.3,"tipMultiple":0.0001,"fall":1000000},
    "familyInfo":{"coresByKind":[8,8],"sizeMb":[8000,8000]},
    "limits":{"attemptsCap":2,"cancel":true,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":4}})";

// The wall clock is an hour off while a manager starts, and engines' start times are Unix times. An engine
// that starts later must still count as cold, and one that started earlier must not count as cold for an
// hour.
void clock_off_at_the_start() {
  for (const auto offset : {std::chrono::hours(1), -std::chrono::hours(1)}) {
    FaultyDaemon fixture;
    const std::string a = fixture.engine("a"), b = fixture.engine("b");
    const auto event_text = [](const std::string& name, const std::string& address, std::int64_t since) {
      nlohmann::json event =
          StandInChannel::event(since == 0 ? 1 : 2, {{name, address, "east", name, "active"}}, false);
      event["nodes"]["members"][0]["up_since_ms"] = since;
      return "id: " + std::string(since == 0 ? "1" : "2") + "\ndata: " + event.dump() + "\n\n";
    };
    std::atomic<bool> started = false, over = false;
    ScriptedDiscovery discovery([&](int peer) {
      hear_request(peer);
      say(peer, "HTTP/1.1 200 OK\r\n\r\n: here\n\n");
      while (!started && !over) pass(milliseconds(10));
      if (started) say(peer, event_text("b", b, unix_ms()));
      while (!over) pass(milliseconds(10));
      close(peer);
    });
    fixture.faults.step_wall_clock(offset);
    fixture.configure(cold_settings, known({{"a", a, "a", "east", unix_ms() - 60'000}}), discovery.address());
    fixture.go();
    assert(fixture.faults.wall_clock_reads() > 0);
    // The engine counts as cold no longer than the settings state, whatever the clock shows.
    const JobCall first = job("work=1", 8000, "first");
    const int fd = fixture.open(first);
    assert(soon([&] { return fixture.begun("a", first) == 1; }, 600));
    close(fd);
    pass(milliseconds(1100));
    const std::uint64_t events = fixture.counter("events");
    started = true;
    assert(soon([&] { return fixture.counter("events") > events; }));
    const JobCall second = job("work=1", 8000, "second");
    const int other = fixture.open(second);
    pass(milliseconds(1500));
    const int begun = fixture.begun("b", second);
    if (begun > 0)
      std::fprintf(stderr, "%lld h: a cold engine was sent work\n", static_cast<long long>(offset.count()));
    over = true;
    assert(begun == 0);
    close(other);
  }
}

// A manager starts while its wall clock is ahead, and its first endpoint list contains an engine that has
// just started, which must count as cold. An engine that is older than that one by more than the duration of
// the slow start must not.
void clock_ahead_of_the_first_list() {
  for (const auto offset : {std::chrono::seconds(5), std::chrono::seconds(3600)}) {
    FaultyDaemon fixture;
    const std::string a = fixture.engine("a"), b = fixture.engine("b");
    fixture.faults.step_wall_clock(offset);
    const std::int64_t now = unix_ms();
    fixture.go(cold_settings, known({{"a", a, "a", "east", now - 60'000}, {"b", b, "b", "east", now}}));
    const JobCall first = job("work=1", 8000, "first"), second = job("work=1", 8000, "second");
    const int one = fixture.open(first), other = fixture.open(second);
    assert(soon([&] { return fixture.begun("a", first) == 1; }, 200));
    pass(milliseconds(1500));
    const int begun = fixture.begun("b", second);
    if (begun > 0)
      std::fprintf(stderr, "%lld s: a cold engine was sent work\n", static_cast<long long>(offset.count()));
    assert(begun == 0);
    close(one), close(other);
  }
}

constexpr pearchute::test::Scenario scenarios[] = {
    {"clock_ahead_of_the_first_list", clock_ahead_of_the_first_list},
    {"drain_while_connecting", drain_while_connecting},
    {"deadline_after_late_connect", deadline_after_late_connect},
    {"pipelined_deadlines", pipelined_deadlines},
    {"deadline_after_stall", deadline_after_stall},
    {"discovery_refuses", discovery_refuses},
    {"discovery_slow", discovery_slow},
    {"clock_step_in_interrupted_wait", clock_step_in_interrupted_wait},
    {"interrupted_reads", interrupted_reads},
    {"start_without_sockets", start_without_sockets},
    {"accept_fails_at_the_end", accept_fails_at_the_end},
    {"reload_while_files_run_short", reload_while_files_run_short},
    {"left_behind_in_the_send_queue", left_behind_in_the_send_queue},
    {"left_while_stalled", left_while_stalled},
    {"clock_off_at_the_start", clock_off_at_the_start},
};

}  // namespace

int main(int count, char** names) { return pearchute::test::play_named(scenarios, count, names); }

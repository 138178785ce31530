// Tests what the daemon owes its clients and engines when a client, an engine, a channel or the daemon itself
// ends. The daemon runs as a process among stand-in engines; clients use plain sockets. Each scenario is a
// test of its own, named on the command line; docs/endings.md lists the code path that each one covers.
#include <fcntl.h>

#include <cstring>
#include <memory>
#include <nlohmann/json.hpp>

#include "daemon_fixture.h"
#include "scenarios.h"

using namespace pearchute::test;
using namespace pearchute::lab;

namespace {

// Settings with one type for each reason to hold a request, each bound to an engine of its own: no capacity,
// slow start, the order of a key, and a connection that is not up yet.
constexpr const char* held_settings = R"({"classes":[
    {"name":"room","repeat":"pure","slo":12000000,"giveUp":14000000,"worth":1,"boundTo":["a"]},
    {"name":"cold","repeat":"pure","slo":12000000,"giveUp":14000000,"worth":1,"boundTo":["b"]},
    {"name":"line","repeat":"token","keyScope":"all","window":20000000,"byArrival":true,"slo":12000000,
     "giveUp":14000000,"worth":1,"boundTo":["c"]},
    {"name":"link","repeat":"pure","slo":12000000,"giveUp":14000000,"worth":1,"boundTo":["d"]}],
    "hostTypes":["a","b","c","d"],"failureDomains":["east"],"zone":"east","nInstances":1,
    "obligations":{"cold":5000000,"coldFrom":0.3,"tipMultiple":0.0001,"fall":1000000,"orderPause":5000000},
    "familyInfo":{"coresByKind":[1,8,8,8],"sizeMb":[8000,8000,8000,8000]},
    "limits":{"attemptsCap":3,"cancel":true,"connectTimeout":9000000,"idleClose":15000000,"streamsPerConn":1}})";

// Guards against work for clients that left: a request that is held for any reason must not be sent to an
// engine after its client closed the connection. A client that returns to the result path in time gets its
// answer.
void gone_while_held() {
  DaemonFixture fixture;
  LateDoor late;
  const std::string a = fixture.engine("a", 2), b = fixture.engine("b"), c = fixture.engine("c");
  fixture.go(held_settings, known({{"a", a, "a"},
                                   {"b", b, "b", "east", unix_ms()},
                                   {"c", c, "c"},
                                   {"d", "127.0.0.1:" + std::to_string(late.port), "d"}}));
  // Two requests fill engine a, and the end of a third one starts the quiet period of its key.
  const JobCall fills[] = {long_job("fault=hang"), long_job("fault=hang")};
  int fill_fds[] = {fixture.open(fills[0]), fixture.open(fills[1])};
  const std::string key = "X-Object: 00000000000000aa\r\nIdempotency-Key: k1\r\n";
  const JobCall first = job("fault=hang", 14000, "line", key);
  const int first_fd = fixture.open(first);
  assert(soon([&] {
    return fixture.begun("a", fills[0]) + fixture.begun("a", fills[1]) == 2 && fixture.begun("c", first) == 1;
  }));
  close(first_fd);  // uncertain outcome: the key's quiet period starts
  assert(soon([&] { return fixture.counter("withdrawn") == 1; }));

  struct Case {
    const char* type;
    std::string at, more;
  };
  const Case cases[] = {{"room", "a", ""}, {"cold", "b", ""}, {"line", "c", key}, {"link", "", ""}};
  struct Held {
    JobCall call;
    std::string at;
    int fd;
    bool back;
  };
  std::vector<Held> held;
  for (const bool back : {false, true}) {
    for (const Case& one : cases) {
      JobCall call = job("work=1", 13000, one.type, one.more);
      if (call.type != "cold") call.cost_ms = 3000;
      held.push_back({call, one.at, fixture.open(call), back});
    }
  }
  for (Held& one : held) assert(hear(one.fd).find("{\"link\":") != std::string::npos);
  // Some clients close the connection after they received the path, others while they wait for the result.
  for (std::size_t i = 0; i < held.size(); ++i) {
    if (i % 2) say(held[i].fd, fetch_of(held[i].call));
  }
  pass(milliseconds(100));
  for (Held& one : held) close(one.fd);
  pass(milliseconds(100));  // the service terms allow 100 ms to react
  for (Held& one : held) {
    if (one.back) one.fd = connect_to(fixture.port), say(one.fd, fetch_of(one.call));
  }
  // Now all reasons to hold the requests end.
  for (std::size_t i = 0; i < 2; ++i) {
    call(fixture.port, "DELETE" + fetch_of(fills[i]).substr(3));
    close(fill_fds[i]);
  }
  late.opens();
  std::string received;
  std::thread opened([&] { received = late.hears("none", milliseconds(5000)); });
  const auto has_begun = [&](const Held& one) {
    return one.at.empty() ? received.find(id_of(one.call.number)) != std::string::npos
                          : fixture.begun(one.at, one.call) > 0;
  };
  for (Held& one : held) {
    if (one.back && !one.at.empty()) {
      const std::string answer = hear(one.fd);
      if (!answer.starts_with("HTTP/1.1 200") || answer.find("values") == std::string::npos)
        std::fprintf(stderr, "%s back: %s\n", one.call.type.c_str(), answer.c_str()), assert(false);
    }
  }
  opened.join();
  for (const Held& one : held) {
    if (has_begun(one) != one.back)
      std::fprintf(stderr, "%s %s begun\n", one.call.type.c_str(), one.back ? "not" : "was"), assert(false);
    if (one.back) close(one.fd);
  }
}

// The same for a client that closes the connection while bytes that it sent after its request are unread,
// because the manager doesn't read further while the request is open.
void gone_behind_bytes() {
  DaemonFixture fixture;
  const std::string a = fixture.engine("a", 2);
  fixture.go(held_settings, known({{"a", a, "a"}}));
  const JobCall fills[] = {long_job("fault=hang"), long_job("fault=hang")};
  const int fill_fds[] = {fixture.open(fills[0]), fixture.open(fills[1])};
  assert(soon([&] { return fixture.begun("a", fills[0]) + fixture.begun("a", fills[1]) == 2; }));
  std::vector<JobCall> floods;
  for (const std::size_t behind : {0ul, 1000ul, 40'000ul, 200'000ul, 2'000'000ul}) {
    const JobCall flood = long_job("work=1");
    const int fd = connect_to(fixture.port, 0);
    std::string bytes = flood.bytes();
    while (bytes.size() < behind) bytes += long_job("work=1").bytes();
    fcntl(fd, F_SETFL, O_NONBLOCK);
    say(fd, bytes);  // as much as the socket takes
    floods.push_back(flood);
    if (behind < 2'000'000) pass(milliseconds(20));
    close(fd);
  }
  // A client that sends too much and stays connected receives 503; one that sends a single request is
  // served.
  const JobCall more = long_job("work=1");
  const int flooding_fd = fixture.open(more);
  std::string behind = "\r\n";
  while (behind.size() < 40'000) behind += long_job("work=1").bytes();
  say(flooding_fd, behind);
  assert(hear(flooding_fd).starts_with("HTTP/1.1 503") && fixture.begun("a", more) == 0);
  close(flooding_fd);
  const JobCall single = long_job("work=1");
  const int there = fixture.open(single);
  pass(milliseconds(300));
  for (const int fd : fill_fds) close(fd);
  assert(hear(there).find("values") != std::string::npos);
  pass(milliseconds(300));
  for (const JobCall& flood : floods) {
    if (fixture.begun("a", flood) > 0)
      std::fprintf(stderr, "flood %d was begun\n", flood.number), assert(false);
  }
  close(there);
}

// While the manager ends, it closes idle connections, and a request may cross the close. It must then either
// be answered, or not be read and so never reach an engine.
void calls_cross_the_end() {
  DaemonFixture fixture;
  const std::string a = fixture.engine("a");
  fixture.go(usual_settings, known({{"a", a}}));
  struct IdleClient {
    int fd;
    JobCall call;
    std::string answer;
    bool broken = false;
  };
  std::vector<IdleClient> idle_clients;
  for (int i = 0; i < 100; ++i) {
    idle_clients.push_back({connect_to(fixture.port), job("work=1", 900, "brief"), "", false});
    say(idle_clients.back().fd, "GET /check HTTP/1.1\r\n\r\n");
    assert(hear(idle_clients.back().fd).starts_with("HTTP/1.1 200"));
  }
  const auto asked = Clock::now();
  kill(fixture.daemon, SIGTERM);
  pass(milliseconds(720));
  for (IdleClient& one : idle_clients) {
    say(one.fd, one.call.bytes());
    pass(milliseconds(1));
  }
  int answered = 0;
  for (IdleClient& one : idle_clients) {
    one.answer = hear(one.fd, &one.broken);
    const bool whole =
        one.answer.starts_with("HTTP/1.1 ") && one.answer.find("\r\n\r\n") != std::string::npos;
    assert(whole || one.answer.empty());
    answered += whole;
    close(one.fd);
    if (!whole) assert(fixture.begun("a", one.call) == 0);
  }
  assert(fixture.ended() == 0);
  assert(Clock::now() - asked < milliseconds(2000));
  assert(answered > 0 && answered < 100);  // some requests arrived before the close and some after it
}

// Connections in the listen backlog when the manager stops listening look established to their clients, so
// they must be accepted and answered, not reset.
void waiting_at_the_door() {
  DaemonFixture fixture;
  fixture.more = R"("limits":{"sockets":1024})";
  const std::string a = fixture.engine("a");
  fixture.go(usual_settings, known({{"a", a}}));
  kill(fixture.daemon, SIGTERM);
  pass(milliseconds(200));  // the daemon has handled the signal
  kill(fixture.daemon, SIGSTOP);
  pass(milliseconds(50));
  std::vector<std::pair<int, JobCall>> late;
  for (int i = 0; i < 300; ++i) {
    const JobCall call = job("work=1", 900, "brief");
    late.emplace_back(fixture.open(call), call);
  }
  pass(milliseconds(600));  // past the time at which the daemon stops listening
  kill(fixture.daemon, SIGCONT);
  int broken = 0;
  for (const auto& [fd, call] : late) {
    broken += !hear(fd).starts_with("HTTP/1.1 ");
    close(fd);
  }
  assert(broken == 0);
  assert(fixture.ended() == 0);
}

// A client's connection breaks before it fetched its result, and the manager is asked to end: the manager
// must keep the result until the client requests it again.
void unfetched() {
  DaemonFixture fixture;
  const std::string a = fixture.engine("a");
  fixture.go(usual_settings, known({{"a", a}}));
  const JobCall slow = job("work=2600", 9000);
  const int fd = fixture.open(slow);
  assert(hear(fd).find("{\"link\":") != std::string::npos);  // after two seconds
  say(fd, fetch_of(slow));
  pass(milliseconds(50));
  const linger reset{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close(fd);
  kill(fixture.daemon, SIGTERM);
  assert(soon([&] { return fixture.stage.on([&] { return fixture.engines["a"]->running() == 0; }); }));
  pass(milliseconds(500));
  const std::string answer = call(fixture.port, fetch_of(slow));
  if (answer.find("values") == std::string::npos) std::fprintf(stderr, "%s\n", answer.c_str()), assert(false);
  assert(fixture.ended() == 0);
}

// Engines hang while the manager ends: each request must be answered, and the process must exit before the
// platform would kill it. A truncated answer of an engine counts as none.
void hung_at_the_end() {
  DaemonFixture fixture;
  const std::string a = fixture.engine("a"), b = fixture.engine("b");
  std::string settings = usual_settings;  // the longest timeout is 1 s then
  settings.replace(settings.find("6000000,\"giveUp\":9000000"), 24, "900000,\"giveUp\":1000000");
  fixture.go(settings, known({{"a", a}, {"b", b}}));
  std::vector<std::pair<int, JobCall>> out;
  for (int i = 0; i < 12; ++i) {
    const JobCall call = job(i % 3 ? "fault=hang" : "work=250 fault=cut", 1000, "brief");
    out.emplace_back(fixture.open(call), call);
  }
  pass(milliseconds(150));
  const auto asked = Clock::now();
  kill(fixture.daemon, SIGTERM);
  pass(milliseconds(350));
  const JobCall late = job("fault=hang", 1000, "brief");
  out.emplace_back(fixture.open(late), late);
  for (const auto& [fd, call] : out) {
    assert(hear(fd).starts_with("HTTP/1.1 503"));
    close(fd);
  }
  assert(fixture.ended() == 0);
  const auto took = Clock::now() - asked;
  if (took > milliseconds(1680))
    std::fprintf(stderr, "the exit took %lld ms\n", static_cast<long long>(took / milliseconds(1))),
        assert(false);
}

// Uncertain outcomes: a run-once request that may have run, and a keyed one after the end of its
// deduplication window, must not be sent again, and the client must receive the error at once, not at its
// deadline. A request that may be repeated is sent again.
void unsure_ends() {
  DaemonFixture fixture;
  const std::string a = fixture.engine("a");
  fixture.go(R"({"classes":[
    {"name":"once","repeat":"side_effect","slo":7000000,"giveUp":9000000,"worth":1},
    {"name":"mark","repeat":"token","keyScope":"all","window":300000,"slo":7000000,"giveUp":9000000,"worth":1},
    {"name":"free","repeat":"pure","slo":7000000,"giveUp":9000000,"worth":1}],
    "hostTypes":["std"],"failureDomains":["east"],"zone":"east","nInstances":1,
    "familyInfo":{"coresByKind":[8],"sizeMb":[8000]},
    "limits":{"attemptsCap":2,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":1}})",
             known({{"a", a}}));
  struct Case {
    const char *type, *statement;
    const char* status;
    int begun;
  };
  const Case cases[] = {
      {"once", "work=1 fault=reset", "HTTP/1.1 500", 1},
      {"once", "work=600 fault=reset", "HTTP/1.1 500", 1},
      {"once", "work=1 fault=error", "HTTP/1.1 500", 1},
      {"once", "work=1 fault=cut", "HTTP/1.1 500", 1},
      {"once", "work=1 fault=endless", "HTTP/1.1 500", 1},
      {"once", "work=1", "HTTP/1.1 200", 1},
      {"mark", "work=600 fault=reset", "HTTP/1.1 500", 1},
      {"mark", "work=1 fault=reset-once", "HTTP/1.1 200", 2},
      {"free", "work=1 fault=reset-once", "HTTP/1.1 200", 2},
      {"free", "work=1 fault=reset", "HTTP/1.1 503", 2},
  };
  for (const Case& one : cases) {
    const JobCall call =
        job(one.statement, 8000, one.type, "Idempotency-Key: t" + std::to_string(next_number) + "\r\n");
    const auto asked = Clock::now();
    const int fd = fixture.open(call);
    const std::string answer = hear(fd);
    const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - asked).count();
    const int begun = fixture.begun("a", call);
    if (!answer.starts_with(one.status) || begun != one.begun || took > 3500) {
      std::fprintf(stderr, "%s %s: %d times, %lld ms: %s\n", one.type, one.statement, begun,
                   static_cast<long long>(took), answer.c_str());
      assert(false);
    }
    close(fd);
  }
}

// The stream of the endpoint list falls silent without closing, and an engine drains right after: the manager
// must notice and reconnect in time. Then a new configuration moves the channel while the manager reconnects
// to the former one.
void silent_watches() {
  DaemonFixture fixture;
  const std::string a = fixture.engine("a"), b = fixture.engine("b");
  const auto member = [&](const char* name, const std::string& address, const char* phase) {
    return StandInChannel::Member{name, address, "east", "std", phase};
  };
  std::unique_ptr<StandInChannel> moved;
  const std::string at = fixture.stage.on([&] {
    fixture.channel = std::make_unique<StandInChannel>(fixture.stage.loop());
    moved = std::make_unique<StandInChannel>(fixture.stage.loop());
    for (StandInChannel* one : {fixture.channel.get(), moved.get()})
      one->tell({member("a", a, "active"), member("b", b, "active")}, true);
    return fixture.channel->address();
  });
  fixture.configure(usual_settings, R"({"cursor":0,"cmds":[]})", at);
  fixture.go();
  assert(soon([&] { return fixture.stage.on([&] { return fixture.channel->streams() == 1; }); }));
  fixture.stage.on(
      [&] { fixture.channel->strand(), fixture.channel->tell({member("a", a, "leaving")}, false); });
  const auto drained_at = Clock::now();
  // The manager must have stopped sending to engine a within the time that it takes to replace a silent
  // stream, plus 500 ms, plus the time on the way.
  assert(soon([&] { return fixture.stage.on([&] { return fixture.channel->asked() >= 2; }); }));
  pass(milliseconds(100));
  assert(Clock::now() - drained_at < milliseconds(3500));
  for (int i = 0; i < 20; ++i) {
    const JobCall call = job("work=1", 2000);
    const int fd = fixture.open(call);
    assert(hear(fd).starts_with("HTTP/1.1 200") && fixture.begun("a", call) == 0);
    close(fd);
  }
  // The channel's address refuses connections, and the configuration names another one during the retries.
  const std::string moved_at = fixture.stage.on([&] {
    moved->tell({member("a", a, "leaving")}, false);
    moved->tell({member("a", a, "left"), member("b", b, "leaving"), member("c", a, "active")}, false);
    fixture.channel.reset();
    return moved->address();
  });
  pass(milliseconds(30));
  fixture.configure(usual_settings, R"({"cursor":0,"cmds":[]})", moved_at);
  kill(fixture.daemon, SIGHUP);
  assert(
      soon([&] { return fixture.stage.on([&] { return moved->asked() == 1 && moved->asked_from() == 2; }); },
           150));
  pass(milliseconds(100));
  const JobCall call = job("work=1", 2000);
  const int fd = fixture.open(call);
  assert(hear(fd).starts_with("HTTP/1.1 200") && fixture.begun("b", call) == 0);
  close(fd);
  pass(milliseconds(600));  // the manager must reconnect once only
  fixture.stage.on([&] {
    assert(moved->asked() == 1);
    moved.reset();
  });
}

// Idle clients use up the descriptors while discovery is down: the channel, the engines and new clients must
// still get descriptors, and a starting manager must become ready.
void descriptors_full() {
  DaemonFixture fixture;
  const std::string a = fixture.engine("a");
  int channel_port = 0;
  close(listen_on(channel_port));  // no process listens there yet
  const std::string at = "127.0.0.1:" + std::to_string(channel_port);
  fixture.configure(usual_settings, R"({"cursor":0,"cmds":[]})", at);
  fixture.daemon = ::start(fixture.configuration);
  assert(soon([&] { return call(fixture.port, "GET /check HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503"); }));
  // Opens more connections than there are descriptors in one burst; half of them send a request first.
  std::vector<int> idle;
  for (int i = 0; i < 600; ++i) {
    const int fd = connect_to(fixture.port);
    if (fd < 0) continue;
    if (i % 2) say(fd, "GET /check HTTP/1.1\r\n\r\n");
    idle.push_back(fd);
  }
  assert(call(fixture.port, "GET /check HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503"));
  // Discovery is available again at that address.
  const int listener = socket(AF_INET, SOCK_STREAM, 0), yes = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in place{};
  place.sin_family = AF_INET, place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  place.sin_port = htons(static_cast<std::uint16_t>(channel_port));
  assert(bind(listener, reinterpret_cast<sockaddr*>(&place), sizeof place) == 0 && listen(listener, 16) == 0);
  const auto back = Clock::now();
  const int stream = accept(listener, nullptr, nullptr);
  char asked[1000];
  assert(recv(stream, asked, sizeof asked, 0) > 0);
  assert(Clock::now() - back < milliseconds(1000));
  say(stream, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: " +
                  StandInChannel::event(1, {{"a", a, "east", "std", "active"}}, true).dump() + "\n\n");
  assert(soon([&] { return fixture.ready(); }, 100));
  // Uses all engine connections while more idle clients connect.
  std::vector<std::pair<int, JobCall>> jobs;
  for (int i = 0; i < 60; ++i) {
    for (int k = 0; k < 3; ++k) idle.push_back(connect_to(fixture.port));
    const JobCall call = job("work=20", 4000);
    jobs.emplace_back(fixture.open(call), call);
  }
  int done = 0;
  for (const auto& [fd, call] : jobs) {
    bool broken = false;
    const std::string answer = hear(fd, &broken);
    done += answer.starts_with("HTTP/1.1 200");
    if (!answer.starts_with("HTTP/1.1 200"))
      std::fprintf(stderr, "[%s] %s\n", answer.c_str(), broken ? "reset" : "ended");
    close(fd);
  }
  if (done < 60) std::fprintf(stderr, "%d of 60 succeeded\n", done), assert(false);
  for (const int fd : idle) close(fd);
  close(stream), close(listener);
}

// All client descriptors are in use by open requests: a further client must receive 503 with "TryLater", not
// a closed connection.
void no_place_left() {
  DaemonFixture fixture;
  fixture.more = R"("limits":{"sockets":64})";
  const std::string a = fixture.engine("a");
  fixture.go(usual_settings, known({{"a", a}}));
  std::vector<int> open;
  for (int i = 0; i < 60; ++i) {
    const int fd = connect_to(fixture.port);
    const std::string bytes = job("fault=hang", 9000).bytes();
    say(fd, bytes);
    open.push_back(fd);
  }
  pass(milliseconds(200));
  int refused = 0;
  for (int i = 0; i < 10; ++i) {
    const JobCall call = job("work=1", 2000);
    bool broken = false;
    const int fd = connect_to(fixture.port);
    pass(milliseconds(5));
    say(fd, call.bytes());
    const std::string answer = hear(fd, &broken);
    if (!answer.starts_with("HTTP/1.1 503"))
      std::fprintf(stderr, "[%s] %s\n", answer.c_str(), broken ? "reset" : "ended"), assert(false);
    refused += answer.find("TryLater") != std::string::npos;
    close(fd);
  }
  assert(refused == 10);
  for (const int fd : open) close(fd);
}

// Engines send endless, truncated or partial answers, which must not count as answers; a client that sends
// its request byte by byte must be served.
void spoilt_answers() {
  DaemonFixture fixture;
  const std::string a = fixture.engine("a"), b = fixture.engine("b");
  fixture.go(usual_settings, known({{"a", a}, {"b", b}}));
  for (const char* statement : {"work=1 fault=endless", "work=1 fault=cut", "work=1 fault=part"}) {
    const JobCall call = job(statement, 6000);
    const auto asked = Clock::now();
    const int fd = fixture.open(call);
    assert(hear_out(fd, call).starts_with(
        "HTTP/1.1 503"));  // each engine fails so, and there are at most 3 attempts
    assert(Clock::now() - asked < milliseconds(4500));
    assert(fixture.begun("a", call) + fixture.begun("b", call) <= 3);
    close(fd);
  }
  assert(soon([&] { return call(fixture.port, job("work=1", 2000).bytes()).starts_with("HTTP/1.1 200"); },
              1000));
  const JobCall slow = job("work=1", 3000);
  const int fd = connect_to(fixture.port);
  const std::string bytes = slow.bytes();
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    say(fd, bytes.substr(i, 1));
    if (i % 4 == 0) pass(milliseconds(2));
  }
  assert(hear(fd).starts_with("HTTP/1.1 200"));
  close(fd);
}

// Unusual settings: a type name that needs URL encoding, no tenants, zones or engine kinds, and the smallest
// limits of a manager.
void strange_settings() {
  DaemonFixture fixture;
  fixture.more = R"("limits":{"sockets":64,"memory_mb":32})";
  const std::string a = fixture.engine("a");
  fixture.go(R"({"classes":[{"name":"Nacht lauf,2/\u00e4","repeat":"pure","slo":500000,"giveUp":800000}],
    "limits":{"attemptsCap":1,"connectTimeout":250000}})",
             known({{"a", a, "", ""}}));
  assert(call(fixture.port, job("work=1", 700, "Nacht%20lauf%2C2%2F%C3%A4").bytes())
             .starts_with("HTTP/1.1 200"));
  assert(call(fixture.port, job("fault=full", 700, "Nacht%20lauf%2C2%2F%C3%A4").bytes())
             .starts_with("HTTP/1.1 503"));
  assert(call(fixture.port, job("work=1", 700, "quick").bytes()).starts_with("HTTP/1.1 404"));
}

// Tenant quotas: under overload, requests of a tenant within its quota must be served before those of a
// tenant far beyond it.
void tenants() {
  DaemonFixture fixture;
  const std::string a = fixture.engine("a", 1);
  fixture.go(R"({"classes":[{"name":"quick","repeat":"pure","slo":800000,"giveUp":1500000,"worth":1}],
    "orgs":[{"name":"with in","quotaPerS":8},{"name":"beyond","quotaPerS":8}],"overShareWorth":0.05,
    "hostTypes":["std"],"failureDomains":["east"],"zone":"east","nInstances":1,
    "familyInfo":{"coresByKind":[1],"sizeMb":[8000]},
    "limits":{"attemptsCap":2,"cancel":true,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":8}})",
             known({{"a", a}}));
  struct Sent {
    int fd;
    bool within;
  };
  std::vector<Sent> sent;
  for (int i = 0; i < 120; ++i) {
    const bool within = i % 12 == 0;
    const int work = i % 24 < 12 ? 60 : 140;
    JobCall call = job("work=" + std::to_string(work), 1500, "quick",
                       within ? "X-Tenant: with in\r\n" : "X-Tenant: beyond\r\n");
    call.cost_ms = work;
    sent.push_back({fixture.open(call), within});
    pass(milliseconds(40));
  }
  int done[2] = {}, all[2] = {};
  for (const Sent& one : sent) {
    ++all[one.within], done[one.within] += hear(one.fd).starts_with("HTTP/1.1 200");
    close(one.fd);
  }
  std::fprintf(stderr, "answered: %d of %d within the quota, %d of %d beyond it\n", done[1], all[1], done[0],
               all[0]);
  assert(1.0 * done[1] / all[1] > 0.7 && 1.0 * done[0] / all[0] < 0.7);
}

constexpr pearchute::test::Scenario scenarios[] = {
    {"gone_while_held", gone_while_held},
    {"gone_behind_bytes", gone_behind_bytes},
    {"calls_cross_the_end", calls_cross_the_end},
    {"waiting_at_the_door", waiting_at_the_door},
    {"unfetched", unfetched},
    {"hung_at_the_end", hung_at_the_end},
    {"unsure_ends", unsure_ends},
    {"silent_watches", silent_watches},
    {"descriptors_full", descriptors_full},
    {"no_place_left", no_place_left},
    {"spoilt_answers", spoilt_answers},
    {"strange_settings", strange_settings},
    {"tenants", tenants},
};

}  // namespace

int main(int count, char** names) { return pearchute::test::play_named(scenarios, count, names); }

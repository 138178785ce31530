// The manager as a process on loopback, with a stand-in engine and a stand-in discovery channel: requests
// that succeed, are throttled, are cancelled, lose their connection or are malformed, and the shutdown by
// SIGTERM.
#include <fstream>

#include "engines/engine_pool.h"
#include "lab/stand_ins/engine.h"
#include "lab/stand_ins/engine_list_channel.h"
#include "net/connection.h"
#include "net/event_loop_thread.h"
#include "sockets.h"

using namespace pearchute::net;
using pearchute::EngineId, pearchute::RequestId, pearchute::Outcome;
using pearchute::lab::StandInChannel, pearchute::lab::StandInEngine;

int next_id = 1;
std::string request_bytes(const std::string& statement, int timeout_ms, const std::string& type = "quick") {
  return JobCall{next_id++, statement, timeout_ms, type}.bytes();
}

// A slow reader receives everything that was sent, however little the socket buffers hold.
void slow_reader_receives_everything() {
  struct IgnoringListener final : Connection::Listener {
    void on_data(std::string_view) override {}
    void on_closed() override { assert(false); }
  } listener;
  int port = 0;
  const int fd = listen_on(port);
  const std::string text(32 << 20, 'x');
  std::size_t received = 0;
  int peer = -1;
  Loop loop;
  std::thread reader([&] {
    peer = accept(fd, nullptr, nullptr);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    std::string buffer(1 << 16, ' ');
    while (received < text.size()) {
      const auto part = recv(peer, buffer.data(), buffer.size(), 0);
      if (part <= 0) break;
      received += static_cast<std::size_t>(part);
    }
  });
  auto connection = std::make_unique<Connection>(
      loop, Poco::Net::SocketAddress("127.0.0.1", static_cast<std::uint16_t>(port)), listener);
  connection->send(text);
  const std::function<void()> check_written = [&] {
    if (connection->waiting() == 0 || loop.now().time_since_epoch() > std::chrono::seconds(20))
      return loop.stop();
    loop.at(loop.now() + std::chrono::milliseconds(5), check_written);
  };
  loop.at(loop.now(), check_written);
  loop.run();
  loop.finish(std::move(connection));
  loop.settle();
  reader.join();
  assert(received == text.size() && loop.buffers().out() == 0);
  // Not earlier: the loop might see the end of the connection before everything is written.
  close(peer), close(fd);
}

// Records how each attempt ended.
struct OutcomeRecorder final : EnginePool::Listener {
  std::vector<std::pair<std::uint64_t, Outcome>> outcomes;  // by request
  void on_attempt_ended(AttemptId id, Outcome outcome, std::vector<std::string>) override {
    outcomes.emplace_back(id.request.value, outcome);
  }
  void on_attempt_progress(AttemptId, double) override {}
  void on_attempt_spill(AttemptId, double) override {}
  void on_attempt_wait(AttemptId, pearchute::WaitCause) override {}
};

// Liveness probes by their cost. Where they are free, a quiet connection is probed repeatedly. Where a
// request's budget pays for one probe, one or two long requests get a probe each. Where it pays for a tenth
// of a probe, none is sent.
void liveness_probes_by_cost(EventLoopThread& loop_thread) {
  struct Case {
    double probe_cost;
    std::uint64_t min_probes, max_probes;
  };
  const Case cases[] = {{0, 4, 1000}, {0.005, 1, 2}, {0.05, 0, 0}};
  OutcomeRecorder listener;
  Counters counters;
  std::vector<std::unique_ptr<StandInEngine>> engines;
  std::vector<std::unique_ptr<EnginePool>> pools;
  loop_thread.on([&] {
    for (const Case& c : cases) {
      engines.push_back(std::make_unique<StandInEngine>(loop_thread.loop(), "p", 8, 8000, 1, nullptr));
      pools.push_back(std::make_unique<EnginePool>(
          loop_thread.loop(),
          pearchute::service::EngineConnectionLimits{std::chrono::milliseconds(250), std::chrono::seconds(15),
                                                     1, c.probe_cost},
          50, listener, counters));
      pools.back()->set_endpoint(EngineId{1}, engines.back()->address());
      for (std::uint64_t n = 0; n < 2; ++n)
        pools.back()->submit(
            EngineId{1}, {RequestId{n}, 0},
            {.id = "p" + std::to_string(n), .kind = "quick", .token = "", .statement = "fault=hang"});
    }
  });
  for (int i = 0; i < 4000 && loop_thread.on([&] { return engines[0]->signs() < cases[0].min_probes; }); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  loop_thread.on([&] {
    for (std::size_t i = 0; i < engines.size(); ++i)
      assert(engines[i]->signs() >= cases[i].min_probes && engines[i]->signs() <= cases[i].max_probes);
    assert(listener.outcomes.empty());
    pools.clear(), engines.clear();
    loop_thread.loop().settle();
  });
}

// The outcome of an attempt, and whether its connection can be reused, for each fault of an engine. A removed
// engine leaves no connection and no endpoint behind.
void attempt_outcomes_by_engine_fault(EventLoopThread& loop_thread, StandInEngine& engine) {
  struct Case {
    const char* statement;
    Outcome outcome;
    std::size_t connections;  // that can be reused
  };
  const Case cases[] = {
      {"work=1", Outcome::succeeded, 1},           {"work=1 pages=2", Outcome::succeeded, 1},
      {"fault=twice", Outcome::succeeded, 1},      {"fault=full", Outcome::engine_full, 1},
      {"fault=error", Outcome::engine_error, 1},   {"fault=torn", Outcome::connection_reset, 0},
      {"fault=cut", Outcome::connection_reset, 0}, {"fault=part", Outcome::connection_reset, 0},
      {"fault=mute", Outcome::connection_reset, 0}};
  OutcomeRecorder listener;
  Counters counters;
  const pearchute::service::EngineConnectionLimits limits{std::chrono::milliseconds(250),
                                                          std::chrono::seconds(15), 4, 0};
  std::unique_ptr<EnginePool> engines;
  loop_thread.on(
      [&] { engines = std::make_unique<EnginePool>(loop_thread.loop(), limits, 50, listener, counters); });
  const auto wait_until = [&](const std::function<bool()>& done) {
    for (int i = 0; i < 4000 && !loop_thread.on(done); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    assert(loop_thread.on(done));
  };
  std::uint64_t number = 0;
  for (const Case& c : cases) {
    const EngineId id{static_cast<std::uint32_t>(++number)};
    const std::string tested = "e" + std::to_string(number), other = "o" + std::to_string(number);
    const auto submit = [&](std::uint64_t request, const std::string& name, const char* statement) {
      engines->submit(id, {RequestId{request}, 0},
                      {.id = name, .kind = "quick", .token = "", .statement = statement});
    };
    loop_thread.on([&] {
      listener.outcomes.clear();
      engines->set_endpoint(id, engine.address());
      submit(number, tested, c.statement), submit(0, other, "work=1");
    });
    wait_until([&] { return listener.outcomes.size() == 2; });
    loop_thread.on([&] {
      const std::size_t tested_at = listener.outcomes[0].first == number ? 0 : 1;
      assert(listener.outcomes[tested_at].second == c.outcome &&
             listener.outcomes[1 - tested_at].second == Outcome::succeeded);
      assert(engines->connections() == c.connections + 1);  // the connection of the other attempt stays
      engines->remove_endpoint(id);
    });
    wait_until([&] { return engines->connections() == 0 && engines->endpoint_count() == 0; });
    loop_thread.on([&] { listener.outcomes.clear(), submit(number, tested, "work=1"); });
    wait_until([&] { return listener.outcomes.size() == 1; });
    loop_thread.on([&] { assert(listener.outcomes[0].second == Outcome::unreachable); });
  }
  loop_thread.on([&] { engines.reset(); });
}

// The connection to an engine is established late, and attempts can't be cancelled at engines: a request that
// has ended by then is not sent any more, and one that still waits is.
void ended_request_is_not_sent_late(const std::string& folder) {
  int manager_port = 0;
  LateDoor late;
  close(listen_on(manager_port));
  const std::string configuration = folder + "/late.json";
  std::ofstream(configuration) << R"({"name":"t","listen":"127.0.0.1:)" << manager_port
                               << R"(","seed":"1","limits":{"sockets":128},"known":{"cursor":1,"cmds":[
    {"cursor":1,"nodes":{"revision":1,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:)"
                               << late.port
                               << R"(","locality":"east","flavor":"std","cell":0,"phase":"active",
     "up_since_ms":0}]}}]},"settings":{"classes":[
    {"name":"quick","repeat":"pure","slo":4000000,"giveUp":8000000,"worth":1}],
    "hostTypes":["std"],"failureDomains":["east"],"zone":"east","nInstances":1,
    "familyInfo":{"coresByKind":[8],"sizeMb":[8000]},
    "limits":{"attemptsCap":3,"connectTimeout":6000000,"idleClose":15000000,"streamsPerConn":1}}})";
  const pid_t daemon = start(configuration);
  int cancelling_client = -1;
  assert(soon([&] { return (cancelling_client = connect_to(manager_port)) >= 0; }));
  say(cancelling_client, request_bytes("work=1 FROM a_1.t", 8000));
  const std::string cancelled_id = id_of(next_id - 1);
  const int waiting_client = connect_to(manager_port);
  say(waiting_client, request_bytes("work=2 FROM a_1.t", 8000));
  const std::string waiting_id = id_of(next_id - 1);
  assert(soon([&] {  // the manager counts both as sent
    return call(manager_port, "GET /counters HTTP/1.1\r\n\r\n").find("\"dispatches\":2,\"clients\"") !=
           std::string::npos;
  }));
  close(cancelling_client);
  assert(soon([&] {
    return call(manager_port, "GET /counters HTTP/1.1\r\n\r\n").find("\"withdrawn\":1") != std::string::npos;
  }));
  // Once the engine accepts, it receives only the request that still waits.
  late.opens();
  const std::string received = late.hears(waiting_id, std::chrono::seconds(5));
  assert(received.find(waiting_id) != std::string::npos && received.find(cancelled_id) == std::string::npos);
  kill(daemon, SIGKILL);
  end_of(daemon);
  close(waiting_client);
  unlink(configuration.c_str());
}

// A repeated attempt has a send deadline, and the connection to its engine is established after that: it is
// never sent, and ends as unreachable at the deadline, whichever of the timer and the socket event comes
// first.
void repeat_is_not_sent_after_its_deadline(EventLoopThread& loop_thread) {
  OutcomeRecorder listener;
  Counters counters;
  LateDoor late;
  const pearchute::service::EngineConnectionLimits limits{std::chrono::seconds(6), std::chrono::seconds(15),
                                                          4, 0};
  std::unique_ptr<EnginePool> engines;
  loop_thread.on([&] {
    engines = std::make_unique<EnginePool>(loop_thread.loop(), limits, 50, listener, counters);
    engines->set_endpoint(EngineId{1}, "127.0.0.1:" + std::to_string(late.port));
    const auto submit = [&](std::uint64_t request, const char* name,
                            std::optional<pearchute::TimePoint> deadline) {
      engines->submit(EngineId{1}, {RequestId{request}, 1},
                      {.id = name, .kind = "load", .token = "t", .statement = "work=1"}, deadline);
    };
    submit(1, "repeat", loop_thread.loop().now() + std::chrono::milliseconds(100));
    submit(2, "first", std::nullopt);
  });
  assert(soon([&] { return loop_thread.on([&] { return listener.outcomes.size() == 1; }); }));
  loop_thread.on([&] { assert(listener.outcomes[0] == std::pair(std::uint64_t{1}, Outcome::unreachable)); });
  late.opens();
  const std::string received = late.hears("first", std::chrono::seconds(5));
  assert(received.find("first") != std::string::npos && received.find("repeat") == std::string::npos);
  loop_thread.on([&] {
    engines.reset();
    loop_thread.loop().settle();
  });
}

int main() {
  slow_reader_receives_everything();
  EventLoopThread loop_thread;
  std::unique_ptr<StandInEngine> engine;
  std::unique_ptr<StandInChannel> channel, moved;
  const auto member = [&](const char* name, const char* phase) {
    return StandInChannel::Member{name, engine->address(), "east", "std", phase};
  };
  loop_thread.on([&] {
    engine = std::make_unique<StandInEngine>(loop_thread.loop(), "s-1", 8, 8000, 1, nullptr);
    channel = std::make_unique<StandInChannel>(loop_thread.loop());
    moved = std::make_unique<StandInChannel>(loop_thread.loop());
    channel->tell({member("s-1", "active")}, true);
    channel->cut_next();  // the first stream breaks within an event, the second sends the whole event
    moved->tell({member("s-1", "active")}, true);
  });
  attempt_outcomes_by_engine_fault(loop_thread, *engine);
  liveness_probes_by_cost(loop_thread);
  repeat_is_not_sent_after_its_deadline(loop_thread);
  const std::string channel_address = loop_thread.on([&] { return channel->address(); });
  const std::string moved_address = loop_thread.on([&] { return moved->address(); });
  int port = 0;
  close(listen_on(port));

  char folder[] = "/tmp/pearchuted-XXXXXX";
  assert(mkdtemp(folder));
  const std::string configuration = std::string(folder) + "/config.json";
  std::ofstream(configuration) << R"({"name":"t","listen":"127.0.0.1:)" << port
                               << R"(","seed":"1","limits":{"sockets":128},"channel":")" << channel_address
                               << R"(","known":{"cursor":0,"cmds":[]},"settings":{"classes":[
    {"name":"quick","repeat":"pure","slo":600000,"giveUp":4000000,"worth":1},
    {"name":"marked","repeat":"token","keyScope":"all","window":9000000,"slo":600000,"giveUp":4000000,"worth":1}],
    "hostTypes":["std"],"failureDomains":["east"],"zone":"east","nInstances":1,
    "familyInfo":{"coresByKind":[8],"sizeMb":[8000],"takesGrants":true,"takesPriority":true,"grantCap":0.5},
    "limits":{"attemptsCap":3,"cancel":true,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":4,
              "retryAfter":true,"maxRetryAfter":500000}}})";
  assert(end_of(start(std::string(folder) + "/none.json")) == 1);
  const pid_t daemon = start(configuration);
  assert(soon([&] {
    const int fd = connect_to(port);
    if (fd < 0) return false;
    say(fd, "GET /check HTTP/1.1\r\n\r\n");
    const bool ready = hear(fd).starts_with("HTTP/1.1 200");
    close(fd);
    return ready;
  }));
  assert(end_of(start(configuration)) == 1);  // the address is in use

  struct Case {
    std::string bytes;
    std::string begins_with, contains;
  };
  const Case cases[] = {
      {request_bytes("work=1 pages=2 FROM a_1.t", 2000), "HTTP/1.1 200", R"(["p","\"1\"",""]]})"},
      {request_bytes("work=1 FROM a_1.t", 2000), "HTTP/1.1 200",
       R"({"values":[["a","0000000000000002","z"]]})"},
      {request_bytes("fault=reset-once FROM a_1.t", 2000), "HTTP/1.1 200", R"({"values":[["a",)"},
      {request_bytes("fault=full FROM a_1.t", 2000), "HTTP/1.1 503", "Retry-After-Ms: "},
      {request_bytes("fault=torn FROM a_1.t", 1000), "HTTP/1.1 503", "TryLater"},
      {request_bytes("work=1 FROM a_1.t", 2000, "nothing"), "HTTP/1.1 404", "error"},
      {request_bytes("work=1 FROM a_1.t", 2000, "marked"), "HTTP/1.1 400", "Idempotency-Key"},
      {request_bytes("work=1 FROM a_1.t", 0), "HTTP/1.1 400", "X-Timeout-Ms"},
      {request_bytes("", 2000), "HTTP/1.1 400", "statement"},
      {"GET /counters HTTP/1.1\r\n\r\n", "HTTP/1.1 200", R"("done":3)"},
      {"DELETE /job/00000000000000ff HTTP/1.1\r\n\r\n", "HTTP/1.1 404", "error"},
      {"rubbish\r\n\r\n", "HTTP/1.1 400", "error"},
  };
  int persistent = connect_to(port);
  for (const Case& c : cases) {
    say(persistent, c.bytes);
    const std::string response = hear(persistent);
    if (!response.starts_with(c.begins_with) || response.find(c.contains) == std::string::npos) {
      std::fprintf(stderr, "%s\n-> %s\n", c.bytes.c_str(), response.c_str());
      assert(false);
    }
  }
  close(persistent);

  assert(soon([&] {  // the engine that sent a truncated response is used again
    const int fd = connect_to(port);
    say(fd, request_bytes("work=1 FROM a_1.t", 1000));
    const bool back = hear(fd).starts_with("HTTP/1.1 200");
    close(fd);
    return back;
  }));

  // Silent, oversized and very slow clients are closed within their limits, and normal clients are served
  // meanwhile.
  const auto began_at = std::chrono::steady_clock::now();
  const auto elapsed = [&] { return std::chrono::steady_clock::now() - began_at; };
  std::vector<int> silent;
  for (int i = 0; i < 100; ++i) silent.push_back(connect_to(port));
  const int normal = connect_to(port);
  say(normal, request_bytes("work=1 FROM a_1.t", 2000));
  assert(hear(normal).starts_with("HTTP/1.1 200") && elapsed() < std::chrono::seconds(1));
  const int large = connect_to(port);
  say(large, "POST /do/quick HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + std::string(500'000, 'x'));
  assert(hear(large).starts_with("HTTP/1.1 413") && elapsed() < std::chrono::seconds(1));
  const int slow_sender = connect_to(port);
  for (int i = 0; i < 25; ++i)
    say(slow_sender, i ? "a" : "GET /"), std::this_thread::sleep_for(std::chrono::milliseconds(100));
  assert(hear(slow_sender).starts_with("HTTP/1.1 408"));
  for (const int fd : silent) assert(hear(fd).empty()), close(fd);
  assert(elapsed() < std::chrono::seconds(3));
  close(normal), close(large), close(slow_sender);

  // A reload of an invalid file changes nothing. A valid file moves the channel, and the stream resumes after
  // the last event.
  std::string text;
  std::getline(std::ifstream(configuration), text, '\0');
  std::ofstream(configuration) << "{";
  assert(kill(daemon, SIGHUP) == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  text.replace(text.find(channel_address), channel_address.size(), moved_address);
  std::ofstream(configuration) << text;
  assert(kill(daemon, SIGHUP) == 0);
  assert(soon([&] { return loop_thread.on([&] { return moved->streams() == 1; }); }));
  loop_thread.on([&] {
    assert(moved->asked_from() == 1);
    moved->tell({member("s-1", "leaving")}, false);
  });
  const auto answered = [&](const char* status) {
    return soon([&] {
      const int fd = connect_to(port);
      say(fd, request_bytes("work=1 FROM a_1.t", 300));
      const bool matches = hear(fd).starts_with(status);
      close(fd);
      return matches;
    });
  };
  assert(answered("HTTP/1.1 503"));
  loop_thread.on([&] { moved->tell({member("s-2", "active")}, false); });
  assert(answered("HTTP/1.1 200"));

  const auto was_cancelled_at_engine = [&](int number) {
    return loop_thread.on([&] { return engine->was_given_up(id_of(number)); });
  };
  // A client closes its connection while its attempt is outstanding.
  const int disconnecting = connect_to(port);
  say(disconnecting, request_bytes("fault=hang FROM a_1.t", 4000));
  const auto hung_count = [&] { return loop_thread.on([&] { return engine->hung(); }); };
  assert(soon([&] { return hung_count() == 1; }));
  close(disconnecting);
  assert(soon([&] { return was_cancelled_at_engine(next_id - 1); }));

  // A client receives the path of its result, and deletes it on another connection.
  const int polling = connect_to(port);
  say(polling, request_bytes("fault=hang FROM a_1.t", 4000));
  const int cancelled = next_id - 1;
  const std::string linked = hear(polling);
  assert(linked.find("{\"link\":\"/job/" + id_of(cancelled) + "\"}") != std::string::npos);
  say(polling, "GET /job/" + id_of(cancelled) + " HTTP/1.1\r\n\r\n");
  const int other = connect_to(port);
  say(other, "DELETE /job/" + id_of(cancelled) + " HTTP/1.1\r\n\r\n");
  assert(hear(other).starts_with("HTTP/1.1 200"));
  assert(soon([&] { return was_cancelled_at_engine(cancelled); }));
  close(polling), close(other);

  const std::uint64_t hung_before = hung_count();
  // A request is open at SIGTERM, and another one is sent after it; both get their response.
  const int last = connect_to(port);
  say(last, request_bytes("fault=hang FROM a_1.t", 1500));
  assert(soon([&] { return hung_count() > hung_before; }));
  assert(kill(daemon, SIGTERM) == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const int late = connect_to(port);
  say(late, request_bytes("work=1 FROM a_1.t", 1500));
  assert(hear(late).starts_with("HTTP/1.1 200"));
  assert(hear(last).starts_with("HTTP/1.1 503"));
  close(late), close(last);
  assert(end_of(daemon) == 0);
  assert(loop_thread.on([&] { return channel->asked(); }) >= 2);
  ended_request_is_not_sent_late(folder);
  unlink(configuration.c_str()), rmdir(folder);
  loop_thread.on([&] { engine.reset(), channel.reset(), moved.reset(); });
}

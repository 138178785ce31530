// The daemon as a process on loopback, between a stand-in engine and a stand-in command channel: jobs done,
// throttled, withdrawn, reset under way, malformed, and its end by SIGTERM.
#include <fstream>

#include "engines/engines.h"
#include "lab/stand_ins/engine.h"
#include "lab/stand_ins/engine_list_channel.h"
#include "net/event_loop_thread.h"
#include "sockets.h"

using namespace pearchute::net;
using pearchute::EngineId, pearchute::RequestId, pearchute::Outcome;
using pearchute::lab::StandInChannel, pearchute::lab::StandInEngine;

int next_id = 1;
std::string job(const std::string& statement, int patience_ms, const std::string& type = "quick") {
  return JobCall{next_id++, statement, patience_ms, type}.bytes();
}

// A reader that takes its time gets all of it, whatever the system's buffers hold.
void slow_reader() {
  struct Nothing final : Connection::Listener {
    void on_data(std::string_view) override {}
    void on_closed() override { assert(false); }
  } nothing;
  int port = 0;
  const int fd = listen_on(port);
  const std::string text(32 << 20, 'x');
  std::size_t got = 0;
  int peer = -1;
  Loop loop;
  std::thread reader([&] {
    peer = accept(fd, nullptr, nullptr);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    std::string buffer(1 << 16, ' ');
    while (got < text.size()) {
      const auto part = recv(peer, buffer.data(), buffer.size(), 0);
      if (part <= 0) break;
      got += static_cast<std::size_t>(part);
    }
  });
  auto wire = std::make_unique<Connection>(
      loop, Poco::Net::SocketAddress("127.0.0.1", static_cast<std::uint16_t>(port)), nothing);
  wire->send(text);
  const std::function<void()> look = [&] {
    if (wire->waiting() == 0 || loop.now().time_since_epoch() > std::chrono::seconds(20)) return loop.stop();
    loop.at(loop.now() + std::chrono::milliseconds(5), look);
  };
  loop.at(loop.now(), look);
  loop.run();
  loop.finish(std::move(wire));
  loop.settle();
  reader.join();
  assert(got == text.size() && loop.buffers().out() == 0);
  close(peer), close(fd);  // not before: the loop may see the end sooner than that all is written
}

struct Ends final : EnginePool::Listener {
  std::vector<std::pair<std::uint64_t, Outcome>> ends;
  void on_attempt_ended(AttemptId key, Outcome outcome, std::vector<std::string>) override {
    ends.emplace_back(key.request.value, outcome);
  }
  void on_attempt_progress(AttemptId, double) override {}
  void on_attempt_spill(AttemptId, double) override {}
  void on_attempt_wait(AttemptId, pearchute::WaitCause) override {}
};

// Signs of life by their price: where they are free each quiet connection is asked again and again; where a
// job's ration is worth one, one or two long jobs are asked for once each; where it is worth a tenth, nobody
// is.
void priced_signs(EventLoopThread& stage) {
  struct Case {
    double price;
    std::uint64_t least, most;
  };
  const Case cases[] = {{0, 4, 1000}, {0.005, 1, 2}, {0.05, 0, 0}};
  Ends listener;
  Counters counters;
  std::vector<std::unique_ptr<StandInEngine>> engines;
  std::vector<std::unique_ptr<EnginePool>> sides;
  stage.on([&] {
    for (const Case& c : cases) {
      engines.push_back(std::make_unique<StandInEngine>(stage.loop(), "p", 8, 8000, 1, nullptr));
      sides.push_back(std::make_unique<EnginePool>(
          stage.loop(),
          pearchute::service::EngineConnectionLimits{std::chrono::milliseconds(250), std::chrono::seconds(15),
                                                     1, c.price},
          50, listener, counters));
      sides.back()->set_endpoint(EngineId{1}, engines.back()->address());
      for (std::uint64_t n = 0; n < 2; ++n)
        sides.back()->submit(
            EngineId{1}, {RequestId{n}, 0},
            {.id = "p" + std::to_string(n), .kind = "quick", .token = "", .statement = "fault=hang"});
    }
  });
  for (int i = 0; i < 4000 && stage.on([&] { return engines[0]->signs() < cases[0].least; }); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  stage.on([&] {
    for (std::size_t i = 0; i < engines.size(); ++i)
      assert(engines[i]->signs() >= cases[i].least && engines[i]->signs() <= cases[i].most);
    assert(listener.ends.empty());
    sides.clear(), engines.clear();
    stage.loop().settle();
  });
}

// What becomes of a dispatch and of its connection when the engine errs in each way, and that engines that
// are replaced leave nothing behind.
void engine_connections(EventLoopThread& stage, StandInEngine& engine) {
  struct Case {
    const char* statement;
    Outcome outcome;
    std::size_t connections;  // that may be used again
  };
  const Case cases[] = {
      {"work=1", Outcome::succeeded, 1},           {"work=1 pages=2", Outcome::succeeded, 1},
      {"fault=twice", Outcome::succeeded, 1},      {"fault=full", Outcome::engine_full, 1},
      {"fault=error", Outcome::engine_error, 1},   {"fault=torn", Outcome::connection_reset, 0},
      {"fault=cut", Outcome::connection_reset, 0}, {"fault=part", Outcome::connection_reset, 0},
      {"fault=mute", Outcome::connection_reset, 0}};
  Ends listener;
  Counters counters;
  const pearchute::service::EngineConnectionLimits limits{std::chrono::milliseconds(250),
                                                          std::chrono::seconds(15), 4, 0};
  std::unique_ptr<EnginePool> engines;
  stage.on([&] { engines = std::make_unique<EnginePool>(stage.loop(), limits, 50, listener, counters); });
  const auto until = [&](const std::function<bool()>& done) {
    for (int i = 0; i < 4000 && !stage.on(done); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    assert(stage.on(done));
  };
  std::uint64_t number = 0;
  for (const Case& c : cases) {
    const EngineId id{static_cast<std::uint32_t>(++number)};
    const std::string job = "e" + std::to_string(number), other = "o" + std::to_string(number);
    const auto want = [&](std::uint64_t which, const std::string& name, const char* statement) {
      engines->submit(id, {RequestId{which}, 0},
                      {.id = name, .kind = "quick", .token = "", .statement = statement});
    };
    stage.on([&] {
      listener.ends.clear();
      engines->set_endpoint(id, engine.address());
      want(number, job, c.statement), want(0, other, "work=1");
    });
    until([&] { return listener.ends.size() == 2; });
    stage.on([&] {
      const bool first = listener.ends[0].first == number;
      assert(listener.ends[!first].second == c.outcome && listener.ends[first].second == Outcome::succeeded);
      assert(engines->connections() == c.connections + 1);  // the other one's is not taken along
      engines->remove_endpoint(id);
    });
    until([&] { return engines->connections() == 0 && engines->endpoint_count() == 0; });
    stage.on([&] { listener.ends.clear(), want(number, job, "work=1"); });
    until([&] { return listener.ends.size() == 1; });
    stage.on([&] { assert(listener.ends[0].second == Outcome::unreachable); });
  }
  stage.on([&] { engines.reset(); });
}

// A connection to an engine that comes up late, where nothing can be called off: a job that has had its end
// by then is not sent any more; one that waits still is.
void late_connection(const std::string& folder) {
  int own = 0;
  LateDoor late;
  close(listen_on(own));
  const std::string configuration = folder + "/late.json";
  std::ofstream(configuration) << R"({"name":"t","listen":"127.0.0.1:)" << own
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
  int leaver = -1;
  assert(soon([&] { return (leaver = connect_to(own)) >= 0; }));
  say(leaver, job("work=1 FROM a_1.t", 8000));
  const std::string left = id_of(next_id - 1);
  const int stayer = connect_to(own);
  say(stayer, job("work=2 FROM a_1.t", 8000));
  const std::string stays = id_of(next_id - 1);
  assert(soon([&] {  // both are out, for all that the manager knows
    return call(own, "GET /counters HTTP/1.1\r\n\r\n").find("\"dispatches\":2,\"clients\"") !=
           std::string::npos;
  }));
  close(leaver);
  assert(soon([&] {
    return call(own, "GET /counters HTTP/1.1\r\n\r\n").find("\"withdrawn\":1") != std::string::npos;
  }));
  // The door opens: what comes is the one that still waits.
  late.opens();
  const std::string came = late.hears(stays, std::chrono::seconds(5));
  assert(came.find(stays) != std::string::npos && came.find(left) == std::string::npos);
  kill(daemon, SIGKILL);
  end_of(daemon);
  close(stayer);
  unlink(configuration.c_str());
}

// A repeat that has to leave by a moment, to an engine whose connection comes up later: it never leaves, and
// ends as unreachable when its time is over, whether a timer comes first or the socket.
void repeat_leaves_in_time(EventLoopThread& stage) {
  Ends listener;
  Counters counters;
  LateDoor late;
  const pearchute::service::EngineConnectionLimits limits{std::chrono::seconds(6), std::chrono::seconds(15),
                                                          4, 0};
  std::unique_ptr<EnginePool> engines;
  stage.on([&] {
    engines = std::make_unique<EnginePool>(stage.loop(), limits, 50, listener, counters);
    engines->set_endpoint(EngineId{1}, "127.0.0.1:" + std::to_string(late.port));
    const auto want = [&](std::uint64_t job, const char* name, std::optional<pearchute::TimePoint> leave_by) {
      engines->submit(EngineId{1}, {RequestId{job}, 1},
                      {.id = name, .kind = "load", .token = "t", .statement = "work=1"}, leave_by);
    };
    want(1, "repeat", stage.loop().now() + std::chrono::milliseconds(100));
    want(2, "first", std::nullopt);
  });
  assert(soon([&] { return stage.on([&] { return listener.ends.size() == 1; }); }));
  stage.on([&] { assert(listener.ends[0] == std::pair(std::uint64_t{1}, Outcome::unreachable)); });
  late.opens();
  const std::string came = late.hears("first", std::chrono::seconds(5));
  assert(came.find("first") != std::string::npos && came.find("repeat") == std::string::npos);
  stage.on([&] {
    engines.reset();
    stage.loop().settle();
  });
}

int main() {
  slow_reader();
  EventLoopThread stage;
  std::unique_ptr<StandInEngine> engine;
  std::unique_ptr<StandInChannel> channel, moved;
  const auto member = [&](const char* name, const char* phase) {
    return StandInChannel::Member{name, engine->address(), "east", "std", phase};
  };
  stage.on([&] {
    engine = std::make_unique<StandInEngine>(stage.loop(), "s-1", 8, 8000, 1, nullptr);
    channel = std::make_unique<StandInChannel>(stage.loop());
    moved = std::make_unique<StandInChannel>(stage.loop());
    channel->tell({member("s-1", "active")}, true);
    channel->cut_next();  // the first stream breaks within an event, the second tells it whole
    moved->tell({member("s-1", "active")}, true);
  });
  engine_connections(stage, *engine);
  priced_signs(stage);
  repeat_leaves_in_time(stage);
  const std::string channel_address = stage.on([&] { return channel->address(); });
  const std::string moved_address = stage.on([&] { return moved->address(); });
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
    std::string begins, holds;
  };
  const Case cases[] = {
      {job("work=1 pages=2 FROM a_1.t", 2000), "HTTP/1.1 200", R"(["p","\"1\"",""]]})"},
      {job("work=1 FROM a_1.t", 2000), "HTTP/1.1 200", R"({"values":[["a","0000000000000002","z"]]})"},
      {job("fault=reset-once FROM a_1.t", 2000), "HTTP/1.1 200", R"({"values":[["a",)"},
      {job("fault=full FROM a_1.t", 2000), "HTTP/1.1 503", "Retry-After-Ms: "},
      {job("fault=torn FROM a_1.t", 1000), "HTTP/1.1 503", "TryLater"},
      {job("work=1 FROM a_1.t", 2000, "nothing"), "HTTP/1.1 404", "error"},
      {job("work=1 FROM a_1.t", 2000, "marked"), "HTTP/1.1 400", "Idempotency-Key"},
      {job("work=1 FROM a_1.t", 0), "HTTP/1.1 400", "X-Timeout-Ms"},
      {job("", 2000), "HTTP/1.1 400", "statement"},
      {"GET /counters HTTP/1.1\r\n\r\n", "HTTP/1.1 200", R"("done":3)"},
      {"DELETE /job/00000000000000ff HTTP/1.1\r\n\r\n", "HTTP/1.1 404", "error"},
      {"rubbish\r\n\r\n", "HTTP/1.1 400", "error"},
  };
  int kept = connect_to(port);
  for (const Case& c : cases) {
    say(kept, c.bytes);
    const std::string heard = hear(kept);
    if (!heard.starts_with(c.begins) || heard.find(c.holds) == std::string::npos) {
      std::fprintf(stderr, "%s\n-> %s\n", c.bytes.c_str(), heard.c_str());
      assert(false);
    }
  }
  close(kept);

  assert(soon([&] {  // the engine that gave a torn answer is in use again
    const int fd = connect_to(port);
    say(fd, job("work=1 FROM a_1.t", 1000));
    const bool back = hear(fd).starts_with("HTTP/1.1 200");
    close(fd);
    return back;
  }));

  // Strangers get an end in good time, and usual clients are served meanwhile.
  const auto began = std::chrono::steady_clock::now();
  const auto took = [&] { return std::chrono::steady_clock::now() - began; };
  std::vector<int> silent;
  for (int i = 0; i < 100; ++i) silent.push_back(connect_to(port));
  const int usual = connect_to(port);
  say(usual, job("work=1 FROM a_1.t", 2000));
  assert(hear(usual).starts_with("HTTP/1.1 200") && took() < std::chrono::seconds(1));
  const int large = connect_to(port);
  say(large, "POST /do/quick HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + std::string(500'000, 'x'));
  assert(hear(large).starts_with("HTTP/1.1 413") && took() < std::chrono::seconds(1));
  const int trickler = connect_to(port);
  for (int i = 0; i < 25; ++i)
    say(trickler, i ? "a" : "GET /"), std::this_thread::sleep_for(std::chrono::milliseconds(100));
  assert(hear(trickler).starts_with("HTTP/1.1 408"));
  for (const int fd : silent) assert(hear(fd).empty()), close(fd);
  assert(took() < std::chrono::seconds(3));
  close(usual), close(large), close(trickler);

  // A broken file changes nothing; a good one moves the channel, and the numbers carry on.
  std::string text;
  std::getline(std::ifstream(configuration), text, '\0');
  std::ofstream(configuration) << "{";
  assert(kill(daemon, SIGHUP) == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  text.replace(text.find(channel_address), channel_address.size(), moved_address);
  std::ofstream(configuration) << text;
  assert(kill(daemon, SIGHUP) == 0);
  assert(soon([&] { return stage.on([&] { return moved->streams() == 1; }); }));
  stage.on([&] {
    assert(moved->asked_from() == 1);
    moved->tell({member("s-1", "leaving")}, false);
  });
  const auto answered = [&](const char* status) {
    return soon([&] {
      const int fd = connect_to(port);
      say(fd, job("work=1 FROM a_1.t", 300));
      const bool so = hear(fd).starts_with(status);
      close(fd);
      return so;
    });
  };
  assert(answered("HTTP/1.1 503"));
  stage.on([&] { moved->tell({member("s-2", "active")}, false); });
  assert(answered("HTTP/1.1 200"));

  const auto engine_was_told = [&](int number) {
    return stage.on([&] { return engine->was_given_up(id_of(number)); });
  };
  const int leaver = connect_to(port);  // closes its connection while its job is out
  say(leaver, job("fault=hang FROM a_1.t", 4000));
  const auto hung = [&] { return stage.on([&] { return engine->hung(); }); };
  assert(soon([&] { return hung() == 1; }));
  close(leaver);
  assert(soon([&] { return engine_was_told(next_id - 1); }));

  const int caller = connect_to(port);  // given a path, it deletes it
  say(caller, job("fault=hang FROM a_1.t", 4000));
  const int withdrawn = next_id - 1;
  const std::string linked = hear(caller);
  assert(linked.find("{\"link\":\"/job/" + id_of(withdrawn) + "\"}") != std::string::npos);
  say(caller, "GET /job/" + id_of(withdrawn) + " HTTP/1.1\r\n\r\n");
  const int other = connect_to(port);
  say(other, "DELETE /job/" + id_of(withdrawn) + " HTTP/1.1\r\n\r\n");
  assert(hear(other).starts_with("HTTP/1.1 200"));
  assert(soon([&] { return engine_was_told(withdrawn); }));
  close(caller), close(other);

  const std::uint64_t hangs = hung();
  const int last = connect_to(port);  // open when the daemon is asked to end, as is one that comes after
  say(last, job("fault=hang FROM a_1.t", 1500));
  assert(soon([&] { return hung() > hangs; }));
  assert(kill(daemon, SIGTERM) == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const int late = connect_to(port);
  say(late, job("work=1 FROM a_1.t", 1500));
  assert(hear(late).starts_with("HTTP/1.1 200"));
  assert(hear(last).starts_with("HTTP/1.1 503"));
  close(late), close(last);
  assert(end_of(daemon) == 0);
  assert(stage.on([&] { return channel->asked(); }) >= 2);
  late_connection(folder);
  unlink(configuration.c_str()), rmdir(folder);
  stage.on([&] { engine.reset(), channel.reset(), moved.reset(); });
}

// The daemon as a process on loopback, between a small stand-in engine and a stand-in command channel: jobs
// done, throttled, withdrawn, reset under way, malformed, and its end by SIGTERM.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cassert>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "engines/engines.h"
#include "engines/resp.h"
#include "net/driver.h"

using namespace pearchute::net;
using pearchute::EngineId, pearchute::JobId, pearchute::Outcome;

int listen_on(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  assert(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 && listen(fd, 16) == 0);
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return fd;
}

int connect_to(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) return fd;
  close(fd);
  return -1;
}

void say(int fd, const std::string& text) {
  [[maybe_unused]] const auto sent = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
}

// Whole answers carry their length; what comes before an end counts, too.
std::string hear(int fd) {
  std::string text;
  char buffer[4096];
  while (true) {
    const std::size_t head = text.find("\r\n\r\n");
    const std::size_t at = text.find("Content-Length: ");
    if (head != std::string::npos && at != std::string::npos &&
        text.size() >= head + 4 + std::stoul(text.substr(at + 16)))
      return text;
    const auto got = recv(fd, buffer, sizeof buffer, 0);
    if (got <= 0) return text;
    text.append(buffer, static_cast<std::size_t>(got));
  }
}

// Does what a statement's first word says.
struct StandInEngine {
  int port = 0, fd = listen_on(port);
  std::mutex mutex;
  std::set<std::string> given_up, seen;
  std::atomic<int> hangs{0};

  void serve() {
    while (true) {
      const int client = accept(fd, nullptr, nullptr);
      if (client < 0) return;
      std::thread([this, client] { talk(client); }).detach();
    }
  }
  void talk(int client) {
    RespReader reader;
    char buffer[4096];
    bool open = true, mute = false;
    while (open) {
      const auto got = recv(client, buffer, sizeof buffer, 0);
      if (got <= 0) break;
      if (mute) continue;
      reader.feed({buffer, static_cast<std::size_t>(got)}, [&](std::vector<std::string>& words) {
        std::string out;
        const std::lock_guard lock(mutex);
        if (words[0] == "there") append_command(out, {words[1], "PONG", "-", ""});
        if (words[0] == "never_mind") given_up.insert(words[1]);
        if (words[0] == "turn") append_command(out, {words[1], "PART", "fetch_no=1", "c\t\"d\"\te\n"});
        if (words[0] == "want") {
          const std::string what = words[3].substr(0, words[3].find(' '));
          const bool again = !seen.insert(words[1]).second;
          if (what == "two") append_command(out, {words[1], "HIT", "fetches=2", "a\tb\t\n"});
          if (what == "one" || (what == "reset" && again))
            append_command(out, {words[1], "HIT", "fetches=1", "x\ty\tz\n"});
          if (what == "shed") append_command(out, {words[1], "SHED", "-", ""});
          if (what == "torn") append_command(out, {words[1], "HIT", "fetches=1", "no columns\n"});
          if (what == "cut") append_command(out, {words[1], "HIT", "fetches=1", "x\ty\tz\n"}), out.resize(30);
          if (what == "twice" || what == "part")
            append_command(out, {words[1], "HIT", "fetches=2", "a\tb\t\n"});
          if (what == "twice") append_command(out, {words[1], "HIT", "fetches=2", "a\tb\t\n"});
          if (what == "part" || what == "mute") mute = true;
          if (what == "hang") ++hangs;
          if (what == "reset" && !again) open = false;
        }
        say(client, out);
      });
    }
    const linger at_once{1, 0};
    setsockopt(client, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(client);
  }
};

int next_id = 1;
std::string id_of(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", number);
  return text;
}
std::string job(const std::string& statement, int patience_ms, const std::string& type = "quick") {
  return "POST /do/" + type + " HTTP/1.1\r\nhost: a\r\nx-request-id: " + id_of(next_id++) +
         "\r\nX-TIMEOUT-MS: " + std::to_string(patience_ms) + "\r\nX-Cost-Ms: 5.0\r\nX-Est-Mb: 8\r\n" +
         "Content-Length: " + std::to_string(statement.size()) + "\r\n\r\n" + statement;
}

template <class Condition>
bool soon(Condition condition) {
  for (int i = 0; i < 500 && !condition(); ++i) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  return condition();
}

pid_t start(const std::string& configuration) {
  const pid_t child = fork();
  if (child != 0) return child;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // a failed test leaves nothing running
  setenv("PROXY_CONFIG", configuration.c_str(), 1);
  execl(PEARCHUTED, PEARCHUTED, nullptr);
  _exit(127);
}

int end_of(pid_t child) {
  int status = 0;
  waitpid(child, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

// A reader that takes its time gets all of it, whatever the system's buffers hold.
void slow_reader() {
  struct Nothing final : Wire::User {
    void wire_brought(std::string_view) override {}
    void wire_ended() override { assert(false); }
  } nothing;
  int port = 0;
  const int fd = listen_on(port);
  const std::string text(32 << 20, 'x');
  std::size_t got = 0;
  Loop loop;
  std::thread reader([&] {
    const int peer = accept(fd, nullptr, nullptr);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    std::string buffer(1 << 16, ' ');
    while (got < text.size()) {
      const auto part = recv(peer, buffer.data(), buffer.size(), 0);
      if (part <= 0) break;
      got += static_cast<std::size_t>(part);
    }
    close(peer);
  });
  auto wire = std::make_unique<Wire>(
      loop, Poco::Net::SocketAddress("127.0.0.1", static_cast<std::uint16_t>(port)), nothing);
  wire->send(text);
  const std::function<void()> look = [&] {
    if (wire->waiting() == 0 || loop.now() > std::chrono::seconds(20)) return loop.stop();
    loop.at(loop.now() + std::chrono::milliseconds(5), look);
  };
  loop.at(loop.now(), look);
  loop.run();
  loop.finish(std::move(wire));
  loop.settle();
  reader.join();
  assert(got == text.size() && loop.buffers().out() == 0);
  close(fd);
}

// What becomes of a dispatch and of its connection when the engine errs in each way, and that engines that
// are replaced leave nothing behind.
void engine_connections(StandInEngine& engine) {
  struct Case {
    const char* statement;
    Outcome outcome;
    std::size_t connections;  // that may be used again
  };
  const Case cases[] = {{"one", Outcome::done, 1},   {"two", Outcome::done, 1},   {"twice", Outcome::done, 1},
                        {"shed", Outcome::full, 1},  {"torn", Outcome::reset, 0}, {"cut", Outcome::reset, 0},
                        {"part", Outcome::reset, 0}, {"mute", Outcome::reset, 0}};
  struct Ends final : EngineTalk::Listener {
    std::vector<std::pair<std::uint64_t, Outcome>> ends;
    void talk_ended(DispatchKey key, Outcome outcome, std::vector<std::string>) override {
      ends.emplace_back(key.job.value, outcome);
    }
    void talk_progress(DispatchKey, double) override {}
    void talk_spill(DispatchKey, double) override {}
    void talk_wait(DispatchKey, pearchute::Wait) override {}
  } listener;
  Loop loop;
  Counters counters;
  const pearchute::service::LinkLimits limits{std::chrono::milliseconds(250), std::chrono::seconds(15), 4};
  Engines engines(loop, limits, 50, listener, counters);
  const std::string address = "127.0.0.1:" + std::to_string(engine.port);
  std::size_t at = 0, step = 0;
  const std::function<void()> look = [&] {
    const Case& c = cases[at];
    const std::uint64_t number = at + 1;
    const EngineId id{static_cast<std::uint32_t>(number)};
    const std::string job = "e" + std::to_string(number), other = "o" + std::to_string(number);
    const auto want = [&](std::uint64_t which, const std::string& name, const char* statement) {
      engines.want(id, {JobId{which}, 0}, {.id = name, .kind = "quick", .token = "", .statement = statement});
    };
    if (step == 0) {
      engines.place(id, address);
      want(number, job, c.statement), want(0, other, "one");
      ++step;
    } else if (step == 1 && listener.ends.size() == 2) {
      const bool first = listener.ends[0].first == number;
      assert(listener.ends[!first].second == c.outcome && listener.ends[first].second == Outcome::done);
      assert(engines.connections() == c.connections + 1);  // the other one's is not taken along
      engines.forget(id);
      ++step;
    } else if (step == 2 && engines.connections() == 0 && engines.places() == 0) {
      listener.ends.clear();
      want(number, job, "one");
      ++step;
    } else if (step == 3 && listener.ends.size() == 1) {
      assert(listener.ends[0].second == Outcome::unreachable);
      listener.ends.clear();
      step = 0;
      if (++at == std::size(cases)) return loop.stop();
    }
    assert(loop.now() < std::chrono::seconds(20));
    loop.at(loop.now() + std::chrono::milliseconds(5), look);
  };
  loop.at(loop.now(), look);
  loop.run();
  assert(at == std::size(cases) && loop.buffers().out() == 0);
}

int main() {
  slow_reader();
  StandInEngine engine;
  std::thread([&] { engine.serve(); }).detach();
  engine_connections(engine);
  int channel_port = 0, port = 0;
  const int channel = listen_on(channel_port);
  close(listen_on(port));
  std::atomic<int> streams{0};
  std::thread([&] {  // the first stream breaks within an event, the second tells it whole
    while (true) {
      const int fd = accept(channel, nullptr, nullptr);
      if (fd < 0) return;
      char buffer[1024];
      [[maybe_unused]] const auto got = recv(fd, buffer, sizeof buffer, 0);
      const std::string event =
          R"({"cursor":1,"nodes":{"revision":1,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:)" +
          std::to_string(engine.port) +
          R"(","locality":"east","flavor":"std","cell":0,"phase":"active","up_since_ms":0}]}})";
      const bool first = streams++ == 0;
      say(fd, "HTTP/1.1 200 OK\r\n\r\n: hello\n\nid: 1\ndata: " +
                  (first ? event.substr(0, 40) + "\n\n" : event + "\n\n"));
      if (first) close(fd);
      else std::this_thread::sleep_for(std::chrono::seconds(2)), say(fd, ": still here\n\n");
    }
  })
      .detach();

  char folder[] = "/tmp/pearchuted-XXXXXX";
  assert(mkdtemp(folder));
  const std::string configuration = std::string(folder) + "/config.json";
  std::ofstream(configuration) << R"({"name":"t","listen":"127.0.0.1:)" << port
                               << R"(","seed":"1","limits":{"sockets":128},"channel":"127.0.0.1:)"
                               << channel_port << R"(","known":{"cursor":0,"cmds":[]},"settings":{"classes":[
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
      {job("two FROM a_1.t", 2000), "HTTP/1.1 200", R"({"values":[["a","b",""],["c","\"d\"","e"]]})"},
      {job("one FROM a_1.t", 2000), "HTTP/1.1 200", R"([["x","y","z"]])"},
      {job("reset FROM a_1.t", 2000), "HTTP/1.1 200", R"([["x","y","z"]])"},
      {job("shed FROM a_1.t", 2000), "HTTP/1.1 503", "Retry-After-Ms: "},
      {job("torn FROM a_1.t", 1000), "HTTP/1.1 503", "TryLater"},
      {job("one FROM a_1.t", 2000, "nothing"), "HTTP/1.1 404", "error"},
      {job("one FROM a_1.t", 2000, "marked"), "HTTP/1.1 400", "Idempotency-Key"},
      {job("one FROM a_1.t", 0), "HTTP/1.1 400", "X-Timeout-Ms"},
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
    say(fd, job("one FROM a_1.t", 1000));
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
  say(usual, job("one FROM a_1.t", 2000));
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
  int moved_port = 0;
  const int moved = listen_on(moved_port);
  std::string text;
  std::getline(std::ifstream(configuration), text, '\0');
  std::ofstream(configuration) << "{";
  assert(kill(daemon, SIGHUP) == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  text.replace(text.find(std::to_string(channel_port)), std::to_string(channel_port).size(),
               std::to_string(moved_port));
  std::ofstream(configuration) << text;
  assert(kill(daemon, SIGHUP) == 0);
  const int stream = accept(moved, nullptr, nullptr);
  char asked[1024] = {};
  assert(recv(stream, asked, sizeof asked - 1, 0) > 0);
  assert(std::string(asked).find("Last-Event-ID: 1\r\n") != std::string::npos);
  say(stream,
      "HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: "
      "{\"nodes\":{\"members\":[{\"id\":\"s-1\",\"phase\":\"leaving\"}]}}\n\n");
  assert(soon([&] {
    const int fd = connect_to(port);
    say(fd, job("one FROM a_1.t", 300));
    const bool gone = hear(fd).starts_with("HTTP/1.1 503");
    close(fd);
    return gone;
  }));
  say(stream,
      "id: 3\ndata: "
      "{\"nodes\":{\"members\":[{\"id\":\"s-2\",\"phase\":\"active\",\"flavor\":\"std\",\"locality\":"
      "\"east\","
      "\"host_port\":\"127.0.0.1:" +
          std::to_string(engine.port) + "\"}]}}\n\n");
  std::thread([stream] {
    while (true) std::this_thread::sleep_for(std::chrono::seconds(1)), say(stream, ": still here\n\n");
  }).detach();
  assert(soon([&] {
    const int fd = connect_to(port);
    say(fd, job("one FROM a_1.t", 300));
    const bool back = hear(fd).starts_with("HTTP/1.1 200");
    close(fd);
    return back;
  }));

  const auto engine_was_told = [&](int number) {
    const std::lock_guard lock(engine.mutex);
    return engine.given_up.contains(id_of(number));
  };
  const int leaver = connect_to(port);  // closes its connection while its job is out
  say(leaver, job("hang FROM a_1.t", 4000));
  assert(soon([&] { return engine.hangs == 1; }));
  close(leaver);
  assert(soon([&] { return engine_was_told(next_id - 1); }));

  const int caller = connect_to(port);  // given a path, it deletes it
  say(caller, job("hang FROM a_1.t", 4000));
  const int withdrawn = next_id - 1;
  const std::string linked = hear(caller);
  assert(linked.find("{\"link\":\"/job/" + id_of(withdrawn) + "\"}") != std::string::npos);
  say(caller, "GET /job/" + id_of(withdrawn) + " HTTP/1.1\r\n\r\n");
  const int other = connect_to(port);
  say(other, "DELETE /job/" + id_of(withdrawn) + " HTTP/1.1\r\n\r\n");
  assert(hear(other).starts_with("HTTP/1.1 200"));
  assert(soon([&] { return engine_was_told(withdrawn); }));
  close(caller), close(other);

  const int hangs = engine.hangs;
  const int last = connect_to(port);  // open when the daemon is asked to end, as is one that comes after
  say(last, job("hang FROM a_1.t", 1500));
  assert(soon([&] { return engine.hangs > hangs; }));
  assert(kill(daemon, SIGTERM) == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const int late = connect_to(port);
  say(late, job("one FROM a_1.t", 1500));
  assert(hear(late).starts_with("HTTP/1.1 200"));
  assert(hear(last).starts_with("HTTP/1.1 503"));
  close(late), close(last);
  assert(end_of(daemon) == 0);
  assert(streams >= 2);
  unlink(configuration.c_str()), rmdir(folder);
  _exit(0);  // the stand-ins' threads are still waiting
}

// A process that has no turn for a while, and what its clients did meanwhile: whatever it comes to first when
// it goes on, nothing that came is dropped, and nothing begins that was called off. Each scenario is a test
// of its own, named on the command line.
#include <cstring>

#include "daemon_fixture.h"
#include "scenarios.h"

using namespace pearchute::test;
using namespace pearchute::lab;

namespace {

// Over the 50 ms within which a request that crosses a close may be sent again, and over the 100 ms within
// which an attempt may begin after its client has cancelled.
constexpr milliseconds stall(400);

// The table of clients is full, and more come while the process has no turn. Then a client that rests between
// calls makes one: it has to be answered, although its connection is the least useful one when the newcomers
// are seen.
void call_behind_a_full_table() {
  DaemonFixture fixture;
  fixture.go(usual_settings, known({{"a", fixture.engine("a")}}));
  constexpr int most_clients = 256 / 2 - 8, resting = most_clients - 2, newcomers = 40;
  std::vector<int> clients, late;
  for (int i = 0; i < resting; ++i) {
    clients.push_back(fixture.open(job("work=1", 3000)));
    assert(hear(clients.back()).starts_with("HTTP/1.1 200"));
  }
  {
    const Stalled process(fixture.daemon);
    for (int i = 0; i < newcomers; ++i) late.push_back(connect_to(fixture.port));
    for (int i = 0; i < 10; ++i) say(clients[static_cast<std::size_t>(i)], job("work=1", 3000).bytes());
    pass(stall);
  }
  int unanswered = 0;
  for (int i = 0; i < 10; ++i)
    unanswered += !hear(clients[static_cast<std::size_t>(i)]).starts_with("HTTP/1.1 ");
  std::fprintf(stderr, "%d of 10 calls had no answer\n", unanswered);
  assert(unanswered == 0);
  for (const int fd : clients) close(fd);
  for (const int fd : late) close(fd);
}

// Jobs of a weight that leaves some of them waiting for the one engine, each by a client with a path.
constexpr const char* narrow_settings = R"({"classes":[
    {"name":"quick","repeat":"pure","slo":8500000,"giveUp":9000000,"worth":1}],
    "hostTypes":["std"],"failureDomains":["east"],"zone":"east","nInstances":1,
    "familyInfo":{"coresByKind":[1],"sizeMb":[100]},
    "limits":{"attemptsCap":1,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":1}})";

// Clients cancel by DELETE on new connections while the process has no turn, and the engine becomes free
// meanwhile: what they cancelled does not begin.
void cancelled_while_stalled() {
  DaemonFixture fixture;
  fixture.go(narrow_settings, known({{"a", fixture.engine("a", 1)}}));
  constexpr int jobs = 8;
  std::vector<JobCall> calls;
  std::vector<int> clients, cancelling;
  for (int i = 0; i < jobs; ++i) {
    calls.push_back(job("work=1200", 8000));
    calls.back().cost_ms = 1200;
    clients.push_back(fixture.open(calls.back()));
  }
  for (int i = 0; i < jobs; ++i) {
    const std::string first = hear(clients[static_cast<std::size_t>(i)]);
    if (first.find("{\"link\":") != std::string::npos)
      say(clients[static_cast<std::size_t>(i)], fetch_of(calls[static_cast<std::size_t>(i)]));
  }
  pass(milliseconds(100));
  std::vector<std::size_t> waiting;
  {
    const Stalled process(fixture.daemon);
    for (std::size_t i = 0; i < calls.size(); ++i) {
      if (fixture.begun("a", calls[i]) == 0) waiting.push_back(i);
    }
    for (const std::size_t i : waiting) {
      cancelling.push_back(connect_to(fixture.port));
      say(cancelling.back(), "DELETE /job/" + id_of(calls[i].number) + " HTTP/1.1\r\n\r\n");
    }
    pass(milliseconds(2600));  // what the engine is at ends meanwhile
  }
  for (const int fd : cancelling) assert(hear(fd).starts_with("HTTP/1.1 200"));
  int begun = 0;
  for (const std::size_t i : waiting) begun += fixture.begun("a", calls[i]);
  std::fprintf(stderr, "%d of %zu that were cancelled began\n", begun, waiting.size());
  assert(!waiting.empty() && begun == 0);
  for (const int fd : clients) close(fd);
  for (const int fd : cancelling) close(fd);
}

// The last answer on a connection goes to a client that reads it slowly, and without a pause: all of it
// comes.
void last_answer_read_slowly() {
  struct Nobody final : pearchute::net::Connection::Listener {
    void on_data(std::string_view) override {}
    void on_closed() override {}
  } nobody;
  int port = 0;
  const int door = listen_on(port);
  const std::string text(24 << 20, 'x');
  std::size_t got = 0;
  std::thread reader([&] {
    const int peer = accept(door, nullptr, nullptr);
    std::string buffer(1 << 18, ' ');
    while (true) {
      const auto part = recv(peer, buffer.data(), buffer.size(), MSG_WAITALL);
      if (part <= 0) break;
      got += static_cast<std::size_t>(part);
      pass(milliseconds(20));
    }
    close(peer);
  });
  pearchute::net::Loop loop;
  auto wire = std::make_unique<pearchute::net::Connection>(
      loop, Poco::Net::SocketAddress("127.0.0.1", static_cast<std::uint16_t>(port)), nobody);
  wire->send(text);
  loop.finish(std::move(wire));
  const std::function<void()> look = [&] {
    if (loop.finishing() == 0) return loop.stop();
    loop.at(loop.now() + milliseconds(10), look);
  };
  look();
  loop.run();
  reader.join();
  std::fprintf(stderr, "%zu of %zu bytes came\n", got, text.size());
  assert(got == text.size());
  close(door);
}

// The process has no turn while it is at work on an event: what it decides after that waits until it has
// looked for what has come meanwhile, as what it decides after a wait without a turn does.
void held_up_within_an_event() {
  pearchute::net::Loop loop;
  bool was_behind = false, was_before = false;
  loop.at(loop.now() + milliseconds(20), [&] {
    was_before = loop.has_input_backlog();
    pass(milliseconds(100));
    was_behind = loop.has_input_backlog();
    loop.run_when_input_drained([&] { loop.stop(); });
  });
  loop.run();
  std::fprintf(stderr, "behind before: %d, after: %d\n", was_before, was_behind);
  assert(!was_before && was_behind);
}

constexpr Scenario scenarios[] = {{"call_behind_a_full_table", call_behind_a_full_table},
                                  {"cancelled_while_stalled", cancelled_while_stalled},
                                  {"last_answer_read_slowly", last_answer_read_slowly},
                                  {"held_up_within_an_event", held_up_within_an_event}};

}  // namespace

int main(int count, char** names) { return play_named(scenarios, count, names); }

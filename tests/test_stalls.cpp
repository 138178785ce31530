// Tests of the daemon process after a stall: requests that arrived during the stall are answered, and
// requests that were cancelled during it are not sent. Each scenario is a test of its own, named on the
// command line.
#include <cstring>

#include "daemon_fixture.h"
#include "net/connection.h"
#include "scenarios.h"

using namespace pearchute::test;
using namespace pearchute::lab;

namespace {

// Longer than the 50 ms within which a request that crosses a close may be sent again, and than the 100 ms
// within which an attempt may begin after its client has cancelled.
constexpr milliseconds stall(400);

// The table of clients is full, and more clients connect during a stall. Then idle clients send requests,
// which have to be answered, although their connections are the least useful ones when the new ones are
// accepted.
void request_with_full_client_table() {
  DaemonFixture fixture;
  fixture.go(usual_settings, known({{"a", fixture.engine("a")}}));
  constexpr int max_clients = 256 / 2 - 8, idle_count = max_clients - 2, new_connection_count = 40;
  std::vector<int> clients, new_connections;
  for (int i = 0; i < idle_count; ++i) {
    clients.push_back(fixture.open(job("work=1", 3000)));
    assert(hear(clients.back()).starts_with("HTTP/1.1 200"));
  }
  {
    const Stalled process(fixture.daemon);
    for (int i = 0; i < new_connection_count; ++i) new_connections.push_back(connect_to(fixture.port));
    for (int i = 0; i < 10; ++i) say(clients[static_cast<std::size_t>(i)], job("work=1", 3000).bytes());
    pass(stall);
  }
  int unanswered = 0;
  for (int i = 0; i < 10; ++i)
    unanswered += !hear(clients[static_cast<std::size_t>(i)]).starts_with("HTTP/1.1 ");
  std::fprintf(stderr, "%d of 10 requests were not answered\n", unanswered);
  assert(unanswered == 0);
  for (const int fd : clients) close(fd);
  for (const int fd : new_connections) close(fd);
}

// Settings under which some of the expensive requests have to wait for the only engine.
constexpr const char* narrow_settings = R"({"classes":[
    {"name":"quick","repeat":"pure","slo":8500000,"giveUp":9000000,"worth":1}],
    "hostTypes":["std"],"failureDomains":["east"],"zone":"east","nInstances":1,
    "familyInfo":{"coresByKind":[1],"sizeMb":[100]},
    "limits":{"attemptsCap":1,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":1}})";

// During a stall, clients cancel their requests by DELETE on new connections, and the engine becomes free.
// The cancelled requests must not be sent to it.
void cancelled_while_stalled() {
  DaemonFixture fixture;
  fixture.go(narrow_settings, known({{"a", fixture.engine("a", 1)}}));
  constexpr int request_count = 8;
  std::vector<JobCall> requests;
  std::vector<int> clients, cancelling;
  for (int i = 0; i < request_count; ++i) {
    requests.push_back(job("work=1200", 8000));
    requests.back().cost_ms = 1200;
    clients.push_back(fixture.open(requests.back()));
  }
  for (int i = 0; i < request_count; ++i) {
    const std::string first = hear(clients[static_cast<std::size_t>(i)]);
    if (first.find("{\"link\":") != std::string::npos)
      say(clients[static_cast<std::size_t>(i)], fetch_of(requests[static_cast<std::size_t>(i)]));
  }
  pass(milliseconds(100));
  std::vector<std::size_t> waiting;
  {
    const Stalled process(fixture.daemon);
    for (std::size_t i = 0; i < requests.size(); ++i) {
      if (fixture.begun("a", requests[i]) == 0) waiting.push_back(i);
    }
    for (const std::size_t i : waiting) {
      cancelling.push_back(connect_to(fixture.port));
      say(cancelling.back(), "DELETE /job/" + id_of(requests[i].number) + " HTTP/1.1\r\n\r\n");
    }
    pass(milliseconds(2600));  // the request that the engine executes ends meanwhile
  }
  for (const int fd : cancelling) assert(hear(fd).starts_with("HTTP/1.1 200"));
  int begun = 0;
  for (const std::size_t i : waiting) begun += fixture.begun("a", requests[i]);
  std::fprintf(stderr, "%d of %zu cancelled requests were sent to the engine\n", begun, waiting.size());
  assert(!waiting.empty() && begun == 0);
  for (const int fd : clients) close(fd);
  for (const int fd : cancelling) close(fd);
}

// A client that reads the last answer on a connection slowly, but steadily, receives all of it.
void last_answer_read_slowly() {
  struct IgnoreEvents final : pearchute::net::Connection::Listener {
    void on_data(std::string_view) override {}
    void on_closed() override {}
  } listener;
  int port = 0;
  const int listening = listen_on(port);
  const std::string text(24 << 20, 'x');
  std::size_t received_bytes = 0;
  std::thread reader([&] {
    const int peer = accept(listening, nullptr, nullptr);
    std::string buffer(1 << 18, ' ');
    while (true) {
      const auto part = recv(peer, buffer.data(), buffer.size(), MSG_WAITALL);
      if (part <= 0) break;
      received_bytes += static_cast<std::size_t>(part);
      pass(milliseconds(20));
    }
    close(peer);
  });
  pearchute::net::Loop loop;
  auto connection = std::make_unique<pearchute::net::Connection>(
      loop, Poco::Net::SocketAddress("127.0.0.1", static_cast<std::uint16_t>(port)), listener);
  connection->send(text);
  loop.finish(std::move(connection));
  const std::function<void()> stop_when_finished = [&] {
    if (loop.finishing() == 0) return loop.stop();
    loop.at(loop.now() + milliseconds(10), stop_when_finished);
  };
  stop_when_finished();
  loop.run();
  reader.join();
  std::fprintf(stderr, "%zu of %zu bytes received\n", received_bytes, text.size());
  assert(received_bytes == text.size());
  close(listening);
}

// After a stall within an event, as after a stall during a poll, the loop has to report an input backlog, so
// that requests are sent only after the input that has arrived meanwhile is read.
void stall_within_an_event() {
  pearchute::net::Loop loop;
  bool backlog_after = false, backlog_before = false;
  loop.at(loop.now() + milliseconds(20), [&] {
    backlog_before = loop.has_input_backlog();
    pass(milliseconds(100));
    backlog_after = loop.has_input_backlog();
    loop.run_when_input_drained([&] { loop.stop(); });
  });
  loop.run();
  std::fprintf(stderr, "input backlog before: %d, after: %d\n", backlog_before, backlog_after);
  assert(!backlog_before && backlog_after);
}

constexpr Scenario scenarios[] = {{"request_with_full_client_table", request_with_full_client_table},
                                  {"cancelled_while_stalled", cancelled_while_stalled},
                                  {"last_answer_read_slowly", last_answer_read_slowly},
                                  {"stall_within_an_event", stall_within_an_event}};

}  // namespace

int main(int count, char** names) { return play_named(scenarios, count, names); }

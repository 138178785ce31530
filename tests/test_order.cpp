// Tests of classes that are ordered by key, with the daemon as a process: answers of engines that cross a
// cancellation, and requests that arrive while the process is stalled. Each scenario is a test of its own,
// named on the command line; see docs/incidents/order-by-key.md.
#include <cstring>

#include "faulty_daemon.h"
#include "scenarios.h"
#include "scripted_engine.h"

using namespace pearchute::test;
using namespace pearchute::lab;

namespace {

constexpr const char* ordered_settings = R"({"classes":[
    {"name":"load","repeat":"token","keyScope":"all","window":9000000,"slo":6000000,"giveUp":9000000,"worth":1,
     "byArrival":true}],
    "hostTypes":["std"],"failureDomains":["east"],"zone":"east","nInstances":1,
    "obligations":{"orderPause":300000},
    "familyInfo":{"coresByKind":[8],"sizeMb":[8000],"takesGrants":true,"takesPriority":true,"grantCap":0.5},
    "limits":{"attemptsCap":3,"cancel":true,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":4,
              "retryAfter":true,"maxRetryAfter":500000}})";
constexpr milliseconds quiet_period(300);
constexpr milliseconds clock_slack(2);

JobCall load(std::uint64_t key, int timeout_ms = 6000) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(key));
  const std::string number = std::to_string(next_number);
  return job("INSERT work=5", timeout_ms, "load",
             "Idempotency-Key: k" + number + "\r\nX-Object: " + text + "\r\n");
}

// Returns the time from the cancellation of a key's first request until the engine receives the second one,
// where `crossing` sends an answer between the cancellation and its confirmation.
milliseconds pause_after_cancel(
    const std::function<void(const std::string& id, const ScriptedEngine::Say& say)>& crossing) {
  ScriptedEngine::Script script;
  JobCall first = load(1), second = load(1);
  script.on_request = [&](const std::string& id, const ScriptedEngine::Say& say) {
    if (id == id_of(second.number)) say({id, "HIT", "fetches=1", "a\tb\tc\n"});
  };
  script.on_cancel = [&](const std::string& id, const std::string& tag, const ScriptedEngine::Say& say) {
    crossing(id, say);
    pass(milliseconds(5));
    say({tag, "PONG", "-", ""});
  };
  ScriptedEngine engine(script);
  DaemonFixture fixture;
  fixture.go(ordered_settings, known({{"a", engine.address()}}));
  const int one = fixture.open(first);
  assert(soon([&] { return engine.seen(first).has_value(); }));
  close(one);
  pass(milliseconds(60));  // the distance that clients keep between requests of a key
  const int other = fixture.open(second);
  assert(hear(other).starts_with("HTTP/1.1 200"));
  close(other);
  const auto earlier = engine.seen(first), later = engine.seen(second);
  assert(earlier->cancelled_at && later);
  return std::chrono::duration_cast<milliseconds>(later->received_at - *earlier->cancelled_at);
}

// A client disconnects, its attempt is cancelled, and the engine sends an answer before it reads the
// cancellation. Whatever the answer is, the key's quiet period has to be kept, since the outcome is
// uncertain.
void answer_crosses_cancel() {
  struct Case {
    const char* name;
    std::function<void(const std::string& id, const ScriptedEngine::Say& say)> crossing;
  };
  const Case cases[] = {
      {"LATE",
       [](auto& id, auto& say) {
         say({id, "LATE", "-", ""});
       }},
      {"SHED",
       [](auto& id, auto& say) {
         say({id, "SHED", "-", ""});
       }},
      {"FAULT",
       [](auto& id, auto& say) {
         say({id, "FAULT", "-", ""});
       }},
      {"HIT",
       [](auto& id, auto& say) {
         say({id, "HIT", "fetches=1", "a\tb\tc\n"});
       }},
      {"HIT of two pages",
       [](auto& id, auto& say) {
         say({id, "HIT", "fetches=2", "a\tb\tc\n"});
       }},
      {"nothing", [](auto&, auto&) {}},
  };
  int too_early = 0;
  for (const Case& one : cases) {
    const milliseconds pause = pause_after_cancel(one.crossing);
    std::fprintf(stderr, "%s crosses: %lld ms after the cancellation\n", one.name,
                 static_cast<long long>(pause.count()));
    too_early += pause + clock_slack < quiet_period;
  }
  assert(too_early == 0);
}

// Checks that the engine received the earlier request first, where it received both.
void assert_in_order(const ScriptedEngine& engine, const JobCall& earlier, const JobCall& later) {
  const auto first = engine.seen(earlier), second = engine.seen(later);
  std::fprintf(stderr, "the engine received the earlier request: %s, the later one: %s\n",
               first ? "yes" : "no", second ? "yes" : "no");
  assert(!first || !second || first->received_at < second->received_at);
}

ScriptedEngine::Script answers_after(milliseconds time) {
  ScriptedEngine::Script script;
  script.on_request = [time](const std::string& id, const ScriptedEngine::Say& say) {
    pass(time);
    say({id, "HIT", "fetches=1", "a\tb\tc\n"});
  };
  return script;
}

// Returns a connection that has been used for a request, so that the daemon has accepted it.
int idle_client(const DaemonFixture& fixture, std::uint64_t key) {
  const int fd = connect_to(fixture.port);
  say(fd, load(key).bytes());
  assert(hear(fd).starts_with("HTTP/1.1 200"));
  return fd;
}

// While the process is stalled, a request arrives on a new connection, and 260 ms later another one of the
// same key on an open connection. The earlier one has to be sent first, although it is read last.
void requests_read_out_of_order() {
  int both_served = 0;
  for (int round = 0; round < 4; ++round) {
    // Each round uses a new process, since one that stalls repeatedly detects an overload.
    ScriptedEngine engine(answers_after(milliseconds(30)));
    DaemonFixture fixture;
    fixture.go(ordered_settings, known({{"a", engine.address()}}));
    const std::uint64_t key = 100 + static_cast<std::uint64_t>(round);
    const int old = idle_client(fixture, 50);
    const JobCall first = load(key), second = load(key);
    int fresh = -1;
    {
      const Stalled process(fixture.daemon);
      fresh = fixture.open(first);
      pass(milliseconds(260));
      say(old, second.bytes());
      pass(milliseconds(40));
    }
    const bool first_served = hear(fresh).starts_with("HTTP/1.1 200");
    const bool second_served = hear(old).starts_with("HTTP/1.1 200");
    both_served += first_served && second_served;
    assert_in_order(engine, first, second);
    close(fresh), close(old);
  }
  // The system reports when bytes arrived, so the order is known and neither request has to be rejected.
  std::fprintf(stderr, "both requests were served in %d of 4 rounds\n", both_served);
  assert(both_served == 4);
}

// A request waits on a connection that can't be accepted for a moment, and another one of the same key
// arrives on an open connection. The order of arrival at the machine counts, not that of accepting.
void request_behind_failing_accepts() {
  ScriptedEngine engine(answers_after(milliseconds(30)));
  FaultyDaemon fixture;
  fixture.go(ordered_settings, known({{"a", engine.address()}}));
  for (int round = 0; round < 3; ++round) {
    const std::uint64_t key = 200 + static_cast<std::uint64_t>(round);
    const int old = idle_client(fixture, 50);
    const JobCall first = load(key), second = load(key);
    fixture.faults.set(FaultKind::accept_fails, 1);
    const int fresh = fixture.open(first);
    pass(milliseconds(260));
    say(old, second.bytes());
    pass(milliseconds(100));
    fixture.faults.set(FaultKind::accept_fails, 0);
    assert(hear(fresh).starts_with("HTTP/1.1 "));
    assert(hear(old).starts_with("HTTP/1.1 "));
    assert_in_order(engine, first, second);
    close(fresh), close(old);
  }
  assert(fixture.faults.struck(FaultKind::accept_fails) > 0);
}

// A request is pipelined behind an open one, and another one of the same key arrives on another connection.
// It must not overtake the pipelined one, which is not read yet.
void request_behind_an_open_one() {
  ScriptedEngine::Script script;
  const JobCall open = load(300), first = load(301), second = load(301);
  script.on_request = [&](const std::string& id, const ScriptedEngine::Say& say) {
    pass(milliseconds(id == id_of(open.number) ? 400 : 10));
    say({id, "HIT", "fetches=1", "a\tb\tc\n"});
  };
  ScriptedEngine engine(script);
  DaemonFixture fixture;
  fixture.go(ordered_settings, known({{"a", engine.address()}}));
  const int pipelined = connect_to(fixture.port);
  say(pipelined, open.bytes() + first.bytes());
  pass(milliseconds(100));
  const int other = fixture.open(second);
  assert(hear(pipelined).starts_with("HTTP/1.1 200"));
  assert(hear(pipelined).starts_with("HTTP/1.1 200"));
  assert(hear(other).starts_with("HTTP/1.1 "));
  assert_in_order(engine, first, second);
  close(pipelined), close(other);
}

// The manager cancels an attempt because of its slow progress, and the engine answers LATE before it reads
// the cancellation. The request has time left, so it has to be retried and must not be rejected as timed out.
void late_answer_crosses_retry() {
  std::atomic<int> request_count = 0;
  ScriptedEngine::Script script;
  script.on_request = [&](const std::string& id, const ScriptedEngine::Say& say) {
    if (++request_count > 1) return say({id, "HIT", "fetches=1", "a\tb\tc\n"});
    pass(milliseconds(100));
    say({id, "INFO", "res=progress,figure=0.001", ""});
  };
  script.on_cancel = [](const std::string& id, const std::string& tag, const ScriptedEngine::Say& say) {
    say({id, "LATE", "-", ""});
    say({tag, "PONG", "-", ""});
  };
  ScriptedEngine engine(script);
  DaemonFixture fixture;
  fixture.go(usual_settings, known({{"a", engine.address()}}));
  const JobCall call = job("SELECT work=5", 5000);
  const int fd = fixture.open(call);
  const std::string answer = hear_out(fd, call);
  std::fprintf(stderr, "received %d times, answered %s\n", request_count.load(), answer.substr(9, 3).c_str());
  assert(request_count == 2 && answer.starts_with("HTTP/1.1 200"));
  close(fd);
}

constexpr Scenario scenarios[] = {{"answer_crosses_cancel", answer_crosses_cancel},
                                  {"requests_read_out_of_order", requests_read_out_of_order},
                                  {"request_behind_failing_accepts", request_behind_failing_accepts},
                                  {"request_behind_an_open_one", request_behind_an_open_one},
                                  {"late_answer_crosses_retry", late_answer_crosses_retry}};

}  // namespace

int main(int count, char** names) { return play_named(scenarios, count, names); }

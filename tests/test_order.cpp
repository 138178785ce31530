// Order by key, from outside: the daemon as a process, engines that say their words in any order, also across
// a give-up, and clients whose calls come while the process has no turn. Each scenario is a test of its own,
// named on the command line; docs/incidents/order-by-key.md tells how they were found.
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
constexpr milliseconds rest(300);
constexpr milliseconds clock_slack(2);

JobCall load(std::uint64_t key, int patience_ms = 6000) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(key));
  const std::string number = std::to_string(next_number);
  return job("INSERT work=5", patience_ms, "load",
             "Idempotency-Key: k" + number + "\r\nX-Object: " + text + "\r\n");
}

// How long after the first call of a key was given up the second one came to the engine, where the engine's
// script says `words` between the give-up and its PONG.
milliseconds pause_after_give_up(
    const std::function<void(const std::string& id, const ScriptedEngine::Say& say)>& crossing) {
  ScriptedEngine::Script script;
  JobCall first = load(1), second = load(1);
  script.wanted = [&](const std::string& id, const ScriptedEngine::Say& say) {
    if (id == id_of(second.number)) say({id, "HIT", "fetches=1", "a\tb\tc\n"});
  };
  script.given_up = [&](const std::string& id, const std::string& tag, const ScriptedEngine::Say& say) {
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
  pass(milliseconds(60));  // as far apart as clients write
  const int other = fixture.open(second);
  assert(hear(other).starts_with("HTTP/1.1 200"));
  close(other);
  const auto earlier = engine.seen(first), later = engine.seen(second);
  assert(earlier->given_up && later);
  return std::chrono::duration_cast<milliseconds>(later->came - *earlier->given_up);
}

// A client leaves, its attempt is given up, and before the engine has read that it says a word of its own.
// Whatever the word, the key rests as the settings say: the attempt was given up when the word was written.
void answer_crosses_give_up() {
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
  int broken = 0;
  for (const Case& one : cases) {
    const milliseconds pause = pause_after_give_up(one.crossing);
    std::fprintf(stderr, "%s crosses: %lld ms after the give-up\n", one.name,
                 static_cast<long long>(pause.count()));
    broken += pause + clock_slack < rest;
  }
  assert(broken == 0);
}

// Which of the two came to an engine first, and whether the other came while it was out or before it rested.
void assert_in_turn(const ScriptedEngine& engine, const JobCall& earlier, const JobCall& later) {
  const auto first = engine.seen(earlier), second = engine.seen(later);
  std::fprintf(stderr, "the earlier call %s, the later one %s\n",
               first ? "came to the engine" : "did not come", second ? "did" : "did not");
  assert(!first || !second || first->came < second->came);
}

ScriptedEngine::Script answers_after(milliseconds time) {
  ScriptedEngine::Script script;
  script.wanted = [time](const std::string& id, const ScriptedEngine::Say& say) {
    pass(time);
    say({id, "HIT", "fetches=1", "a\tb\tc\n"});
  };
  return script;
}

// A connection that has made a call, so that the daemon has it on its table.
int resting_client(const DaemonFixture& fixture, std::uint64_t key) {
  const int fd = connect_to(fixture.port);
  say(fd, load(key).bytes());
  assert(hear(fd).starts_with("HTTP/1.1 200"));
  return fd;
}

// The process has no turn; a call comes on a new connection, and 260 ms later another one of the same key on
// a connection that is there already. The earlier one goes first, whichever is read first, or is refused.
void calls_unread_together() {
  int both_served = 0;
  for (int round = 0; round < 4; ++round) {
    // A process that stands still again and again takes itself for overloaded: each round has its own.
    ScriptedEngine engine(answers_after(milliseconds(30)));
    DaemonFixture fixture;
    fixture.go(ordered_settings, known({{"a", engine.address()}}));
    const std::uint64_t key = 100 + static_cast<std::uint64_t>(round);
    const int old = resting_client(fixture, 50);
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
    assert_in_turn(engine, first, second);
    close(fresh), close(old);
  }
  // This system tells when bytes came: neither has to be refused.
  std::fprintf(stderr, "both were served in %d of 4\n", both_served);
  assert(both_served == 4);
}

// A call waits in the queue of connections because none can be accepted for a moment, and another one of the
// same key comes on a connection that is open: taken is what the machine has accepted.
void call_behind_failing_accepts() {
  ScriptedEngine engine(answers_after(milliseconds(30)));
  FaultyDaemon fixture;
  fixture.go(ordered_settings, known({{"a", engine.address()}}));
  for (int round = 0; round < 3; ++round) {
    const std::uint64_t key = 200 + static_cast<std::uint64_t>(round);
    const int old = resting_client(fixture, 50);
    const JobCall first = load(key), second = load(key);
    fixture.faults.set(FaultKind::accept_fails, 1);
    const int fresh = fixture.open(first);
    pass(milliseconds(260));
    say(old, second.bytes());
    pass(milliseconds(100));
    fixture.faults.set(FaultKind::accept_fails, 0);
    assert(hear(fresh).starts_with("HTTP/1.1 "));
    assert(hear(old).starts_with("HTTP/1.1 "));
    assert_in_turn(engine, first, second);
    close(fresh), close(old);
  }
  assert(fixture.faults.struck(FaultKind::accept_fails) > 0);
}

// A call is written behind an open one on its connection, and another one of the same key comes on another
// connection meanwhile: it does not overtake the one that waits unread.
void call_behind_an_open_one() {
  ScriptedEngine::Script script;
  const JobCall open = load(300), first = load(301), second = load(301);
  script.wanted = [&](const std::string& id, const ScriptedEngine::Say& say) {
    pass(milliseconds(id == id_of(open.number) ? 400 : 10));
    say({id, "HIT", "fetches=1", "a\tb\tc\n"});
  };
  ScriptedEngine engine(script);
  DaemonFixture fixture;
  fixture.go(ordered_settings, known({{"a", engine.address()}}));
  const int piped = connect_to(fixture.port);
  say(piped, open.bytes() + first.bytes());
  pass(milliseconds(100));
  const int other = fixture.open(second);
  assert(hear(piped).starts_with("HTTP/1.1 200"));
  assert(hear(piped).starts_with("HTTP/1.1 200"));
  assert(hear(other).starts_with("HTTP/1.1 "));
  assert_in_turn(engine, first, second);
  close(piped), close(other);
}

// The manager calls an attempt off because it gets on too slowly, and the engine says LATE of it before it
// has read that: the request has time left, so it goes on, and is not refused as one whose time was over.
void word_crosses_a_move() {
  std::atomic<int> wanted = 0;
  ScriptedEngine::Script script;
  script.wanted = [&](const std::string& id, const ScriptedEngine::Say& say) {
    if (++wanted > 1) return say({id, "HIT", "fetches=1", "a\tb\tc\n"});
    pass(milliseconds(100));
    say({id, "INFO", "res=progress,figure=0.001", ""});
  };
  script.given_up = [](const std::string& id, const std::string& tag, const ScriptedEngine::Say& say) {
    say({id, "LATE", "-", ""});
    say({tag, "PONG", "-", ""});
  };
  ScriptedEngine engine(script);
  DaemonFixture fixture;
  fixture.go(usual_settings, known({{"a", engine.address()}}));
  const JobCall call = job("SELECT work=5", 5000);
  const int fd = fixture.open(call);
  const std::string answer = hear_out(fd, call);
  std::fprintf(stderr, "wanted %d times, answered %s\n", wanted.load(), answer.substr(9, 3).c_str());
  assert(wanted == 2 && answer.starts_with("HTTP/1.1 200"));
  close(fd);
}

constexpr Scenario scenarios[] = {{"answer_crosses_give_up", answer_crosses_give_up},
                                  {"calls_unread_together", calls_unread_together},
                                  {"call_behind_failing_accepts", call_behind_failing_accepts},
                                  {"call_behind_an_open_one", call_behind_an_open_one},
                                  {"word_crosses_a_move", word_crosses_a_move}};

}  // namespace

int main(int count, char** names) { return play_named(scenarios, count, names); }

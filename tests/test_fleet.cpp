// Drains and operators on real sockets, among stand-ins: what waits for a connection or a full socket, orders
// against the channel, against each other and over a kill, managers drained and ended under load, hostile
// admin peers, and the command line over managers of which some are dead, hang or are older.
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>

#include "engines/engines.h"
#include "lab/stand_ins/admin_endpoints.h"
#include "lab/stand_ins/test_cluster.h"

using namespace pearchute;
using namespace pearchute::lab;
using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- What has not left

struct Ends final : net::EnginePool::Listener {
  std::map<std::uint64_t, Outcome> ends;
  void on_attempt_ended(net::AttemptId key, Outcome outcome, std::vector<std::string>) override {
    assert(ends.emplace(key.request.value, outcome).second);
  }
  void on_attempt_progress(net::AttemptId, double) override {}
  void on_attempt_spill(net::AttemptId, double) override {}
  void on_attempt_wait(net::AttemptId, WaitCause) override {}
};

// A place where connections are begun and never come up: its backlog is full.
struct Nowhere {
  int door = ::socket(AF_INET, SOCK_STREAM, 0);
  std::vector<int> filling;
  std::string address;
  Nowhere() {
    Poco::Net::SocketAddress any("127.0.0.1", 0);
    assert(::bind(door, any.addr(), any.length()) == 0 && ::listen(door, 0) == 0);
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(door, reinterpret_cast<sockaddr*>(&at), &size);
    address = Poco::Net::SocketAddress(reinterpret_cast<sockaddr*>(&at), size).toString();
    for (int i = 0; i < 8; ++i) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      ::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
      filling.push_back(fd);
    }
  }
  ~Nowhere() {
    for (const int fd : filling) ::close(fd);
    ::close(door);
  }
};

void what_has_not_left() {
  net::EventLoopThread stage;
  Ends listener;
  net::Counters counters;
  // One connection to an engine, so that all that waits, waits behind one socket.
  const service::EngineConnectionLimits limits{milliseconds(2000), seconds(15), 5000};
  std::unique_ptr<net::EnginePool> engines;
  std::unique_ptr<StandInEngine> engine;
  const Nowhere nowhere;
  const std::string large(5000, 'x');  // as long as stand-in engines read
  const auto want = [&](EngineId to, std::uint64_t job, const std::string& statement) {
    engines->submit(to, {RequestId{job}, 0},
                    {.id = "j" + std::to_string(job),
                     .kind = "quick",
                     .token = "",
                     .statement = statement,
                     .wait_ms = 5000});
  };
  const auto until = [&](const std::function<bool()>& done) {
    for (int i = 0; i < 2000; ++i) {
      if (stage.on(done)) return true;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  };
  const EngineId here{1}, there{2};
  constexpr std::uint64_t many = 3000;  // 15 MB, over what the system's buffers take
  stage.on([&] {
    engines = std::make_unique<net::EnginePool>(stage.loop(), limits, 1, listener, counters);
    engine = std::make_unique<StandInEngine>(stage.loop(), "e", 4, 1e9, 1, nullptr);
    engines->set_endpoint(here, engine->address());
    // In the turn in which it is chosen.
    want(here, 1, "work=1");
    engines->suspend_sending(here);
    assert(listener.ends.at(1) == Outcome::unreachable);
    want(here, 2, "work=1");
  });
  assert(until([&] { return listener.ends.size() == 2; }));
  stage.on([&] {
    assert(listener.ends.at(2) == Outcome::succeeded && engine->begun() == 1);
    // Behind a full socket: the engine does not read.
    engine->set({.deaf = true});
    for (std::uint64_t job = 0; job < many; ++job) want(here, 100 + job, large);
  });
  // The system's buffers fill up; what they have no room for stays back.
  std::size_t kept = 0;
  assert(until([&] {
    const std::size_t now = engines->socket_stats(here).unsent_requests;
    const bool still = now > 0 && now == kept;
    kept = now;
    return still;
  }));
  stage.on([&] {
    kept = engines->socket_stats(here).unsent_requests;
    listener.ends.clear();
    engines->suspend_sending(here);
    // And the one that was with the socket, which took nothing of it.
    assert((listener.ends.size() == kept || listener.ends.size() == kept + 1) && kept > 50 &&
           kept < many - 50);
    kept = listener.ends.size();
    for (const auto& [job, outcome] : listener.ends) assert(outcome == Outcome::unreachable);
    engine->set({});
  });
  // What had left runs, and nothing else.
  assert(until([&] { return engine->begun() == 1 + many - kept; }));
  assert(until([&] { return listener.ends.size() == many; }));
  std::this_thread::sleep_for(milliseconds(50));
  stage.on([&] {
    assert(engine->begun() == 1 + many - kept);
    engines->remove_endpoint(here);
  });
  assert(until([&] { return engines->connections() == 0; }));
  stage.on([&] {
    // While the connection comes up.
    listener.ends.clear();
    engines->set_endpoint(there, nowhere.address);
    want(there, 900, "work=1");
  });
  std::this_thread::sleep_for(milliseconds(30));
  stage.on([&] {
    assert(listener.ends.empty() && engines->socket_stats(there).unsent_requests == 1);
    engines->suspend_sending(there);
    assert(listener.ends.at(900) == Outcome::unreachable &&
           engines->socket_stats(there).unsent_requests == 0);
    engines.reset(), engine.reset();
  });
}

// ---- Managers

admin::v1::Engine engine_at(TestCluster& world, std::size_t manager, const std::string& name) {
  admin::v1::Call call;
  call.mutable_engines();
  const admin::v1::Reply reply = world.call(manager, call);
  for (const auto& engine : reply.engines().engines()) {
    if (engine.name() == name) return engine;
  }
  return {};
}

bool stands(TestCluster& world, std::size_t manager, const std::string& engine, const std::string& state) {
  for (int i = 0; i < 400; ++i) {
    if (engine_at(world, manager, engine).state() == state) return true;
    world.rest(milliseconds(10));
  }
  return false;
}

const std::vector<Ask> mix = {{"quick", "SELECT work=5 FROM a_1.t", milliseconds(2000), 0, 5, 8},
                              {"report", "SELECT work=40 pages=2 FROM a_2.t", milliseconds(3500), 0, 40, 32},
                              {"once", "UPDATE work=8 a_4.t", milliseconds(2000), 0, 8, 8},
                              {"load", "INSERT work=10 INTO a_5.t", milliseconds(2500), 3, 10, 16},
                              {"load", "INSERT work=10 INTO a_5.t", milliseconds(2500), 4, 10, 16}};

void settled(TestCluster& world, const char* scene) {
  world.on([&] { world.crowd().offer(0, {}); });
  assert(world.quiet());
  const HistoryChecker::Verdict verdict = world.verdict();
  for (const std::string& fault : verdict.faults) std::fprintf(stderr, "%s: %s\n", scene, fault.c_str());
  assert(verdict.clean());
}

// Nobody else reaches the channel.
void own_rights(TestCluster& world) {
  struct stat what {};
  assert(::stat(world.managers()[0].admin.c_str(), &what) == 0 && (what.st_mode & 0777) == 0600);
}

// The channel says what it likes during an operator's drain.
void against_the_channel(TestCluster& world) {
  world.on([&] { world.crowd().offer(200, mix); });
  const auto ordered = world.order(0, "e1", true, 1);
  assert(ordered.ordered().verdict() == "done" && ordered.ordered().standing() == "draining");
  world.on([&] { world.record().drain_came("e1", 0, Time(ordered.ordered().came_monotonic_us())); });
  const std::string first = world.on([&] { return world.channel().address(); });
  const auto tell = [&](std::vector<StandInChannel::Member> members, bool complete) {
    world.on([&] { world.channel().tell(members, complete); });
  };
  const auto all = world.on([&] {
    std::vector<StandInChannel::Member> members;
    for (std::size_t i = 0; i < world.engines().size(); ++i) members.push_back(world.member(i));
    return members;
  });
  tell({world.on([&] { return world.member(0, "left"); })}, false);
  for (int i = 0; engine_at(world, 0, "e1").state() != "" && i < 400; ++i) world.rest(milliseconds(5));
  assert(engine_at(world, 0, "e1").name().empty());
  tell({all[0]}, false);  // back under its name
  assert(stands(world, 0, "e1", "draining") && stands(world, 1, "e1", "up"));
  tell(all, true);
  world.on([&] { world.channel().cut_streams(); });
  world.rest(milliseconds(50));
  assert(stands(world, 0, "e1", "draining"));
  // SIGHUP: another channel, which tells all anew.
  std::unique_ptr<StandInChannel> other;
  world.on([&] {
    other = std::make_unique<StandInChannel>(world.loop());
    for (int i = 0; i < 9; ++i) other->tell(all, true);
  });
  world.move_channel(0, world.on([&] { return other->address(); }));
  world.signal(0, SIGHUP);
  assert(world.until([&] { return other->streams() == 1; }));
  assert(stands(world, 0, "e1", "draining"));
  // Under a new name at the same address it is another engine, unless the order is on the address.
  StandInChannel::Member renamed = all[0];
  renamed.name = "e1b";
  StandInChannel::Member gone = all[0];
  gone.phase = "left";
  assert(world.order(0, "@" + renamed.address, true, 2, "lab", "by-address").ordered().verdict() == "done");
  world.on([&] { other->tell({gone, renamed}, false); });
  assert(stands(world, 0, "e1b", "draining"));
  gone.name = "e1b";
  world.on([&] { other->tell({gone, all[0]}, false); });
  assert(stands(world, 0, "e1", "draining"));
  world.on([&] { world.record().drain_over("e1", 0); });
  assert(world.order(0, "@" + renamed.address, false, 3).ordered().verdict() == "done");
  assert(world.order(0, "e1", false, 3).ordered().standing() == "up");
  settled(world, "against the channel");
  assert(world.verdict().drain_delays.size() == 1);
  // Back to the site's own channel; the numbers carry on, so it has to be ahead of the other one's.
  for (int i = 0; i < 12; ++i) tell(all, true);
  world.move_channel(0, first);
  world.signal(0, SIGHUP);
  assert(world.until([&] { return world.channel().streams() == world.managers().size(); }));
  world.on([&] { other.reset(); });
}

// Two operators whose generations cross; a lease that runs out while nobody is connected.
void against_each_other(TestCluster& world) {
  struct Step {
    const char* holder;
    bool drains;
    std::uint64_t generation;
    const char* verdict;
    const char* standing;
  };
  const Step steps[] = {{"ann", true, 10, "done", "draining"},  {"bob", true, 10, "done", "draining"},
                        {"ann", false, 9, "stale", "draining"}, {"ann", false, 11, "done", "draining"},
                        {"ann", true, 10, "stale", "draining"}, {"bob", true, 10, "repeated", "draining"},
                        {"bob", false, 12, "done", "up"},       {"bob", true, 12, "done", "draining"},
                        {"bob", false, 13, "done", "up"}};
  for (const Step& step : steps) {
    const auto ordered =
        world.order(1, "e2", step.drains, step.generation, step.holder,
                    std::string(step.holder) + std::to_string(step.generation) + (step.drains ? "d" : "r"));
    assert(ordered.ordered().verdict() == step.verdict && ordered.ordered().standing() == step.standing);
  }
  // More orders than a message holds: all are told, page by page, and each restore finds its own.
  const std::string holder(128, 'h');
  const auto far = [](int number) { return std::string(124, 'e') + std::to_string(1000 + number); };
  for (int number = 0; number < 200; ++number)
    assert(world.order(1, far(number), true, 15, holder, "d" + std::to_string(number)).ordered().verdict() ==
           "done");
  const Ran listed =
      run_program(PEARCHUTECTL, {"--fleet", world.write_fleet(), "--output", "json", "orders"});
  assert(listed.status == 0 && nlohmann::json::parse(listed.out).size() == 200);
  for (int number = 0; number < 200; ++number)
    assert(world.order(1, far(number), false, 16, holder, "r" + std::to_string(number))
               .ordered()
               .in_force_size() == 0);
  assert(world.order(1, "e2", true, 20, "ann", "", milliseconds(300)).ordered().standing() == "draining");
  world.on([&] { world.managers()[1].caller.reset(); });
  world.rest(milliseconds(320));
  world.on([&] {
    auto& manager = world.managers()[1];
    manager.caller =
        std::make_unique<admin::Caller>(world.loop(), admin::parse_endpoint("unix:" + manager.admin));
  });
  assert(stands(world, 1, "e2", "up"));
}

// A zone drained, and then the last engine: an honest answer to each, in time; and all is well again after.
void nothing_left(TestCluster& world) {
  const std::size_t managers = world.managers().size();
  world.on([&] { world.crowd().offer(100, mix); });
  for (std::size_t m = 0; m < managers; ++m) {
    assert(world.order(m, "e1", true, 30).ordered().verdict() == "done");
    assert(world.order(m, "e3", true, 30).ordered().verdict() == "done");
  }
  world.rest(milliseconds(300));
  const std::uint64_t refused = world.verdict().refused;
  for (std::size_t m = 0; m < managers; ++m) {
    assert(world.order(m, "e2", true, 31).ordered().verdict() == "done");
    assert(world.order(m, "e4", true, 31).ordered().verdict() == "done");
  }
  assert(world.until([&] { return world.record().verdict().refused > refused + 10; }));
  std::optional<Answer> answer;
  bool heard = false;
  const Time asked = steady_now();
  world.on([&] {
    world.crowd().ask(0, {"quick", "SELECT work=5 FROM a_1.t", milliseconds(3000), 0, 5, 8},
                      [&](std::optional<Answer> what) { answer = what, heard = true; });
  });
  assert(world.until([&] { return heard; }) && answer == Answer::refused);
  assert(steady_now() - asked < milliseconds(1500));  // as soon as its SLA time can't be kept, not at its end
  assert(world.on([&] { return world.crowd().retry_advised(); }) > 0);
  for (std::size_t m = 0; m < managers; ++m) {
    for (const char* engine : {"e1", "e2", "e3", "e4"})
      assert(world.order(m, engine, false, 40).ordered().standing() == "up");
  }
  const std::uint64_t done = world.verdict().done;
  assert(world.until([&] { return world.record().verdict().done > done + 20; }));
  settled(world, "nothing left");
}

// Drained under load with keyed jobs open, resumed halfway, then asked to end by SIGTERM, then by an
// operator.
void manager_drained(TestCluster& world) {
  world.on([&] { world.crowd().offer(300, mix); });
  world.rest(milliseconds(300));
  assert(world.order(0, "", true, 50).ordered().verdict() == "done");
  assert(world.status(0).identity().rest() != "serving");
  bool heard = false;
  std::optional<Answer> answer;
  world.on(
      [&] { world.crowd().ask(0, {}, [&](std::optional<Answer> what) { answer = what, heard = true; }); });
  assert(world.until([&] { return heard; }) && answer == Answer::refused);
  assert(world.order(0, "", false, 51).ordered().verdict() == "done");
  assert(world.status(0).identity().rest() == "serving");
  assert(world.order(0, "", true, 52).ordered().verdict() == "done");
  for (int i = 0; world.status(0).identity().rest() != "drained" && i < 500; ++i)
    world.rest(milliseconds(10));
  assert(world.status(0).identity().rest() == "drained" && world.status(0).open_jobs() == 0);
  assert(world.order(0, "", false, 53).ordered().verdict() == "done");
  const std::uint64_t sent = world.verdict().sent;
  assert(world.until([&] { return world.record().verdict().sent > sent + 100; }));
  world.signal(0, SIGTERM);
  assert(world.until([&] { return world.ended(0) == 0; }));
  world.start(0);
  assert(world.all_serving(world.engines().size()));
  // By an operator: no sooner than fronts have seen it, and each job has its answer.
  admin::v1::Call end;
  end.mutable_end()->set_within_ms(5000);
  assert(world.call(1, end).outcome() == admin::v1::ok);
  assert(world.status(1).ending());
  assert(world.until([&] { return world.ended(1) == 0; }));
  world.start(1);
  assert(world.all_serving(world.engines().size()));
  settled(world, "a manager drained");
}

// A manager is killed and comes back: the order holds from its first moment. A damaged file is told.
void orders_survive(TestCluster& world) {
  assert(world.order(1, "e2", true, 60).ordered().verdict() == "done");
  assert(world.order(1, "", true, 61).ordered().verdict() == "done");
  world.signal(1, SIGKILL);
  assert(world.until([&] { return world.ended(1) == -2; }));
  world.start(1);
  world.until([&] { return false; }, milliseconds(50));
  for (int i = 0; world.status(1).engines_draining() != 1 && i < 500; ++i) world.rest(milliseconds(10));
  const admin::v1::Status status = world.status(1);
  assert(status.engines_draining() == 1 && status.identity().rest() == "drained" && status.orders() == 2);
  assert(world.order(1, "e2", false, 59).ordered().verdict() == "stale");
  const std::string file = world.folder() + "/n2.orders";
  world.signal(1, SIGKILL);
  assert(world.until([&] { return world.ended(1) == -2; }));
  std::ofstream(file, std::ios::app) << "x";
  world.start(1);
  for (int i = 0; world.status(1).identity().phase() != "serving" && i < 500; ++i)
    world.rest(milliseconds(10));
  assert(world.status(1).trouble().find("are lost") != std::string::npos && world.status(1).orders() == 0);
  assert(::access((file + ".damaged").c_str(), F_OK) == 0);
  assert(world.all_serving(world.engines().size()));
}

// Peers that make noise, send half a message or a huge length, never read, or come without end.
void hostile_peers(TestCluster& world) {
  const auto connect = [&] {
    const int fd = ::socket(AF_UNIX, SOCK_STREAM, 0);
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    std::strncpy(at.sun_path, world.managers()[0].admin.c_str(), sizeof at.sun_path - 1);
    return ::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 ? fd : (::close(fd), -1);
  };
  const auto say = [](int fd, const std::string& text) {
    return ::send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  };
  const auto closed = [](int fd) {
    timeval limit{8, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    char byte;
    const auto got = ::recv(fd, &byte, 1, 0);
    return got == 0 || (got < 0 && errno != EAGAIN);
  };
  world.on([&] { world.crowd().offer(300, mix); });
  const auto before = world.status(0);
  std::vector<int> fds;
  const int noise = connect(), huge = connect(), half = connect(), mute = connect();
  say(noise, "GET / HTTP/1.1\r\n\r\n");
  say(huge, "\xff\xff\xff\xff");
  say(half, std::string("\0\0\0\x09half", 8));
  // One that asks for all the engines and never reads.
  admin::v1::Call call;
  call.mutable_engines();
  std::string message, frame;
  call.SerializeToString(&message);
  admin::append_frame(frame, message);
  for (int i = 0; i < 20000 && say(mute, frame) > 0; ++i) continue;
  for (int i = 0; i < 300; ++i) {
    if (const int fd = connect(); fd >= 0) fds.push_back(fd);
  }
  assert(closed(noise) && closed(huge));
  for (const int fd : fds) ::close(fd);
  fds.clear();
  assert(closed(half));
  const auto after = world.status(0);
  assert(after.identity().phase() == "serving" && after.memory_kb() < before.memory_kb() + 8 * 1024);
  assert(after.descriptors() < before.descriptors() + 100);
  for (const int fd : {noise, huge, half, mute}) ::close(fd);
  settled(world, "hostile peers");
  // A manager whose socket somebody else listens at does not start.
  const std::string program = world.on([&] { return world.managers()[0].configuration; });
  const Ran second = run_program(
      PEARCHUTED, {"--config", world.managers()[1].configuration, "--admin", world.managers()[0].admin_file});
  assert(second.status == 1);
}

// The command line over five: one is dead, one hangs, one is older.
void command_line(TestCluster& world) {
  const std::string silent = world.folder() + "/n4.sock", old = world.folder() + "/n5.sock";
  std::unique_ptr<StandInManager> older;
  world.on([&] { older = std::make_unique<StandInManager>(world.loop(), old, "n5", true); });
  auto hangs = std::make_unique<SilentPlace>(silent);
  const std::string both = world.write_fleet(), five = world.folder() + "/five.ini";
  std::ofstream(five) << std::ifstream(both).rdbuf() << "\n[instance n3]\nadmin = unix:" << world.folder()
                      << "/n3.sock\nzone = west\n[instance n4]\nadmin = unix:" << silent
                      << "\nzone = west\n[instance n5]\nadmin = unix:" << old << "\nzone = north\n";
  const auto ctl = [&](const std::string& fleet, std::vector<std::string> words) {
    words.insert(words.begin(), {"--fleet", fleet, "--output", "json", "--timeout", "400"});
    return run_program(PEARCHUTECTL, words);
  };
  using Json = nlohmann::json;
  const auto states = [](const Ran& ran, const char* what) {
    std::map<std::string, std::string> by_name;
    for (const Json& row : Json::parse(ran.out)) by_name[row["instance"]] = row.value(what, "");
    return by_name;
  };
  Ran ran = ctl(five, {"status"});
  auto seen = states(ran, "state");
  assert(ran.status == 4 && seen["n1"] == "serving" && seen["n2"] == "serving" &&
         seen["n3"] == "unreachable");
  assert(seen["n4"] == "silent" && seen["n5"].starts_with("an older manager") && ran.seconds < 3);
  assert(ctl(five, {"status", "--on", "name in {n1, n3}"}).status == 3);
  assert(ctl(five, {"status", "--on", "name in {n1, n2}"}).status == 0);
  assert(ctl(five, {"status", "--on", "name = n9"}).status == 2 &&
         ctl(five, {"status", "--on", "nme=1"}).status == 2);
  assert(ctl(five, {"nothing"}).status == 2 && ctl("/nowhere", {"status"}).status == 2);
  // A drain that some take: each one's own result is listed.
  ran = ctl(five, {"engine", "drain", "e1", "--as", "ann", "--yes"});
  seen = states(ran, "result");
  assert(ran.status == 7 && seen["n1"] == "done" && seen["n2"] == "done" && seen["n3"] == "unreachable");
  assert(stands(world, 0, "e1", "draining") && stands(world, 1, "e1", "draining"));
  // Another operator's restore leaves it drained, and says who holds it; for everyone it ends.
  ran = ctl(both, {"engine", "restore", "e1", "--as", "bob"});
  assert(ran.status == 5 && states(ran, "also_held_by")["n1"].starts_with("ann for "));
  assert(ctl(both, {"engine", "restore", "e1", "--as", "bob", "--dry-run", "--everyone"}).status == 0);
  assert(stands(world, 0, "e1", "draining"));
  assert(ctl(both, {"engine", "restore", "e1", "--as", "bob", "--everyone"}).status == 0);
  assert(stands(world, 0, "e1", "up") && stands(world, 1, "e1", "up"));
  // Over half of a zone is not drained without a word.
  assert(ctl(both, {"engine", "drain", "e1", "e3"}).status == 8 &&
         ctl(both, {"drain", "--on", "name=n1"}).status == 8);
  assert(stands(world, 0, "e1", "up") && world.status(0).identity().rest() == "serving");
  ran = ctl(both, {"drain", "--on", "name = n1", "--yes", "--as", "ann"});
  assert(ran.status == 0 && states(ran, "state")["n1"] == "drained");
  assert(ctl(both, {"resume", "--as", "ann"}).status == 0);
  assert(world.status(0).identity().rest() == "serving");
  // A restart keeps the open orders, and the record stays clean under load.
  assert(ctl(both, {"engine", "drain", "e2", "--as", "ann", "--yes"}).status == 0);
  world.on([&] { world.crowd().offer(200, mix); });
  const auto before = world.status(0).identity();
  ran = ctl(both, {"restart", "--on", "name = n1"});
  assert(ran.status == 0 && states(ran, "result")["n1"] == "serves again");
  assert(world.ended(0) == 0);
  const auto after = world.status(0);
  assert(after.identity().pid() != before.pid() && after.engines_draining() == 1 && after.orders() == 1);
  settled(world, "a restart from the command line");
  // One that can't be restarted stops the rest, which are listed as not begun.
  ran = ctl(five, {"restart", "--on", "name in {n3, n2}", "--yes"});
  seen = states(ran, "result");
  const bool n2_first = seen["n3"] == "unreachable" && seen["n2"] == "serves again";
  assert(ran.status == (n2_first ? 7 : 3));
  assert(ctl(five, {"engine", "list", "--on", "name in {n1,n2}"}).status == 0);
  assert(ctl(both, {"watch", "--for", "200"}).status == 0 && ctl(both, {"jobs"}).status == 0);
  assert(ctl(both, {"orders"}).out.find("ann") != std::string::npos);
  assert(ctl(both, {"log-level", "debug"}).status == 0 && ctl(both, {"log-level", "loud"}).status == 4);
  assert(ctl(both, {"check"}).status == 0 &&
         ctl(both, {"top", "--rounds", "2", "--every", "100"}).status == 0);
  hangs.reset();
  world.on([&] { older.reset(); });
}

int main() {
  net::start_log("test");
  spdlog::set_level(spdlog::level::err);
  what_has_not_left();
  ClusterSpec site;
  site.managers = 2, site.engines = 4, site.pearchuted = PEARCHUTED;
  TestCluster world(site);
  assert(world.all_serving(4));
  const auto begun = steady_now();
  const auto scene = [&](const char* name, void (*play)(TestCluster&)) {
    play(world);
    std::printf("%-20s at %5.1f s\n", name, static_cast<double>((steady_now() - begun).count()) / 1e6);
    std::fflush(stdout);
  };
  scene("own rights", own_rights);
  scene("against the channel", against_the_channel);
  scene("against each other", against_each_other);
  scene("nothing left", nothing_left);
  scene("a manager drained", manager_drained);
  scene("orders survive", orders_survive);
  scene("hostile peers", hostile_peers);
  scene("command line", command_line);
}

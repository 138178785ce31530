// LeaseTable, lives and rollouts: tables of cases, and random histories in the simulated fleet, with agents
// killed at each named point, cut off and stopped, messages lost, doubled and late, and two operators.
#include <cassert>
#include <cstdio>
#include <functional>
#include <set>

#include "fleet/instance_lifecycle.h"
#include "fleet/lease_owner.h"
#include "fleet/lease_table.h"
#include "fleet/rollout.h"
#include "lab/simulations/rollout_simulation.h"

using namespace pearchute::fleet;
using pearchute::lab::RolloutSimulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct NotedClaims final : LeaseTable::Host {
  bool writes = true;
  std::vector<std::string> ended;
  bool persist(const std::map<std::string, Lease>&) override { return writes; }
  void lease_ended(const std::string& instance, const Lease& lease, LeaseTable::EndReason why) override {
    const char* words[] = {"run out", "released", "taken over"};
    ended.push_back(instance + " " + lease.operation + " " + words[static_cast<int>(why)]);
  }
  void wake_at(Duration) override {}
};

void leases() {
  NotedClaims host;
  LeaseTable leases(host);
  for (const char* name : {"a", "b", "c"})
    leases.add_instance(Duration(0), name, 4, std::nullopt, Duration(0));
  const auto ask = [](const char* operation, std::vector<std::string> instances, bool take_over = false) {
    return LeaseRequest{operation, std::string(operation) + "'s", std::move(instances), seconds(10),
                        take_over};
  };
  auto first = leases.acquire(seconds(1), ask("one", {"a", "b"}));
  assert(first.granted && first.fences["a"] == 5 && leases.live(seconds(10), "a", 5));
  // The same again: the same fences. Another, overlapping: all or none, and it hears who holds what.
  assert(leases.acquire(seconds(2), ask("one", {"a", "b"})).fences["b"] == 5);
  const auto second = leases.acquire(seconds(3), ask("two", {"b", "c"}));
  assert(!second.granted && second.conflicts.size() == 1 && second.conflicts[0].lease.who == "one's" &&
         second.conflicts[0].lease.since == seconds(1) && second.conflicts[0].lease.until == seconds(12));
  assert(!leases.lease_on(seconds(3), "c"));
  // Taken over: the fence grows, the older one's is dead at once, elsewhere it goes on.
  const auto over = leases.acquire(seconds(4), ask("two", {"b", "c"}, true));
  assert(over.granted && over.fences.at("b") == 6 && !leases.live(seconds(4), "b", 5) &&
         leases.live(seconds(4), "a", 5));
  assert(host.ended == std::vector<std::string>{"b one taken over"});
  // What is left of the older operation can be renewed, and it hears that it has lost the rest.
  assert(!leases.renew(seconds(5), "one", {"a", "b"}, seconds(10)) && leases.live(seconds(14), "a", 5));
  assert(leases.renew(seconds(5), "one", {"a"}, seconds(10)) &&
         leases.renew(seconds(5), "two", {"b", "c"}, seconds(10)));
  // Run out by the clock alone, whoever was woken or not; then free for others under a newer fence.
  assert(!leases.live(seconds(15), "a", 5) && !leases.lease_on(seconds(15), "a"));
  assert(leases.acquire(seconds(15), ask("three", {"a"})).fences["a"] == 6 &&
         !leases.renew(seconds(16), "one", {"a"}, seconds(9)));
  leases.release(seconds(16), "three");
  leases.release(seconds(16), "three");
  assert(!leases.live(seconds(16), "a", 6) && leases.last_fence("a") == 6);
  // What can't be written is not granted; what is not here, or out of bounds, neither.
  host.writes = false;
  assert(!leases.acquire(seconds(17), ask("four", {"a"})).granted && leases.last_fence("a") == 6);
  host.writes = true;
  assert(!leases.acquire(seconds(17), ask("four", {"x"})).fault.empty());
  assert(!leases.acquire(seconds(17), {"four", "x", {"a"}, milliseconds(1), false}).granted);
  // After its owner's restart a lease lives its whole lease_duration once more, under the same fence.
  LeaseTable again(host);
  again.add_instance(Duration(0), "a", 9, Lease{"five", "x", 9, seconds(50), seconds(60)}, seconds(10));
  assert(again.live(seconds(9), "a", 9) && !again.live(seconds(10), "a", 9));
  assert(again.acquire(seconds(10), ask("six", {"a"})).fences["a"] == 10);
}

struct NotedLife final : InstanceLifecycle::Host {
  std::string did;
  bool writes = true;
  bool record_intent(const std::string&, const std::optional<Step>&) override { return writes; }
  void start(int version) override { did += "start" + std::to_string(version) + " "; }
  void request_shutdown(Duration) override { did += "end "; }
  void cancel_shutdown() override { did += "call-off "; }
  void set_drain(bool drains, const Step&) override { did += drains ? "drain " : "restore "; }
  void terminate() override { did += "term "; }
  void kill() override { did += "kill "; }
  void step_ended(const Step&, StepEnd end, const std::string&) override {
    const char* words[] = {"done", "time-up", "fell-back"};
    did += std::string("(") + words[static_cast<int>(end)] + ") ";
  }
};

void lives() {
  const InstanceLifecycle::Observation none, up{true, true, true, true, false, false, 1},
      next{true, true, true, true, false, false, 2}, coming{true, false, false, false, false, false, 1},
      away{true, true, true, true, true, false, 1}, drained{true, true, true, true, false, true, 1},
      other{false, true, false, true, false, false, 1};
  const Step restart{"op", 1, StepKind::restart, Fallback::serve_again, 0, seconds(5), seconds(20)},
      finish{"op", 1, StepKind::restart, Fallback::finish, 0, seconds(5), seconds(20)},
      change{"op", 1, StepKind::change, Fallback::serve_again, 2, seconds(5), seconds(20)},
      drain{"op", 1, StepKind::drain, Fallback::serve_again, 0, seconds(5), seconds(20)};
  struct Case {
    const char* name;
    std::function<void(InstanceLifecycle&)> happens;
    const char* did;
    InstanceState condition;
  };
  const Case cases[] = {
      {"kept running, with back-off for one that falls at once",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), none), l.observe(milliseconds(100), coming),
             l.observe(milliseconds(200), none);
         l.observe(milliseconds(300), none);  // waits
         l.observe(milliseconds(800), none), l.observe(milliseconds(900), coming),
             l.observe(milliseconds(1000), none);
         l.observe(milliseconds(1600), none), l.observe(milliseconds(2100), none);
       },
       "start1 start1 start1 ", InstanceState::down},
      {"adopted as it runs",
       [&](InstanceLifecycle& l) { l.observe(Duration(0), up), l.observe(seconds(1), up); }, "",
       InstanceState::serving},
      {"somebody else has its address: nothing is started",
       [&](InstanceLifecycle& l) { l.observe(Duration(0), other), l.observe(seconds(5), other); }, "",
       InstanceState::foreign},
      {"a restart, and the same message once more",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up);
         assert(l.step(Duration(1), restart) && l.step(Duration(2), restart) && !l.step(Duration(2), drain));
         l.observe(seconds(1), up), l.observe(seconds(2), none), l.observe(seconds(3), coming),
             l.observe(seconds(4), up);
         assert(l.step(seconds(5), restart) && !l.current_step());
       },
       "end start1 (done) (done) ", InstanceState::serving},
      {"it does not end: its own way, SIGTERM, SIGKILL, each after its time",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), restart);
         for (int s = 1; s < 40; ++s) l.observe(seconds(s), up);
         l.observe(seconds(41), none), l.observe(seconds(42), up);
       },
       "end term kill (time-up) start1 ", InstanceState::serving},
      {"it falls at once after its restart",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), change);
         for (const int s : {1, 4, 7, 11, 17}) {  // each try waits twice as long as the one before
           l.observe(seconds(s) - milliseconds(700), s == 1 ? up : none);
           l.observe(seconds(s), none), l.observe(seconds(s + 1), coming), l.observe(seconds(s + 2), none);
         }
         l.observe(seconds(22), none), l.observe(seconds(28), none);
       },
       "end start2 start2 start2 start2 start2 (time-up) start2 ", InstanceState::down},
      {"the lease ends while it is asked to end: it serves again",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), change), l.lease_ended(seconds(1)),
             l.observe(seconds(2), up);
         assert(l.version() == 1);
       },
       "end call-off (fell-back) ", InstanceState::serving},
      {"the same, too late: it goes, and comes back by its old command",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), change), l.lease_ended(seconds(1));
         l.observe(seconds(2), none), l.observe(seconds(3), up);
       },
       "end call-off start1 (fell-back) ", InstanceState::serving},
      {"the lease ends, and the restart is to be finished",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), finish), l.lease_ended(seconds(1)),
             l.observe(seconds(2), up);
         l.observe(seconds(3), none), l.observe(seconds(4), up);
       },
       "end start1 (fell-back) ", InstanceState::serving},
      {"a drain; its lease ends half way",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), drain), l.observe(seconds(1), away),
             l.lease_ended(seconds(1));
         l.observe(seconds(2), up);
       },
       "drain restore (fell-back) ", InstanceState::serving},
      {"drained, and not within the time",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), drain), l.observe(seconds(1), drained);
         Step later = drain;
         later.fence = 2;
         l.step(seconds(2), later), l.observe(seconds(3), away), l.observe(seconds(9), away);
       },
       "drain (done) drain (time-up) ", InstanceState::draining},
      {"a step before the first look, or while somebody else is there, is refused",
       [&](InstanceLifecycle& l) {
         assert(!l.step(Duration(0), restart));
         l.observe(Duration(0), other);
         assert(!l.step(Duration(0), restart));
       },
       "", InstanceState::foreign},
      {"after the agent's own end amid a restart: what had gone is started, by the new command if it was one",
       [&](InstanceLifecycle& l) {
         l.restore(change, std::nullopt);
         l.observe(Duration(0), none), l.observe(seconds(1), next);
         assert(l.version() == 2);
       },
       "start2 (fell-back) ", InstanceState::serving},
      {"the same where it had not gone yet: it serves as before",
       [&](InstanceLifecycle& l) {
         l.restore(change, std::nullopt);
         l.observe(Duration(0), up), l.observe(seconds(1), up);
         assert(l.version() == 1);
       },
       "call-off (fell-back) ", InstanceState::serving},
  };
  for (const Case& c : cases) {
    NotedLife host;
    InstanceLifecycle life(host, true, 1);
    c.happens(life);
    if (host.did != c.did || life.condition() != c.condition)
      std::fprintf(stderr, "%s: did %s, %s\n", c.name, host.did.c_str(),
                   std::string(name_of(life.condition())).c_str());
    assert(host.did == c.did && life.condition() == c.condition);
  }
  NotedLife host;
  host.writes = false;  // what can't be written down is not done
  InstanceLifecycle life(host, true, 1);
  life.observe(Duration(0), none), life.observe(seconds(9), up);
  assert(!life.step(seconds(9), restart) && host.did.empty());
}

RolloutPlan plan_of(StepKind kind) {
  RolloutPlan plan;
  plan.id = "roll", plan.who = "ann", plan.kind = kind, plan.version = kind == StepKind::change ? 2 : 0;
  plan.version_before = 1;
  plan.max_concurrent = 4, plan.batch = 5, plan.gate = milliseconds(300), plan.warm = milliseconds(400);
  plan.min_serving = {{"z0", 2}, {"z1", 2}};
  plan.lease_duration = seconds(6), plan.drain_within = seconds(4), plan.up_within = seconds(8);
  plan.failures = 1;
  return plan;
}

RolloutSimulation::Result play(const RolloutSimulation::Shape& shape, const RolloutPlan& plan) {
  RolloutSimulation model(shape);
  const RolloutSimulation::Result result = model.play(plan);
  const auto bad = result.unknown_states + result.fence_breaks + result.below_floor + result.early_give_ups;
  if (bad > 0) {
    std::fprintf(stderr, "seed %llu, killed at %s, %s:\n", static_cast<unsigned long long>(shape.seed),
                 shape.kill_at.c_str(), shape.kill_whom.c_str());
    for (const std::string& fault : result.faults) std::fprintf(stderr, "  %s\n", fault.c_str());
  }
  assert(bad == 0);
  return result;
}

void histories() {
  std::set<std::string> visited;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {  // calm: it goes through
    for (const StepKind kind : {StepKind::restart, StepKind::change}) {
      const auto result = play({.seed = seed}, plan_of(kind));
      assert(result.over && result.state == Rollout::State::done);
      visited.insert(result.points.begin(), result.points.end());
    }
  }
  // Killed at each point: the agent that passes it, the coordinator meanwhile, or both; come back or not.
  std::map<std::string, std::set<std::string>> killed;
  const std::vector<std::string> kinds = {"passer", "coordinator", "both"};
  for (const std::string& point : RolloutSimulation::all_points()) {
    for (const std::string& whom : kinds) {
      for (std::uint64_t seed = 1; seed <= 60 && (seed <= 12 || !killed[point].contains(whom)); ++seed) {
        RolloutSimulation::Shape shape{.seed = seed, .kill_at = point, .kill_whom = whom};
        shape.kill_pass = seed <= 12 ? 1 + static_cast<int>(seed % 3) : 1;
        shape.comes_back = seed % 4 != 0;
        // Some points are passed only where an instance does not end when asked, or a lease ends amid a step.
        shape.hangs = seed % 2 ? 0.5 : 0;
        shape.cut_off = seed % 2;
        shape.loss = 0.05;
        RolloutPlan plan = plan_of(seed % 2 ? StepKind::restart : StepKind::change);
        if (seed % 3 == 0) plan.fallback = Fallback::finish;
        if (seed % 6 == 5) plan.kind = StepKind::drain, plan.min_serving.clear();
        if (seed > 12) plan.lease_duration = seconds(3);
        const auto result = play(shape, plan);
        visited.insert(result.points.begin(), result.points.end());
        if (result.killed) killed[point].insert(whom);
      }
    }
  }
  for (const std::string& point : RolloutSimulation::all_points()) {
    for (const std::string& whom : kinds) {
      if (!killed[point].contains(whom))
        std::fprintf(stderr, "nobody (%s) was killed at: %s\n", whom.c_str(), point.c_str());
      assert(killed[point].contains(whom));
    }
  }
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    RolloutSimulation::Shape shape{.seed = seed,
                                   .loss = 0.1,
                                   .doubled = 0.1,
                                   .kill_at = seed % 3 ? "random" : "",
                                   .kill_whom = "passer"};
    shape.cut_off = 0.4, shape.stopped = 0.3;
    shape.hangs = seed % 5 == 0 ? 0.3 : 0, shape.falls = seed % 7 == 0 ? 0.3 : 0;
    shape.rival = seed % 4 == 0;
    RolloutPlan plan = plan_of(seed % 2 ? StepKind::restart : StepKind::change);
    if (seed % 2) plan.fallback = Fallback::finish;
    const auto result = play(shape, plan);
    visited.insert(result.points.begin(), result.points.end());
  }
  for (const std::string& point : RolloutSimulation::all_points()) {
    if (!visited.contains(point)) std::fprintf(stderr, "never passed: %s\n", point.c_str());
    assert(visited.contains(point));
  }
}

// A new command that falls at once: the change goes back by itself, and all serve as before.
void reverts() {
  int went_back = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RolloutSimulation::Shape shape{.seed = seed, .kill_at = seed % 3 ? "" : "random"};
    shape.falls = 1;
    shape.loss = 0.05;
    RolloutPlan plan = plan_of(StepKind::change);
    plan.reverts = true, plan.failures = 0;
    RolloutSimulation model(shape);
    const auto result = model.play(plan);
    if (result.state != Rollout::State::done || !result.going_back) continue;
    ++went_back;
    for (const auto& [instance, version] : result.versions) {
      if (version != 1) std::fprintf(stderr, "seed %d: %s\n", static_cast<int>(seed), instance.c_str());
      assert(version == 1);
    }
    assert(result.unknown_states + result.fence_breaks + result.below_floor == 0);
  }
  assert(went_back > 20);
}

int main() {
  leases();
  lives();
  histories();
  reverts();
}

// Tests of leases, instance lifecycles and rollouts: tables of cases, and random histories of a simulated
// fleet in which agents are killed at each named point, partitioned and paused, messages are lost, duplicated
// and delayed, and two operators compete.
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

// Records the ends of leases.
struct RecordingLeaseHost final : LeaseTable::Host {
  bool can_persist = true;
  std::vector<std::string> ended;
  bool persist(const std::map<std::string, Lease>&) override { return can_persist; }
  void lease_ended(const std::string& instance, const Lease& lease, LeaseTable::EndReason reason) override {
    const char* names[] = {"run out", "released", "taken over"};
    ended.push_back(instance + " " + lease.operation + " " + names[static_cast<int>(reason)]);
  }
  void wake_at(Duration) override {}
};

void leases() {
  RecordingLeaseHost host;
  LeaseTable leases(host);
  for (const char* name : {"a", "b", "c"})
    leases.add_instance(Duration(0), name, 4, std::nullopt, Duration(0));
  const auto request = [](const char* operation, std::vector<std::string> instances, bool take_over = false) {
    return LeaseRequest{operation, std::string(operation) + "'s", std::move(instances), seconds(10),
                        take_over};
  };
  auto first = leases.acquire(seconds(1), request("one", {"a", "b"}));
  assert(first.granted && first.fences["a"] == 5 && leases.live(seconds(10), "a", 5));
  // A repeated request gets the same fences. An overlapping request of another operation is refused in full,
  // and its answer lists the leases in its way.
  assert(leases.acquire(seconds(2), request("one", {"a", "b"})).fences["b"] == 5);
  const auto second = leases.acquire(seconds(3), request("two", {"b", "c"}));
  assert(!second.granted && second.conflicts.size() == 1 && second.conflicts[0].lease.who == "one's" &&
         second.conflicts[0].lease.since == seconds(1) && second.conflicts[0].lease.until == seconds(12));
  assert(!leases.lease_on(seconds(3), "c"));
  // A take-over raises the fence and ends the older lease at once; the older operation keeps its other lease.
  const auto takeover = leases.acquire(seconds(4), request("two", {"b", "c"}, true));
  assert(takeover.granted && takeover.fences.at("b") == 6 && !leases.live(seconds(4), "b", 5) &&
         leases.live(seconds(4), "a", 5));
  assert(host.ended == std::vector<std::string>{"b one taken over"});
  // The older operation can renew the lease that it has left, and a renewal shows that it has lost the other.
  assert(!leases.renew(seconds(5), "one", {"a", "b"}, seconds(10)) && leases.live(seconds(14), "a", 5));
  assert(leases.renew(seconds(5), "one", {"a"}, seconds(10)) &&
         leases.renew(seconds(5), "two", {"b", "c"}, seconds(10)));
  // A lease ends by the clock alone, without on_timer(); the instance is then free under a greater fence.
  assert(!leases.live(seconds(15), "a", 5) && !leases.lease_on(seconds(15), "a"));
  assert(leases.acquire(seconds(15), request("three", {"a"})).fences["a"] == 6 &&
         !leases.renew(seconds(16), "one", {"a"}, seconds(9)));
  leases.release(seconds(16), "three");
  leases.release(seconds(16), "three");
  assert(!leases.live(seconds(16), "a", 6) && leases.last_fence("a") == 6);
  // Requests are refused if the lease can't be persisted, the instance is unknown, or the duration is out of
  // bounds.
  host.can_persist = false;
  assert(!leases.acquire(seconds(17), request("four", {"a"})).granted && leases.last_fence("a") == 6);
  host.can_persist = true;
  assert(!leases.acquire(seconds(17), request("four", {"x"})).fault.empty());
  assert(!leases.acquire(seconds(17), {"four", "x", {"a"}, milliseconds(1), false}).granted);
  // After the owner's restart a lease gets its whole duration again, under the same fence.
  LeaseTable restarted(host);
  restarted.add_instance(Duration(0), "a", 9, Lease{"five", "x", 9, seconds(50), seconds(60)}, seconds(10));
  assert(restarted.live(seconds(9), "a", 9) && !restarted.live(seconds(10), "a", 9));
  assert(restarted.acquire(seconds(10), request("six", {"a"})).fences["a"] == 10);
}

// Records the calls of InstanceLifecycle.
struct RecordingLifecycleHost final : InstanceLifecycle::Host {
  std::string calls;
  bool can_persist = true;
  bool record_intent(const std::string&, const std::optional<Step>&) override { return can_persist; }
  void start(int version) override { calls += "start" + std::to_string(version) + " "; }
  void request_shutdown(Duration) override { calls += "shutdown "; }
  void cancel_shutdown() override { calls += "cancel "; }
  void set_drain(bool drains, const Step&) override { calls += drains ? "drain " : "restore "; }
  void terminate() override { calls += "term "; }
  void kill() override { calls += "kill "; }
  void step_ended(const Step&, StepEnd end, const std::string&) override {
    const char* names[] = {"done", "time-up", "fell-back"};
    calls += std::string("(") + names[static_cast<int>(end)] + ") ";
  }
};

void lifecycles() {
  const InstanceLifecycle::Observation none, up{true, true, true, true, false, false, 1},
      changed{true, true, true, true, false, false, 2}, starting{true, false, false, false, false, false, 1},
      draining{true, true, true, true, true, false, 1}, drained{true, true, true, true, false, true, 1},
      foreign{false, true, false, true, false, false, 1};
  const Step restart{"op", 1, StepKind::restart, Fallback::serve_again, 0, seconds(5), seconds(20)},
      finish{"op", 1, StepKind::restart, Fallback::finish, 0, seconds(5), seconds(20)},
      change{"op", 1, StepKind::change, Fallback::serve_again, 2, seconds(5), seconds(20)},
      drain{"op", 1, StepKind::drain, Fallback::serve_again, 0, seconds(5), seconds(20)};
  struct Case {
    const char* name;
    std::function<void(InstanceLifecycle&)> events;
    const char* calls;
    InstanceState state;
  };
  const Case cases[] = {
      {"the instance is kept running, with a backoff for a process that exits right after its start",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), none), l.observe(milliseconds(100), starting),
             l.observe(milliseconds(200), none);
         l.observe(milliseconds(300), none);  // the backoff delays the start
         l.observe(milliseconds(800), none), l.observe(milliseconds(900), starting),
             l.observe(milliseconds(1000), none);
         l.observe(milliseconds(1600), none), l.observe(milliseconds(2100), none);
       },
       "start1 start1 start1 ", InstanceState::down},
      {"a running process is adopted",
       [&](InstanceLifecycle& l) { l.observe(Duration(0), up), l.observe(seconds(1), up); }, "",
       InstanceState::serving},
      {"another process has the address: nothing is started",
       [&](InstanceLifecycle& l) { l.observe(Duration(0), foreign), l.observe(seconds(5), foreign); }, "",
       InstanceState::foreign},
      {"a restart, with the request repeated during the step and after its end",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up);
         assert(l.step(Duration(1), restart) && l.step(Duration(2), restart) && !l.step(Duration(2), drain));
         l.observe(seconds(1), up), l.observe(seconds(2), none), l.observe(seconds(3), starting),
             l.observe(seconds(4), up);
         assert(l.step(seconds(5), restart) && !l.current_step());
       },
       "shutdown start1 (done) (done) ", InstanceState::serving},
      {"the process does not exit: shutdown request, SIGTERM and SIGKILL, each after its time",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), restart);
         for (int s = 1; s < 40; ++s) l.observe(seconds(s), up);
         l.observe(seconds(41), none), l.observe(seconds(42), up);
       },
       "shutdown term kill (time-up) start1 ", InstanceState::serving},
      {"the process exits right after each start of its new command",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), change);
         for (const int s : {1, 4, 7, 11, 17}) {  // each attempt waits twice as long as the one before
           l.observe(seconds(s) - milliseconds(700), s == 1 ? up : none);
           l.observe(seconds(s), none), l.observe(seconds(s + 1), starting), l.observe(seconds(s + 2), none);
         }
         l.observe(seconds(22), none), l.observe(seconds(28), none);
       },
       "shutdown start2 start2 start2 start2 start2 (time-up) start2 ", InstanceState::down},
      {"the lease ends after the shutdown request: the instance serves again",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), change), l.lease_ended(seconds(1)),
             l.observe(seconds(2), up);
         assert(l.version() == 1);
       },
       "shutdown cancel (fell-back) ", InstanceState::serving},
      {"the same, but the process exits all the same: it is started again with its old command",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), change), l.lease_ended(seconds(1));
         l.observe(seconds(2), none), l.observe(seconds(3), up);
       },
       "shutdown cancel start1 (fell-back) ", InstanceState::serving},
      {"the lease ends, and the fallback finishes the restart",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), finish), l.lease_ended(seconds(1)),
             l.observe(seconds(2), up);
         l.observe(seconds(3), none), l.observe(seconds(4), up);
       },
       "shutdown start1 (fell-back) ", InstanceState::serving},
      {"the lease ends during a drain",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), drain), l.observe(seconds(1), draining),
             l.lease_ended(seconds(1));
         l.observe(seconds(2), up);
       },
       "drain restore (fell-back) ", InstanceState::serving},
      {"a drain in time, and another one that is not",
       [&](InstanceLifecycle& l) {
         l.observe(Duration(0), up), l.step(Duration(0), drain), l.observe(seconds(1), drained);
         Step later = drain;
         later.fence = 2;
         l.step(seconds(2), later), l.observe(seconds(3), draining), l.observe(seconds(9), draining);
       },
       "drain (done) drain (time-up) ", InstanceState::draining},
      {"a step before the first observation, or while another process has the address, is refused",
       [&](InstanceLifecycle& l) {
         assert(!l.step(Duration(0), restart));
         l.observe(Duration(0), foreign);
         assert(!l.step(Duration(0), restart));
       },
       "", InstanceState::foreign},
      {"the agent is restarted during a change after the process has exited: the new command is started",
       [&](InstanceLifecycle& l) {
         l.restore(change, std::nullopt);
         l.observe(Duration(0), none), l.observe(seconds(1), changed);
         assert(l.version() == 2);
       },
       "start2 (fell-back) ", InstanceState::serving},
      {"the same before the process has exited: the old command serves again",
       [&](InstanceLifecycle& l) {
         l.restore(change, std::nullopt);
         l.observe(Duration(0), up), l.observe(seconds(1), up);
         assert(l.version() == 1);
       },
       "cancel (fell-back) ", InstanceState::serving},
  };
  for (const Case& c : cases) {
    RecordingLifecycleHost host;
    InstanceLifecycle lifecycle(host, true, 1);
    c.events(lifecycle);
    if (host.calls != c.calls || lifecycle.state() != c.state)
      std::fprintf(stderr, "%s: calls %s, %s\n", c.name, host.calls.c_str(),
                   std::string(name_of(lifecycle.state())).c_str());
    assert(host.calls == c.calls && lifecycle.state() == c.state);
  }
  RecordingLifecycleHost host;
  host.can_persist = false;  // an action whose intent can't be persisted is not taken
  InstanceLifecycle lifecycle(host, true, 1);
  lifecycle.observe(Duration(0), none), lifecycle.observe(seconds(9), up);
  assert(!lifecycle.step(seconds(9), restart) && host.calls.empty());
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

// Runs one history and checks that no invariant was violated.
RolloutSimulation::Result play(const RolloutSimulation::Shape& shape, const RolloutPlan& plan) {
  RolloutSimulation simulation(shape);
  const RolloutSimulation::Result result = simulation.play(plan);
  const auto violations =
      result.unknown_states + result.fence_breaks + result.below_floor + result.early_give_ups;
  if (violations > 0) {
    std::fprintf(stderr, "seed %llu, killed at %s, %s:\n", static_cast<unsigned long long>(shape.seed),
                 shape.kill_at.c_str(), shape.kill_whom.c_str());
    for (const std::string& fault : result.faults) std::fprintf(stderr, "  %s\n", fault.c_str());
  }
  assert(violations == 0);
  return result;
}

void random_histories() {
  std::set<std::string> visited;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {  // without faults the rollout succeeds
    for (const StepKind kind : {StepKind::restart, StepKind::change}) {
      const auto result = play({.seed = seed}, plan_of(kind));
      assert(result.over && result.state == Rollout::State::done);
      visited.insert(result.points.begin(), result.points.end());
    }
  }
  // At each point the agent that passes it, the coordinator, or both are killed, and are restarted or not.
  std::map<std::string, std::set<std::string>> killed;
  const std::vector<std::string> kinds = {"passer", "coordinator", "both"};
  for (const std::string& point : RolloutSimulation::all_points()) {
    for (const std::string& whom : kinds) {
      for (std::uint64_t seed = 1; seed <= 60 && (seed <= 12 || !killed[point].contains(whom)); ++seed) {
        RolloutSimulation::Shape shape{.seed = seed, .kill_at = point, .kill_whom = whom};
        shape.kill_pass = seed <= 12 ? 1 + static_cast<int>(seed % 3) : 1;
        shape.comes_back = seed % 4 != 0;
        // Some points are passed only if an instance does not shut down on request, or if a lease ends during
        // a step.
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
        std::fprintf(stderr, "no process (%s) was killed at: %s\n", whom.c_str(), point.c_str());
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

// If the processes of a new command exit right after their start, the rollout rolls the change back by
// itself, and all instances run the command version from before.
void automatic_rollbacks() {
  int rolled_back = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RolloutSimulation::Shape shape{.seed = seed, .kill_at = seed % 3 ? "" : "random"};
    shape.falls = 1;
    shape.loss = 0.05;
    RolloutPlan plan = plan_of(StepKind::change);
    plan.reverts = true, plan.failures = 0;
    RolloutSimulation simulation(shape);
    const auto result = simulation.play(plan);
    if (result.state != Rollout::State::done || !result.going_back) continue;
    ++rolled_back;
    for (const auto& [instance, version] : result.versions) {
      if (version != 1) std::fprintf(stderr, "seed %d: %s\n", static_cast<int>(seed), instance.c_str());
      assert(version == 1);
    }
    assert(result.unknown_states + result.fence_breaks + result.below_floor == 0);
  }
  assert(rolled_back > 20);
}

int main() {
  leases();
  lifecycles();
  random_histories();
  automatic_rollbacks();
}

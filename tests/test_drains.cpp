// Tests of the decisions on drains: directives on engines and on the manager itself, by tables of cases and
// by random histories against a model that knows only the directives sent; the drain and shutdown of a
// manager; the steps of a restart; the zones that a command disrupts; and exit statuses.
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <functional>
#include <random>

#include "fleet/command_outcome.h"
#include "fleet/drains.h"
#include "fleet/quiescence.h"
#include "fleet/restart.h"
#include "fleet/zone_disruption.h"

using namespace pearchute::fleet;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Records the calls of Drains.
struct RecordingDrainHost final : Drains::Host {
  std::map<std::string, AdminState> states;  // by engine
  bool manager_draining = false;
  int changes = 0;
  TimePoint timer_at{};
  void engine_state_changed(const std::string& engine, AdminState state) override { states[engine] = state; }
  void manager_drains(bool drains) override { manager_draining = drains; }
  void wake_at(TimePoint when) override { timer_at = when; }
  void directives_changed() override { ++changes; }
  void log(std::string_view) override {}
};

DrainDirective drain(std::string id, std::string subject, std::string holder, std::uint64_t generation,
                     Duration lease = seconds(100)) {
  return {std::move(id), std::move(subject), std::move(holder), generation, true, false, lease, ""};
}
DrainDirective restore(std::string id, std::string subject, std::string holder, std::uint64_t generation,
                       bool all_holders = false) {
  return {std::move(id), std::move(subject), std::move(holder), generation,
          false,         all_holders,        Duration(0),       ""};
}

void directive_results() {
  struct Step {
    DrainDirective directive;
    DirectiveResult result;
    AdminState state_after;  // of engine a
  };
  const AdminState up = AdminState::up, draining = AdminState::draining;
  const std::vector<std::vector<Step>> cases = {
      // A repeated, an older and a newer directive.
      {{drain("1", "a", "ann", 5), DirectiveResult::done, draining},
       {drain("1", "a", "ann", 5), DirectiveResult::repeated, draining},
       {restore("0", "a", "ann", 4), DirectiveResult::stale, draining},
       {restore("2", "a", "ann", 6), DirectiveResult::done, up},
       {drain("1", "a", "ann", 5), DirectiveResult::stale, up}},
      // Two holders: the engine is up only after both have restored it.
      {{drain("1", "a", "ann", 1), DirectiveResult::done, draining},
       {drain("2", "a", "bob", 2), DirectiveResult::done, draining},
       {restore("3", "a", "ann", 3), DirectiveResult::done, draining},
       {restore("4", "a", "bob", 4), DirectiveResult::done, up}},
      // A restore for all holders; an older drain of another holder arrives after it.
      {{drain("1", "a", "ann", 1), DirectiveResult::done, draining},
       {restore("3", "a", "bob", 3, true), DirectiveResult::done, up},
       {drain("2", "a", "cat", 2), DirectiveResult::stale, up},
       {drain("4", "a", "cat", 4), DirectiveResult::done, draining}},
      // A drain and a restore of one holder with the same generation: the drain wins, whichever arrives
      // first.
      {{drain("1", "a", "ann", 7), DirectiveResult::done, draining},
       {restore("2", "a", "ann", 7), DirectiveResult::conflict, draining}},
      {{restore("2", "a", "ann", 7), DirectiveResult::done, up},
       {drain("1", "a", "ann", 7), DirectiveResult::done, draining}},
      // A drain by address applies to the engine at that address only.
      {{drain("1", "@h:1", "ann", 1), DirectiveResult::done, draining},
       {drain("2", "@h:2", "ann", 2), DirectiveResult::done, draining}},
      // Invalid directives.
      {{drain("", "a", "ann", 1), DirectiveResult::unusable, up},
       {drain("1", "a", "", 1), DirectiveResult::unusable, up},
       {drain("1", "a", "ann", 0), DirectiveResult::unusable, up},
       {drain("1", "a", "ann", 1, Duration(0)), DirectiveResult::unusable, up},
       {drain("1", "a", "ann", 1, hours(24 * 8)), DirectiveResult::unusable, up},
       {drain("1", "a b", "ann", 1), DirectiveResult::unusable, up},
       {drain("1", std::string(129, 'a'), "ann", 1), DirectiveResult::unusable, up},
       {drain("1", "@", "ann", 1), DirectiveResult::unusable, up}},
  };
  for (const auto& steps : cases) {
    RecordingDrainHost host;
    Drains drains(host);
    assert(drains.on_discovery_update(Duration(0), "a", "h:1", AdminState::up) == up);
    for (const Step& step : steps) {
      const DirectiveResult result = drains.apply(Duration(1), step.directive);
      if (result != step.result || drains.state_of("a") != step.state_after)
        std::fprintf(stderr, "%s of %s: %s\n", step.directive.id.c_str(), step.directive.holder.c_str(),
                     std::string(name_of(result)).c_str());
      assert(result == step.result && drains.state_of("a") == step.state_after);
    }
  }
}

// Discovery reports any state while a drain is in force, and the drain's lease expires.
void discovery_and_leases() {
  RecordingDrainHost host;
  Drains drains(host);
  drains.on_discovery_update(Duration(0), "a", "h:1", AdminState::up);
  assert(drains.apply(Duration(0), drain("1", "a", "ann", 1, seconds(10))) == DirectiveResult::done);
  assert(host.states["a"] == AdminState::draining && host.timer_at == seconds(10) && host.changes == 1);
  // The engine is gone and up again: the drain is still in force. An engine with another name at the same
  // address is not drained, since the directive names the engine and not its address.
  assert(drains.on_discovery_update(Duration(1), "a", "", AdminState::gone) == AdminState::gone);
  assert(drains.state_of("a") == AdminState::gone);
  assert(drains.on_discovery_update(Duration(1), "b", "h:1", AdminState::up) == AdminState::up);
  assert(drains.on_discovery_update(Duration(2), "a", "h:9", AdminState::up) == AdminState::draining);
  // A new snapshot does not have the engine; a later update lists it again.
  drains.on_discovery_snapshot(Duration(3), {"b"});
  assert(drains.state_of("a") == AdminState::gone);
  assert(drains.on_discovery_update(Duration(4), "a", "h:9", AdminState::up) == AdminState::draining);
  // Discovery drains the engine, too: the end of the lease does not undo that.
  assert(drains.on_discovery_update(Duration(5), "a", "", AdminState::draining) == AdminState::draining);
  drains.on_timer(seconds(10));
  assert(drains.in_force().empty() && drains.state_of("a") == AdminState::draining);
  assert(drains.on_discovery_update(seconds(11), "a", "", AdminState::up) == AdminState::up);
  // If discovery reports the engine as up, it is up again when the lease ends.
  assert(drains.apply(seconds(12), drain("2", "a", "ann", 2, seconds(5))) == DirectiveResult::done);
  drains.on_timer(seconds(16));
  assert(drains.state_of("a") == AdminState::draining);
  drains.on_timer(seconds(17));
  assert(drains.state_of("a") == AdminState::up && host.states["a"] == AdminState::up);
  // After a restart of the manager a drain keeps the rest of its lease, and older directives are stale.
  RecordingDrainHost second;
  Drains after(second);
  after.restore(Duration(0), drain("3", "a", "ann", 9, seconds(60)), seconds(2));
  after.restore(Duration(0), drain("4", "b", "ann", 8, seconds(60)), Duration(-1));
  assert(after.on_discovery_update(Duration(0), "a", "h:1", AdminState::up) == AdminState::draining);
  assert(after.on_discovery_update(Duration(0), "b", "h:2", AdminState::up) == AdminState::up);
  assert(after.newest_generation() == 9 &&
         after.apply(Duration(0), restore("5", "a", "ann", 8)) == DirectiveResult::stale);
  after.on_timer(seconds(2));
  assert(after.state_of("a") == AdminState::up);
  // A drain of the manager itself; the limit of the table; after all leases have expired, nothing is left,
  // not even of directives on engines that discovery never listed.
  assert(after.apply(seconds(3), drain("6", "", "ann", 10)) == DirectiveResult::done &&
         second.manager_draining);
  std::size_t accepted = 0;
  for (int i = 0; i < 3000; ++i)
    accepted += after.apply(seconds(3), drain("x" + std::to_string(i), "e" + std::to_string(i), "ann", 11)) ==
                DirectiveResult::done;
  assert(accepted == Drains::max_directives - 1 && accepted >= 2 * 1023 && after.in_force("e7").size() == 1);
  after.on_timer(seconds(200));
  assert(after.all().empty() && !second.manager_draining);
}

// Directives in any order, some of them twice: the directives in force at the end depend only on the set. At
// each step an engine is never more available than discovery reports, and never up while a drain is in force
// that no newer directive has ended.
void random_histories() {
  const char* names[] = {"a", "b", "@h:a", ""};
  const char* holders[] = {"ann", "bob", "cat"};
  for (unsigned seed = 1; seed <= 4000; ++seed) {
    std::knuth_b random(seed);
    std::vector<DrainDirective> directives;
    const int count = 1 + static_cast<int>(random() % 9);
    for (int i = 0; i < count; ++i) {
      const std::string id = std::to_string(i), subject = names[random() % 4], holder = holders[random() % 3];
      // There are few generations, so that directives conflict. On one subject, a holder uses a generation
      // for one drain at most, and a generation is used for one restore at most, whoever its holder is.
      const std::uint64_t generation = 1 + random() % 6;
      const bool drains = random() % 2;
      const bool is_used = std::ranges::any_of(directives, [&](const DrainDirective& other) {
        return other.subject == subject && other.generation == generation && other.drains == drains &&
               (other.holder == holder || !drains);
      });
      if (is_used) continue;
      directives.push_back(drains ? drain(id, subject, holder, generation)
                                  : restore(id, subject, holder, generation, random() % 3 == 0));
    }
    std::optional<std::vector<std::string>> expected;
    for (int round = 0; round < 4; ++round) {
      RecordingDrainHost host;
      Drains drains(host);
      std::vector<DrainDirective> sent = directives;
      std::shuffle(sent.begin(), sent.end(), random);
      for (int repeat = 0; repeat < 3 && !directives.empty(); ++repeat)
        sent.insert(sent.begin() + static_cast<std::ptrdiff_t>(random() % (sent.size() + 1)),
                    directives[random() % directives.size()]);
      std::map<std::string, AdminState> discovered;
      std::vector<DrainDirective> received;
      for (const DrainDirective& directive : sent) {
        const std::string engine = random() % 2 ? "a" : "b";
        const AdminState update = static_cast<AdminState>(random() % 3);
        if (drains.on_discovery_update(Duration(1), engine, "h:" + engine, update) != drains.state_of(engine))
          assert(false);
        discovered[engine] = update;
        if (update == AdminState::gone) discovered.erase(engine);
        drains.apply(Duration(1), directive);
        received.push_back(directive);
        for (const char* name : {"a", "b"}) {
          const AdminState state = drains.state_of(name);
          if (!discovered.contains(name)) {
            assert(state == AdminState::gone);
            continue;
          }
          assert(static_cast<int>(state) >= static_cast<int>(discovered[name]));
          const bool is_drained = std::ranges::any_of(received, [&](const DrainDirective& one) {
            if (!one.drains || (one.subject != name && one.subject != std::string("@h:") + name))
              return false;
            return std::ranges::none_of(received, [&](const DrainDirective& other) {
              return other.subject == one.subject && !other.drains && other.generation > one.generation &&
                     (other.all_holders || other.holder == one.holder);
            });
          });
          // The model ignores that a holder's newer drain replaces its older one: the outcome is the same.
          if ((state == AdminState::up) == is_drained && discovered[name] == AdminState::up) {
            std::fprintf(stderr, "seed %u, round %d\n", seed, round);
            assert(false);
          }
        }
      }
      std::vector<std::string> in_force;
      for (const ActiveDirective& active : drains.in_force())
        in_force.push_back(active.order.subject + "/" + active.order.id);
      std::ranges::sort(in_force);
      if (expected && *expected != in_force) std::fprintf(stderr, "seed %u, round %d\n", seed, round);
      assert(!expected || *expected == in_force);
      expected = in_force;
    }
  }
}

// Records the calls of Quiescence.
struct RecordingQuiescenceHost final : Quiescence::Host {
  bool rejecting = false;
  int ends = 0;
  std::vector<Quiescence::State> states;
  void reject_requests(bool now_rejecting) override { rejecting = now_rejecting; }
  void end() override { ++ends; }
  void state_changed(Quiescence::State state) override { states.push_back(state); }
};

void manager_drain_and_shutdown() {
  using State = Quiescence::State;
  {  // The manager is drained once idle, stays drained, and can be resumed at any point.
    RecordingQuiescenceHost host;
    Quiescence quiescence(host, seconds(1));
    quiescence.set_drain_ordered(Duration(0), true, false);
    assert(host.rejecting && quiescence.state() == State::draining);
    quiescence.set_drain_ordered(Duration(1), false, false);
    assert(!host.rejecting && quiescence.state() == State::serving);
    quiescence.set_drain_ordered(Duration(2), true, true);
    quiescence.update(Duration(3), false);
    assert(quiescence.state() == State::drained && host.ends == 0);
    quiescence.set_drain_ordered(Duration(4), false, true);
    assert(!host.rejecting &&
           (host.states == std::vector{State::draining, State::serving, State::drained, State::serving}));
  }
  {  // A shutdown of an idle manager ends it once, and not before the notice period is over.
    RecordingQuiescenceHost host;
    Quiescence quiescence(host, seconds(1));
    quiescence.request_shutdown(Duration(0), seconds(10), true);
    quiescence.update(milliseconds(900), true);
    assert(host.rejecting && host.ends == 0);
    quiescence.update(seconds(1), true);
    quiescence.update(seconds(2), true);
    quiescence.set_drain_ordered(seconds(2), false, true);
    assert(host.ends == 1 && host.rejecting);
  }
  {  // A shutdown ends the manager at its time limit even with requests in flight.
    RecordingQuiescenceHost host;
    Quiescence quiescence(host, seconds(1));
    quiescence.request_shutdown(Duration(0), seconds(3), false);
    quiescence.update(seconds(2), false);
    assert(host.ends == 0);
    quiescence.update(seconds(3), false);
    assert(host.ends == 1);
  }
  {  // A cancelled shutdown does not end the manager.
    RecordingQuiescenceHost host;
    Quiescence quiescence(host, seconds(1));
    quiescence.request_shutdown(Duration(0), seconds(3), false);
    quiescence.cancel_shutdown(seconds(1), false);
    quiescence.update(seconds(9), true);
    assert(host.ends == 0 && !host.rejecting && quiescence.state() == State::serving);
  }
}

// Records the calls of Restart.
struct RecordingRestartHost final : Restart::Host {
  std::string calls;
  void request_shutdown(Duration) override { calls += "shutdown "; }
  void start_program() override { calls += "start "; }
  void request_directives() override { calls += "directives "; }
  void reissue_directives(const std::set<std::string>& ids) override {
    calls += "reissue";
    for (const std::string& id : ids) calls += ":" + id;
    calls += " ";
  }
};

void restarts() {
  using ProbeResult = Restart::ProbeResult;
  const Restart::Limits limits{seconds(10), seconds(20), true};
  const Restart::Identity before{100, 7, true, "1", "d"}, after{200, 8, true, "2", "d"},
      starting{200, 8, false, "2", "d"};
  struct Case {
    std::function<void(Restart&)> events;
    CommandOutcome outcome;
    const char* calls;
  };
  const Case cases[] = {
      {[&](Restart& r) {
         r.on_shutdown_response(Duration(0), ProbeResult::answered, true);
         r.on_probe(seconds(1), ProbeResult::answered, before);
         r.on_probe(seconds(2), ProbeResult::gone, {});
         r.on_probe(seconds(3), ProbeResult::gone, {});
         r.on_probe(seconds(4), ProbeResult::answered, starting);
         r.on_probe(seconds(5), ProbeResult::answered, after);
         r.on_directives(seconds(5), std::set<std::string>{"o1", "o2"});
       },
       CommandOutcome::yes, "shutdown start directives "},
      // The answer to the shutdown request is lost, the process is replaced between two probes, and the new
      // process lacks a directive.
      {[&](Restart& r) {
         r.on_shutdown_response(Duration(0), ProbeResult::silent, false);
         r.on_probe(seconds(2), ProbeResult::answered, after);
         r.on_directives(seconds(2), std::nullopt);
         r.on_directives(seconds(2), std::set<std::string>{"o2"});
         r.on_directives(seconds(3), std::set<std::string>{"o1", "o2"});
       },
       CommandOutcome::yes, "shutdown directives directives reissue:o1 directives "},
      {[&](Restart& r) {  // a directive is missing even after it was sent again
         r.on_shutdown_response(Duration(0), ProbeResult::answered, true);
         r.on_probe(seconds(1), ProbeResult::answered, after);
         r.on_directives(seconds(2), std::set<std::string>{});
         r.on_directives(seconds(3), std::set<std::string>{"o1"});
       },
       CommandOutcome::refused, "shutdown directives reissue:o1:o2 directives "},
      {[&](Restart& r) { r.on_shutdown_response(Duration(0), ProbeResult::gone, false); },
       CommandOutcome::unreachable, "shutdown "},
      {[&](Restart& r) { r.on_shutdown_response(Duration(0), ProbeResult::answered, false); },
       CommandOutcome::refused, "shutdown "},
      {[&](Restart& r) {  // the old process hangs: it neither exits nor answers
         r.on_shutdown_response(Duration(0), ProbeResult::answered, true);
         for (int s = 1; s < 30; ++s) r.on_probe(seconds(s), ProbeResult::silent, {});
       },
       CommandOutcome::time_up, "shutdown "},
      {[&](Restart& r) {  // the new process never comes up
         r.on_shutdown_response(Duration(0), ProbeResult::answered, true);
         for (int s = 1; s < 40; ++s) r.on_probe(seconds(s), ProbeResult::gone, {});
       },
       CommandOutcome::time_up, "shutdown start "},
      {[&](Restart& r) {  // the new process comes up and never serves
         r.on_shutdown_response(Duration(0), ProbeResult::answered, true);
         r.on_probe(seconds(1), ProbeResult::gone, {});
         for (int s = 2; s < 40; ++s) r.on_probe(seconds(s), ProbeResult::answered, starting);
       },
       CommandOutcome::time_up, "shutdown start "},
  };
  for (const Case& c : cases) {
    RecordingRestartHost host;
    Restart restart(host, limits);
    restart.begin(Duration(0), before, {"o1", "o2"});
    c.events(restart);
    if (!restart.over() || restart.outcome() != c.outcome || host.calls != c.calls)
      std::fprintf(stderr, "calls %s, %s\n", host.calls.c_str(), restart.detail().c_str());
    assert(restart.over() && restart.outcome() == c.outcome && host.calls == c.calls &&
           !restart.detail().empty());
  }
}

void disruptions_and_exit_statuses() {
  const std::vector<InstanceAvailability> fleet = {
      {"a", "x", true}, {"b", "x", true}, {"c", "x", false}, {"d", "y", true}};
  assert(zone_disruptions(fleet, {"a"}).empty());
  assert(zone_disruptions(fleet, {"c"}).empty());
  const auto both = zone_disruptions(fleet, {"a", "b", "d"});
  assert(both.size() == 2 && both[0].zone == "x" && both[0].stopping == 2 && both[1].serving == 1);
  using enum CommandOutcome;
  struct Case {
    std::vector<CommandOutcome> each;
    ExitStatus query, change;
  };
  const Case cases[] = {
      {{yes, yes}, all_done, all_done},
      {{yes, unreachable}, some_unreachable, partly_done},
      {{unreachable, unreachable}, some_unreachable, some_unreachable},
      {{refused, conflict}, in_conflict, in_conflict},
      {{refused, unreachable}, was_refused, was_refused},
      {{time_up, not_begun}, time_was_up, time_was_up},
      {{yes, time_up, not_begun}, time_was_up, partly_done},
  };
  for (const Case& c : cases)
    assert(exit_status_of_query(c.each) == c.query && exit_status_of_change(c.each) == c.change);
}

int main() {
  directive_results();
  discovery_and_leases();
  random_histories();
  manager_drain_and_shutdown();
  restarts();
  disruptions_and_exit_statuses();
}

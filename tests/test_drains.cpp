// Orders on engines and on the manager itself, by tables and by random histories against a model that keeps
// nothing but the orders that were sent; a manager at rest; a restart's steps; what a command takes away.
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <random>

#include "fleet/command_outcome.h"
#include "fleet/drains.h"
#include "fleet/quiescence.h"
#include "fleet/restart.h"

using namespace pearchute::fleet;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Noted final : Drains::Host {
  std::map<std::string, AdminState> stands;
  bool manager = false;
  int changes = 0;
  TimePoint wake{};
  void engine_state_changed(const std::string& engine, AdminState standing) override {
    stands[engine] = standing;
  }
  void manager_drains(bool drains) override { manager = drains; }
  void wake_at(TimePoint when) override { wake = when; }
  void directives_changed() override { ++changes; }
  void log(std::string_view) override {}
};

DrainDirective drain(std::string id, std::string subject, std::string holder, std::uint64_t generation,
                     Duration lease = seconds(100)) {
  return {std::move(id), std::move(subject), std::move(holder), generation, true, false, lease, ""};
}
DrainDirective restore(std::string id, std::string subject, std::string holder, std::uint64_t generation,
                       bool everyone = false) {
  return {std::move(id), std::move(subject), std::move(holder), generation, false, everyone, Duration(0), ""};
}

void verdicts() {
  struct Step {
    DrainDirective order;
    DirectiveResult verdict;
    AdminState after;  // of engine a
  };
  const AdminState up = AdminState::up, draining = AdminState::draining;
  const std::vector<std::vector<Step>> cases = {
      // The same again; an older one; a newer one.
      {{drain("1", "a", "ann", 5), DirectiveResult::done, draining},
       {drain("1", "a", "ann", 5), DirectiveResult::repeated, draining},
       {restore("0", "a", "ann", 4), DirectiveResult::stale, draining},
       {restore("2", "a", "ann", 6), DirectiveResult::done, up},
       {drain("1", "a", "ann", 5), DirectiveResult::stale, up}},
      // Two holders: both have to let go.
      {{drain("1", "a", "ann", 1), DirectiveResult::done, draining},
       {drain("2", "a", "bob", 2), DirectiveResult::done, draining},
       {restore("3", "a", "ann", 3), DirectiveResult::done, draining},
       {restore("4", "a", "bob", 4), DirectiveResult::done, up}},
      // One speaks for everyone; what it overtook comes late.
      {{drain("1", "a", "ann", 1), DirectiveResult::done, draining},
       {restore("3", "a", "bob", 3, true), DirectiveResult::done, up},
       {drain("2", "a", "cat", 2), DirectiveResult::stale, up},
       {drain("4", "a", "cat", 4), DirectiveResult::done, draining}},
      // Crossing generations of one holder: the drain stands of the same one, whichever comes first.
      {{drain("1", "a", "ann", 7), DirectiveResult::done, draining},
       {restore("2", "a", "ann", 7), DirectiveResult::conflict, draining}},
      {{restore("2", "a", "ann", 7), DirectiveResult::done, up},
       {drain("1", "a", "ann", 7), DirectiveResult::done, draining}},
      // By address, whatever is there.
      {{drain("1", "@h:1", "ann", 1), DirectiveResult::done, draining},
       {drain("2", "@h:2", "ann", 2), DirectiveResult::done, draining}},
      // What can't be meant.
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
    Noted host;
    Drains drains(host);
    assert(drains.on_discovery_update(Duration(0), "a", "h:1", AdminState::up) == up);
    for (const Step& step : steps) {
      const DirectiveResult verdict = drains.apply(Duration(1), step.order);
      if (verdict != step.verdict || drains.state_of("a") != step.after)
        std::fprintf(stderr, "%s of %s: %s\n", step.order.id.c_str(), step.order.holder.c_str(),
                     std::string(name_of(verdict)).c_str());
      assert(verdict == step.verdict && drains.state_of("a") == step.after);
    }
  }
}

// The channel says what it likes while an order holds, and a lease runs out.
void channel_and_leases() {
  Noted host;
  Drains drains(host);
  drains.on_discovery_update(Duration(0), "a", "h:1", AdminState::up);
  assert(drains.apply(Duration(0), drain("1", "a", "ann", 1, seconds(10))) == DirectiveResult::done);
  assert(host.stands["a"] == AdminState::draining && host.wake == seconds(10) && host.changes == 1);
  // Gone and up again: the order still holds. Under a new name it is another engine, unless it was by
  // address.
  assert(drains.on_discovery_update(Duration(1), "a", "", AdminState::gone) == AdminState::gone);
  assert(drains.state_of("a") == AdminState::gone);
  assert(drains.on_discovery_update(Duration(1), "b", "h:1", AdminState::up) == AdminState::up);
  assert(drains.on_discovery_update(Duration(2), "a", "h:9", AdminState::up) == AdminState::draining);
  // A whole list anew, with and without it.
  drains.on_discovery_snapshot(Duration(3), {"b"});
  assert(drains.state_of("a") == AdminState::gone);
  assert(drains.on_discovery_update(Duration(4), "a", "h:9", AdminState::up) == AdminState::draining);
  // The channel drains, too: the end of the lease does not undo that.
  assert(drains.on_discovery_update(Duration(5), "a", "", AdminState::draining) == AdminState::draining);
  drains.on_timer(seconds(10));
  assert(drains.in_force().empty() && drains.state_of("a") == AdminState::draining);
  assert(drains.on_discovery_update(seconds(11), "a", "", AdminState::up) == AdminState::up);
  // And where the channel says up, it returns to that.
  assert(drains.apply(seconds(12), drain("2", "a", "ann", 2, seconds(5))) == DirectiveResult::done);
  drains.on_timer(seconds(16));
  assert(drains.state_of("a") == AdminState::draining);
  drains.on_timer(seconds(17));
  assert(drains.state_of("a") == AdminState::up && host.stands["a"] == AdminState::up);
  // Over a restart: what was left of the lease, and what is known to be older.
  Noted second;
  Drains after(second);
  after.restore(Duration(0), drain("3", "a", "ann", 9, seconds(60)), seconds(2));
  after.restore(Duration(0), drain("4", "b", "ann", 8, seconds(60)), Duration(-1));
  assert(after.on_discovery_update(Duration(0), "a", "h:1", AdminState::up) == AdminState::draining);
  assert(after.on_discovery_update(Duration(0), "b", "h:2", AdminState::up) == AdminState::up);
  assert(after.newest_generation() == 9 &&
         after.apply(Duration(0), restore("5", "a", "ann", 8)) == DirectiveResult::stale);
  after.on_timer(seconds(2));
  assert(after.state_of("a") == AdminState::up);
  // An order on the manager itself; the table's bound; what was taken for nobody leaves nothing.
  assert(after.apply(seconds(3), drain("6", "", "ann", 10)) == DirectiveResult::done && second.manager);
  std::size_t taken = 0;
  for (int i = 0; i < 3000; ++i)
    taken += after.apply(seconds(3), drain("x" + std::to_string(i), "e" + std::to_string(i), "ann", 11)) ==
             DirectiveResult::done;
  assert(taken == Drains::max_directives - 1 && taken >= 2 * 1023 && after.in_force("e7").size() == 1);
  after.on_timer(seconds(200));
  assert(after.all().empty() && !second.manager);
}

// Orders in any sequence, some twice: what is in force depends on the set alone. And at each step an engine
// is never more available than the channel says, nor up while an order that nothing newer ended says drain.
void histories() {
  const char* names[] = {"a", "b", "@h:a", ""};
  const char* holders[] = {"ann", "bob", "cat"};
  for (unsigned seed = 1; seed <= 4000; ++seed) {
    std::knuth_b chance(seed);
    std::vector<DrainDirective> orders;
    const int count = 1 + static_cast<int>(chance() % 9);
    for (int i = 0; i < count; ++i) {
      const std::string id = std::to_string(i), subject = names[chance() % 4], holder = holders[chance() % 3];
      // Few generations, so that they cross; one holder never uses one twice on the same subject and way.
      const std::uint64_t generation = 1 + chance() % 6;
      const bool drains = chance() % 2;
      const bool taken = std::ranges::any_of(orders, [&](const DrainDirective& o) {
        return o.subject == subject && o.generation == generation && o.drains == drains &&
               (o.holder == holder || !drains);
      });
      if (taken) continue;
      orders.push_back(drains ? drain(id, subject, holder, generation)
                              : restore(id, subject, holder, generation, chance() % 3 == 0));
    }
    std::optional<std::vector<std::string>> expected;
    for (int play = 0; play < 4; ++play) {
      Noted host;
      Drains drains(host);
      std::vector<DrainDirective> sent = orders;
      std::shuffle(sent.begin(), sent.end(), chance);
      for (int again = 0; again < 3 && !orders.empty(); ++again)
        sent.insert(sent.begin() + static_cast<std::ptrdiff_t>(chance() % (sent.size() + 1)),
                    orders[chance() % orders.size()]);
      std::map<std::string, AdminState> said;
      std::vector<DrainDirective> seen;
      for (const DrainDirective& order : sent) {
        const std::string engine = chance() % 2 ? "a" : "b";
        const AdminState word = static_cast<AdminState>(chance() % 3);
        if (drains.on_discovery_update(Duration(1), engine, "h:" + engine, word) != drains.state_of(engine))
          assert(false);
        said[engine] = word;
        if (word == AdminState::gone) said.erase(engine);
        drains.apply(Duration(1), order);
        seen.push_back(order);
        for (const char* name : {"a", "b"}) {
          const AdminState is = drains.state_of(name);
          if (!said.contains(name)) {
            assert(is == AdminState::gone);
            continue;
          }
          assert(static_cast<int>(is) >= static_cast<int>(said[name]));
          const bool held = std::ranges::any_of(seen, [&](const DrainDirective& o) {
            if (!o.drains || (o.subject != name && o.subject != std::string("@h:") + name)) return false;
            return std::ranges::none_of(seen, [&](const DrainDirective& other) {
              return other.subject == o.subject && !other.drains && other.generation > o.generation &&
                     (other.all_holders || other.holder == o.holder);
            });
          });
          // A holder's older drain counts no more once that holder has a newer drain: the same outcome.
          if ((is == AdminState::up) == held && said[name] == AdminState::up) {
            std::fprintf(stderr, "seed %u, play %d\n", seed, play);
            assert(false);
          }
        }
      }
      std::vector<std::string> in_force;
      for (const ActiveDirective& held : drains.in_force())
        in_force.push_back(held.order.subject + "/" + held.order.id);
      std::ranges::sort(in_force);
      if (expected && *expected != in_force) std::fprintf(stderr, "seed %u, play %d\n", seed, play);
      assert(!expected || *expected == in_force);
      expected = in_force;
    }
  }
}

struct NotedRest final : Quiescence::Host {
  bool away = false;
  int ends = 0;
  std::vector<Quiescence::State> states;
  void reject_requests(bool now_away) override { away = now_away; }
  void end() override { ++ends; }
  void state_changed(Quiescence::State state) override { states.push_back(state); }
};

void at_rest() {
  using State = Quiescence::State;
  {  // Drained once idle, and it stays so; resumed at any point.
    NotedRest host;
    Quiescence rest(host, seconds(1));
    rest.set_drain_ordered(Duration(0), true, false);
    assert(host.away && rest.state() == State::draining);
    rest.set_drain_ordered(Duration(1), false, false);
    assert(!host.away && rest.state() == State::serving);
    rest.set_drain_ordered(Duration(2), true, true);
    rest.update(Duration(3), false);
    assert(rest.state() == State::drained && host.ends == 0);
    rest.set_drain_ordered(Duration(4), false, true);
    assert(!host.away &&
           (host.states == std::vector{State::draining, State::serving, State::drained, State::serving}));
  }
  {  // To end: not before the fronts have seen it, once, and at the limit whatever is open.
    NotedRest host;
    Quiescence rest(host, seconds(1));
    rest.request_shutdown(Duration(0), seconds(10), true);
    rest.update(milliseconds(900), true);
    assert(host.away && host.ends == 0);
    rest.update(seconds(1), true);
    rest.update(seconds(2), true);
    rest.set_drain_ordered(seconds(2), false, true);
    assert(host.ends == 1 && host.away);
  }
  {
    NotedRest host;
    Quiescence rest(host, seconds(1));
    rest.request_shutdown(Duration(0), seconds(3), false);
    rest.update(seconds(2), false);
    assert(host.ends == 0);
    rest.update(seconds(3), false);
    assert(host.ends == 1);
  }
  {  // Called off.
    NotedRest host;
    Quiescence rest(host, seconds(1));
    rest.request_shutdown(Duration(0), seconds(3), false);
    rest.cancel_shutdown(seconds(1), false);
    rest.update(seconds(9), true);
    assert(host.ends == 0 && !host.away && rest.state() == State::serving);
  }
}

struct NotedRestart final : Restart::Host {
  std::string did;
  void request_shutdown(Duration) override { did += "end "; }
  void start_program() override { did += "start "; }
  void request_directives() override { did += "orders "; }
  void reissue_directives(const std::set<std::string>& ids) override {
    did += "give";
    for (const std::string& id : ids) did += ":" + id;
    did += " ";
  }
};

void restarts() {
  using ProbeResult = Restart::ProbeResult;
  const Restart::Limits limits{seconds(10), seconds(20), true};
  const Restart::Identity before{100, 7, true, "1", "d"}, after{200, 8, true, "2", "d"},
      coming{200, 8, false, "2", "d"};
  struct Case {
    std::function<void(Restart&)> happens;
    CommandOutcome outcome;
    const char* did;
  };
  const Case cases[] = {
      {[&](Restart& r) {
         r.on_shutdown_response(Duration(0), ProbeResult::answered, true);
         r.on_probe(seconds(1), ProbeResult::answered, before);
         r.on_probe(seconds(2), ProbeResult::gone, {});
         r.on_probe(seconds(3), ProbeResult::gone, {});
         r.on_probe(seconds(4), ProbeResult::answered, coming);
         r.on_probe(seconds(5), ProbeResult::answered, after);
         r.on_directives(seconds(5), std::set<std::string>{"o1", "o2"});
       },
       CommandOutcome::yes, "end start orders "},
      // The end's answer was lost, it went and came between two looks, and it had forgotten an order.
      {[&](Restart& r) {
         r.on_shutdown_response(Duration(0), ProbeResult::silent, false);
         r.on_probe(seconds(2), ProbeResult::answered, after);
         r.on_directives(seconds(2), std::nullopt);
         r.on_directives(seconds(2), std::set<std::string>{"o2"});
         r.on_directives(seconds(3), std::set<std::string>{"o1", "o2"});
       },
       CommandOutcome::yes, "end orders orders give:o1 orders "},
      {[&](Restart& r) {  // the orders can't be given back
         r.on_shutdown_response(Duration(0), ProbeResult::answered, true);
         r.on_probe(seconds(1), ProbeResult::answered, after);
         r.on_directives(seconds(2), std::set<std::string>{});
         r.on_directives(seconds(3), std::set<std::string>{"o1"});
       },
       CommandOutcome::refused, "end orders give:o1:o2 orders "},
      {[&](Restart& r) { r.on_shutdown_response(Duration(0), ProbeResult::gone, false); },
       CommandOutcome::unreachable, "end "},
      {[&](Restart& r) { r.on_shutdown_response(Duration(0), ProbeResult::answered, false); },
       CommandOutcome::refused, "end "},
      {[&](Restart& r) {  // hangs: neither gone nor answering
         r.on_shutdown_response(Duration(0), ProbeResult::answered, true);
         for (int s = 1; s < 30; ++s) r.on_probe(seconds(s), ProbeResult::silent, {});
       },
       CommandOutcome::time_up, "end "},
      {[&](Restart& r) {  // falls at once, again and again
         r.on_shutdown_response(Duration(0), ProbeResult::answered, true);
         for (int s = 1; s < 40; ++s) r.on_probe(seconds(s), ProbeResult::gone, {});
       },
       CommandOutcome::time_up, "end start "},
      {[&](Restart& r) {  // comes up and never serves
         r.on_shutdown_response(Duration(0), ProbeResult::answered, true);
         r.on_probe(seconds(1), ProbeResult::gone, {});
         for (int s = 2; s < 40; ++s) r.on_probe(seconds(s), ProbeResult::answered, coming);
       },
       CommandOutcome::time_up, "end start "},
  };
  for (const Case& c : cases) {
    NotedRestart host;
    Restart restart(host, limits);
    restart.begin(Duration(0), before, {"o1", "o2"});
    c.happens(restart);
    if (!restart.over() || restart.outcome() != c.outcome || host.did != c.did)
      std::fprintf(stderr, "did %s, %s\n", host.did.c_str(), restart.detail().c_str());
    assert(restart.over() && restart.outcome() == c.outcome && host.did == c.did &&
           !restart.detail().empty());
  }
}

void cautions() {
  const std::vector<InstanceAvailability> fleet = {
      {"a", "x", true}, {"b", "x", true}, {"c", "x", false}, {"d", "y", true}};
  assert(zone_disruptions(fleet, {"a"}).empty());
  assert(zone_disruptions(fleet, {"c"}).empty());
  const auto both = zone_disruptions(fleet, {"a", "b", "d"});
  assert(both.size() == 2 && both[0].zone == "x" && both[0].stopping == 2 && both[1].serving == 1);
  using enum CommandOutcome;
  struct Case {
    std::vector<CommandOutcome> each;
    ExitStatus question, change;
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
    assert(exit_status_of_query(c.each) == c.question && exit_status_of_change(c.each) == c.change);
}

int main() {
  verdicts();
  channel_and_leases();
  histories();
  at_rest();
  restarts();
  cautions();
}

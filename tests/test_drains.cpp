// Orders on engines and on the manager itself, by tables and by random histories against a model that keeps
// nothing but the orders that were sent; a manager at rest; a restart's steps; what a command takes away.
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <random>

#include "fleet/caution.h"
#include "fleet/drains.h"
#include "fleet/quiescence.h"
#include "fleet/restart.h"

using namespace pearchute::fleet;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Noted final : Drains::Host {
  std::map<std::string, Standing> stands;
  bool manager = false;
  int changes = 0;
  Span wake{};
  void engine_stands(const std::string& engine, Standing standing) override { stands[engine] = standing; }
  void manager_drains(bool drains) override { manager = drains; }
  void wake_at(Span when) override { wake = when; }
  void orders_changed() override { ++changes; }
  void remark(std::string_view) override {}
};

Order drain(std::string id, std::string subject, std::string holder, std::uint64_t generation,
            Span lease = seconds(100)) {
  return {std::move(id), std::move(subject), std::move(holder), generation, true, false, lease, ""};
}
Order restore(std::string id, std::string subject, std::string holder, std::uint64_t generation,
              bool everyone = false) {
  return {std::move(id), std::move(subject), std::move(holder), generation, false, everyone, Span(0), ""};
}

void verdicts() {
  struct Step {
    Order order;
    Verdict verdict;
    Standing after;  // of engine a
  };
  const Standing up = Standing::up, draining = Standing::draining;
  const std::vector<std::vector<Step>> cases = {
      // The same again; an older one; a newer one.
      {{drain("1", "a", "ann", 5), Verdict::done, draining},
       {drain("1", "a", "ann", 5), Verdict::repeated, draining},
       {restore("0", "a", "ann", 4), Verdict::stale, draining},
       {restore("2", "a", "ann", 6), Verdict::done, up},
       {drain("1", "a", "ann", 5), Verdict::stale, up}},
      // Two holders: both have to let go.
      {{drain("1", "a", "ann", 1), Verdict::done, draining},
       {drain("2", "a", "bob", 2), Verdict::done, draining},
       {restore("3", "a", "ann", 3), Verdict::done, draining},
       {restore("4", "a", "bob", 4), Verdict::done, up}},
      // One speaks for everyone; what it overtook comes late.
      {{drain("1", "a", "ann", 1), Verdict::done, draining},
       {restore("3", "a", "bob", 3, true), Verdict::done, up},
       {drain("2", "a", "cat", 2), Verdict::stale, up},
       {drain("4", "a", "cat", 4), Verdict::done, draining}},
      // Crossing generations of one holder: the drain stands of the same one, whichever comes first.
      {{drain("1", "a", "ann", 7), Verdict::done, draining},
       {restore("2", "a", "ann", 7), Verdict::conflict, draining}},
      {{restore("2", "a", "ann", 7), Verdict::done, up},
       {drain("1", "a", "ann", 7), Verdict::done, draining}},
      // By address, whatever is there.
      {{drain("1", "@h:1", "ann", 1), Verdict::done, draining},
       {drain("2", "@h:2", "ann", 2), Verdict::done, draining}},
      // What can't be meant.
      {{drain("", "a", "ann", 1), Verdict::unusable, up},
       {drain("1", "a", "", 1), Verdict::unusable, up},
       {drain("1", "a", "ann", 0), Verdict::unusable, up},
       {drain("1", "a", "ann", 1, Span(0)), Verdict::unusable, up},
       {drain("1", "a", "ann", 1, hours(24 * 8)), Verdict::unusable, up},
       {drain("1", "a b", "ann", 1), Verdict::unusable, up},
       {drain("1", std::string(129, 'a'), "ann", 1), Verdict::unusable, up},
       {drain("1", "@", "ann", 1), Verdict::unusable, up}},
  };
  for (const auto& steps : cases) {
    Noted host;
    Drains drains(host);
    assert(drains.channel_said(Span(0), "a", "h:1", Standing::up) == up);
    for (const Step& step : steps) {
      const Verdict verdict = drains.ordered(Span(1), step.order);
      if (verdict != step.verdict || drains.standing("a") != step.after)
        std::fprintf(stderr, "%s of %s: %s\n", step.order.id.c_str(), step.order.holder.c_str(),
                     std::string(word_for(verdict)).c_str());
      assert(verdict == step.verdict && drains.standing("a") == step.after);
    }
  }
}

// The channel says what it likes while an order holds, and a lease runs out.
void channel_and_leases() {
  Noted host;
  Drains drains(host);
  drains.channel_said(Span(0), "a", "h:1", Standing::up);
  assert(drains.ordered(Span(0), drain("1", "a", "ann", 1, seconds(10))) == Verdict::done);
  assert(host.stands["a"] == Standing::draining && host.wake == seconds(10) && host.changes == 1);
  // Gone and up again: the order still holds. Under a new name it is another engine, unless it was by
  // address.
  assert(drains.channel_said(Span(1), "a", "", Standing::gone) == Standing::gone);
  assert(drains.standing("a") == Standing::gone);
  assert(drains.channel_said(Span(1), "b", "h:1", Standing::up) == Standing::up);
  assert(drains.channel_said(Span(2), "a", "h:9", Standing::up) == Standing::draining);
  // A whole list anew, with and without it.
  drains.channel_told_all(Span(3), {"b"});
  assert(drains.standing("a") == Standing::gone);
  assert(drains.channel_said(Span(4), "a", "h:9", Standing::up) == Standing::draining);
  // The channel drains, too: the end of the lease does not undo that.
  assert(drains.channel_said(Span(5), "a", "", Standing::draining) == Standing::draining);
  drains.woken(seconds(10));
  assert(drains.in_force().empty() && drains.standing("a") == Standing::draining);
  assert(drains.channel_said(seconds(11), "a", "", Standing::up) == Standing::up);
  // And where the channel says up, it returns to that.
  assert(drains.ordered(seconds(12), drain("2", "a", "ann", 2, seconds(5))) == Verdict::done);
  drains.woken(seconds(16));
  assert(drains.standing("a") == Standing::draining);
  drains.woken(seconds(17));
  assert(drains.standing("a") == Standing::up && host.stands["a"] == Standing::up);
  // Over a restart: what was left of the lease, and what is known to be older.
  Noted second;
  Drains after(second);
  after.remembered(Span(0), drain("3", "a", "ann", 9, seconds(60)), seconds(2));
  after.remembered(Span(0), drain("4", "b", "ann", 8, seconds(60)), Span(-1));
  assert(after.channel_said(Span(0), "a", "h:1", Standing::up) == Standing::draining);
  assert(after.channel_said(Span(0), "b", "h:2", Standing::up) == Standing::up);
  assert(after.newest_generation() == 9 &&
         after.ordered(Span(0), restore("5", "a", "ann", 8)) == Verdict::stale);
  after.woken(seconds(2));
  assert(after.standing("a") == Standing::up);
  // An order on the manager itself; the table's bound; what was taken for nobody leaves nothing.
  assert(after.ordered(seconds(3), drain("6", "", "ann", 10)) == Verdict::done && second.manager);
  std::size_t taken = 0;
  for (int i = 0; i < 3000; ++i)
    taken += after.ordered(seconds(3), drain("x" + std::to_string(i), "e" + std::to_string(i), "ann", 11)) ==
             Verdict::done;
  assert(taken == Drains::most_orders - 1 && taken >= 2 * 1023 && after.in_force("e7").size() == 1);
  after.woken(seconds(200));
  assert(after.all().empty() && !second.manager);
}

// Orders in any sequence, some twice: what is in force depends on the set alone. And at each step an engine
// is never more available than the channel says, nor up while an order that nothing newer ended says drain.
void histories() {
  const char* names[] = {"a", "b", "@h:a", ""};
  const char* holders[] = {"ann", "bob", "cat"};
  for (unsigned seed = 1; seed <= 4000; ++seed) {
    std::knuth_b chance(seed);
    std::vector<Order> orders;
    const int count = 1 + static_cast<int>(chance() % 9);
    for (int i = 0; i < count; ++i) {
      const std::string id = std::to_string(i), subject = names[chance() % 4], holder = holders[chance() % 3];
      // Few generations, so that they cross; one holder never uses one twice on the same subject and way.
      const std::uint64_t generation = 1 + chance() % 6;
      const bool drains = chance() % 2;
      const bool taken = std::ranges::any_of(orders, [&](const Order& o) {
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
      std::vector<Order> sent = orders;
      std::shuffle(sent.begin(), sent.end(), chance);
      for (int again = 0; again < 3 && !orders.empty(); ++again)
        sent.insert(sent.begin() + static_cast<std::ptrdiff_t>(chance() % (sent.size() + 1)),
                    orders[chance() % orders.size()]);
      std::map<std::string, Standing> said;
      std::vector<Order> seen;
      for (const Order& order : sent) {
        const std::string engine = chance() % 2 ? "a" : "b";
        const Standing word = static_cast<Standing>(chance() % 3);
        if (drains.channel_said(Span(1), engine, "h:" + engine, word) != drains.standing(engine))
          assert(false);
        said[engine] = word;
        if (word == Standing::gone) said.erase(engine);
        drains.ordered(Span(1), order);
        seen.push_back(order);
        for (const char* name : {"a", "b"}) {
          const Standing is = drains.standing(name);
          if (!said.contains(name)) {
            assert(is == Standing::gone);
            continue;
          }
          assert(static_cast<int>(is) >= static_cast<int>(said[name]));
          const bool held = std::ranges::any_of(seen, [&](const Order& o) {
            if (!o.drains || (o.subject != name && o.subject != std::string("@h:") + name)) return false;
            return std::ranges::none_of(seen, [&](const Order& other) {
              return other.subject == o.subject && !other.drains && other.generation > o.generation &&
                     (other.everyone || other.holder == o.holder);
            });
          });
          // A holder's older drain counts no more once that holder has a newer drain: the same outcome.
          if ((is == Standing::up) == held && said[name] == Standing::up) {
            std::fprintf(stderr, "seed %u, play %d\n", seed, play);
            assert(false);
          }
        }
      }
      std::vector<std::string> in_force;
      for (const Held& held : drains.in_force()) in_force.push_back(held.order.subject + "/" + held.order.id);
      std::ranges::sort(in_force);
      if (expected && *expected != in_force) std::fprintf(stderr, "seed %u, play %d\n", seed, play);
      assert(!expected || *expected == in_force);
      expected = in_force;
    }
  }
}

struct NotedRest final : Rest::Host {
  bool away = false;
  int ends = 0;
  std::vector<Rest::State> states;
  void turn_away(bool now_away) override { away = now_away; }
  void end() override { ++ends; }
  void rests(Rest::State state) override { states.push_back(state); }
};

void at_rest() {
  using State = Rest::State;
  {  // Drained once idle, and it stays so; resumed at any point.
    NotedRest host;
    Rest rest(host, seconds(1));
    rest.drain_ordered(Span(0), true, false);
    assert(host.away && rest.state() == State::draining);
    rest.drain_ordered(Span(1), false, false);
    assert(!host.away && rest.state() == State::serving);
    rest.drain_ordered(Span(2), true, true);
    rest.looked(Span(3), false);
    assert(rest.state() == State::drained && host.ends == 0);
    rest.drain_ordered(Span(4), false, true);
    assert(!host.away &&
           (host.states == std::vector{State::draining, State::serving, State::drained, State::serving}));
  }
  {  // To end: not before the fronts have seen it, once, and at the limit whatever is open.
    NotedRest host;
    Rest rest(host, seconds(1));
    rest.end_asked(Span(0), seconds(10), true);
    rest.looked(milliseconds(900), true);
    assert(host.away && host.ends == 0);
    rest.looked(seconds(1), true);
    rest.looked(seconds(2), true);
    rest.drain_ordered(seconds(2), false, true);
    assert(host.ends == 1 && host.away);
  }
  {
    NotedRest host;
    Rest rest(host, seconds(1));
    rest.end_asked(Span(0), seconds(3), false);
    rest.looked(seconds(2), false);
    assert(host.ends == 0);
    rest.looked(seconds(3), false);
    assert(host.ends == 1);
  }
  {  // Called off.
    NotedRest host;
    Rest rest(host, seconds(1));
    rest.end_asked(Span(0), seconds(3), false);
    rest.end_called_off(seconds(1), false);
    rest.looked(seconds(9), true);
    assert(host.ends == 0 && !host.away && rest.state() == State::serving);
  }
}

struct NotedRestart final : Restart::Host {
  std::string did;
  void ask_to_end(Restart::Span) override { did += "end "; }
  void start_program() override { did += "start "; }
  void ask_orders() override { did += "orders "; }
  void give_orders(const std::set<std::string>& ids) override {
    did += "give";
    for (const std::string& id : ids) did += ":" + id;
    did += " ";
  }
};

void restarts() {
  using Seen = Restart::Seen;
  const Restart::Limits limits{seconds(10), seconds(20), true};
  const Restart::Identity before{100, 7, true, "1", "d"}, after{200, 8, true, "2", "d"},
      coming{200, 8, false, "2", "d"};
  struct Case {
    std::function<void(Restart&)> happens;
    Done outcome;
    const char* did;
  };
  const Case cases[] = {
      {[&](Restart& r) {
         r.end_answered(Span(0), Seen::answered, true);
         r.seen(seconds(1), Seen::answered, before);
         r.seen(seconds(2), Seen::gone, {});
         r.seen(seconds(3), Seen::gone, {});
         r.seen(seconds(4), Seen::answered, coming);
         r.seen(seconds(5), Seen::answered, after);
         r.orders_told(seconds(5), std::set<std::string>{"o1", "o2"});
       },
       Done::yes, "end start orders "},
      // The end's answer was lost, it went and came between two looks, and it had forgotten an order.
      {[&](Restart& r) {
         r.end_answered(Span(0), Seen::silent, false);
         r.seen(seconds(2), Seen::answered, after);
         r.orders_told(seconds(2), std::nullopt);
         r.orders_told(seconds(2), std::set<std::string>{"o2"});
         r.orders_told(seconds(3), std::set<std::string>{"o1", "o2"});
       },
       Done::yes, "end orders orders give:o1 orders "},
      {[&](Restart& r) {  // the orders can't be given back
         r.end_answered(Span(0), Seen::answered, true);
         r.seen(seconds(1), Seen::answered, after);
         r.orders_told(seconds(2), std::set<std::string>{});
         r.orders_told(seconds(3), std::set<std::string>{"o1"});
       },
       Done::refused, "end orders give:o1:o2 orders "},
      {[&](Restart& r) { r.end_answered(Span(0), Seen::gone, false); }, Done::unreachable, "end "},
      {[&](Restart& r) { r.end_answered(Span(0), Seen::answered, false); }, Done::refused, "end "},
      {[&](Restart& r) {  // hangs: neither gone nor answering
         r.end_answered(Span(0), Seen::answered, true);
         for (int s = 1; s < 30; ++s) r.seen(seconds(s), Seen::silent, {});
       },
       Done::time_up, "end "},
      {[&](Restart& r) {  // falls at once, again and again
         r.end_answered(Span(0), Seen::answered, true);
         for (int s = 1; s < 40; ++s) r.seen(seconds(s), Seen::gone, {});
       },
       Done::time_up, "end start "},
      {[&](Restart& r) {  // comes up and never serves
         r.end_answered(Span(0), Seen::answered, true);
         r.seen(seconds(1), Seen::gone, {});
         for (int s = 2; s < 40; ++s) r.seen(seconds(s), Seen::answered, coming);
       },
       Done::time_up, "end start "},
  };
  for (const Case& c : cases) {
    NotedRestart host;
    Restart restart(host, limits);
    restart.begin(Span(0), before, {"o1", "o2"});
    c.happens(restart);
    if (!restart.over() || restart.outcome() != c.outcome || host.did != c.did)
      std::fprintf(stderr, "did %s, %s\n", host.did.c_str(), restart.word().c_str());
    assert(restart.over() && restart.outcome() == c.outcome && host.did == c.did && !restart.word().empty());
  }
}

void cautions() {
  const std::vector<Serving> fleet = {
      {"a", "x", true}, {"b", "x", true}, {"c", "x", false}, {"d", "y", true}};
  assert(losses(fleet, {"a"}).empty());
  assert(losses(fleet, {"c"}).empty());
  const auto both = losses(fleet, {"a", "b", "d"});
  assert(both.size() == 2 && both[0].zone == "x" && both[0].stopping == 2 && both[1].serving == 1);
  using enum Done;
  struct Case {
    std::vector<Done> each;
    Status question, change;
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
    assert(status_of_question(c.each) == c.question && status_of_change(c.each) == c.change);
}

int main() {
  verdicts();
  channel_and_leases();
  histories();
  at_rest();
  restarts();
  cautions();
}

// Lending parts of a cold engine's budget: one loan step by step, then seeded histories, whose sums are
// counted from outside; and that the count catches a rule that is left out.
#include <cassert>
#include <cstdio>

#include "fleet/budget_leases.h"
#include "lab/simulations/budget_lease_simulation.h"

using namespace pearchute;
using namespace pearchute::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Seen final : Parts::Host {
  struct Order {
    int eighths = 0;
    Span until{};
    std::uint64_t fence = 0;
  };
  std::map<std::string, Order> orders;  // the last to each manager
  std::vector<std::pair<std::string, LoanAsk>> asks;
  std::vector<LoanAnswer> answers;
  std::map<std::string, Parts::Loan> disk;
  bool writable = true;
  bool keep(const std::map<std::string, Parts::Loan>& loans) override {
    if (writable) disk = loans;
    return writable;
  }
  void tell(const std::string& manager, const ColdEngine&, int eighths, Span until,
            std::uint64_t fence) override {
    orders[manager] = {eighths, until, fence};
  }
  void ask(const std::string& agent, const LoanAsk& ask) override { asks.emplace_back(agent, ask); }
  void answer(const std::string&, const LoanAnswer& answer) override { answers.push_back(answer); }
};

const ColdEngine cold{"e", 1};
const Span window = seconds(2), lease = seconds(6);
LoanAsk an_ask(const std::string& id, int eighths, int used = 0, std::uint64_t round = 1) {
  return {id, cold, "b", eighths, used, round};
}

void a_loan() {
  Seen lends, borrows;
  Parts lender(lends, "l", 1, window, lease), borrower(borrows, "a", 1, window, lease);
  lender.manages({{"idle", Parts::whole}, {"busy", Parts::whole}}), borrower.manages({{"b", Parts::whole}});
  Span now = seconds(100);
  lender.wants(now, "busy", cold, 20), lender.wants(now, "idle", cold, 1);
  borrower.wants(now, "b", cold, 20);
  borrower.woken(now, {"l"});
  assert(borrows.asks.size() == 1 && borrows.asks[0].first == "l" && borrows.asks[0].second.eighths == 12);
  const LoanAsk ask = borrows.asks[0].second;
  const Span asked = now;
  now += milliseconds(10);
  lender.asked(now, "a", ask);
  // Give before take: on disk, its manager told, no answer yet; the busy one keeps its part.
  assert(lends.disk.size() == 1 && lends.orders.at("idle").eighths == Parts::kept_back &&
         lends.answers.empty());
  assert(!lends.orders.contains("busy") || lends.orders.at("busy").eighths == Parts::whole);
  lender.woken(now + seconds(3), {});
  assert(lends.answers.empty());  // not heard yet
  now += seconds(1);
  lender.heard(now, "idle", cold, lends.orders.at("idle").fence + 1);
  assert(lends.answers.empty());  // of no such order
  lender.heard(now, "idle", cold, lends.orders.at("idle").fence);
  lender.woken(now + window - milliseconds(1), {});
  assert(lends.answers.empty());  // a window is not over
  now += window;
  lender.woken(now, {});
  assert(lends.answers.size() == 1 && lends.answers[0].eighths == 6);
  assert(lends.orders.at("idle").until >= now + lease + window);
  // The borrower counts from when it asked, whenever the answer comes.
  borrower.answered(now, "x", lends.answers[0]);
  assert(borrower.share(now, "b", cold) == Parts::whole);  // not from whom it asked
  borrower.answered(now, "l", lends.answers[0]);
  assert(borrower.share(now, "b", cold) == 14 && borrows.orders.at("b").until == asked + lease);
  assert(borrower.share(asked + lease, "b", cold) == Parts::whole);
  // A copy of the ask that comes late renews nothing; a renewal lasts from when its manager has heard.
  borrower.wants(now, "b", cold, 20);
  now = asked + seconds(5);
  borrower.woken(now, {});
  const LoanAsk renewal = borrows.asks.back().second;
  assert(renewal.round == 2 && renewal.used == 6 && renewal.id == ask.id);
  lender.asked(now, "a", renewal);
  assert(lends.answers.size() == 1);
  lender.heard(now, "idle", cold, lends.orders.at("idle").fence);
  assert(lends.answers.size() == 2 && lends.answers[1].round == 2);
  lender.asked(now, "a", ask);
  assert(lends.answers.size() == 2);
  borrower.answered(now + seconds(1), "l", lends.answers[0]);  // the first answer once more
  assert(borrows.orders.at("b").until == asked + lease);
  borrower.answered(now + seconds(1), "l", lends.answers[1]);
  assert(borrows.orders.at("b").until == now + lease);
  // Not used, or needed by its owner: not renewed. The part is back a window after the lease, and no sooner.
  LoanAsk unused = renewal;
  unused.round = 3, unused.used = 1;
  lender.asked(now, "a", unused);
  assert(lends.answers.back().eighths == 0);
  lender.woken(now + lease + window - milliseconds(1), {});
  assert(lender.share(now + lease, "idle", cold) == Parts::kept_back);
  lender.woken(now + lease + window, {});
  assert(lender.share(now + lease + window, "idle", cold) == Parts::whole && lends.disk.empty());
}

void troubles() {
  // A renewal is granted at once where its manager was held back all along; where its order is heard so late
  // that the manager was free in between, a window has to pass again.
  for (const bool in_time : {true, false}) {
    Seen seen;
    Parts lender(seen, "l", 1, window, lease);
    lender.manages({{"m", Parts::whole}});
    lender.asked(seconds(10), "a", an_ask("w", 6));
    lender.heard(seconds(10), "m", cold, seen.orders.at("m").fence);
    lender.woken(seconds(10) + window, {});
    assert(seen.answers.size() == 1);
    const Span free_at = seen.orders.at("m").until;
    lender.asked(seconds(17), "a", an_ask("w", 6, 6, 2));
    lender.heard(in_time ? seconds(17) : free_at, "m", cold, seen.orders.at("m").fence);
    assert(seen.answers.size() == (in_time ? 2 : 1));
  }
  // A disk that takes nothing: nothing is lent.
  Seen full;
  full.writable = false;
  Parts poor(full, "l", 1, window, lease);
  poor.manages({{"m", Parts::whole}});
  poor.asked(seconds(1), "a", an_ask("x", 4));
  assert(poor.lent() == 0 && full.answers.size() == 1 && full.answers[0].eighths == 0 && full.orders.empty());
  // Back with a loan on disk: counted whole again. With a lost disk: nothing lent, nobody told a part.
  Seen again;
  Parts back(again, "l", 2, window, lease);
  back.manages({{"m", Parts::whole}});
  back.remembered(seconds(1), {{"x", {cold, "m", "b", "a", 6}}}, false);
  // Whether its manager ever heard that it is held back is not known any more: a renewal waits for a window.
  back.asked(seconds(2), "a", an_ask("x", 4, 6, 2));
  back.heard(seconds(2), "m", cold, again.orders.at("m").fence);
  back.woken(seconds(2) + window - milliseconds(1), {});
  assert(again.answers.empty());
  back.woken(seconds(2) + window, {});
  assert(again.answers.size() == 1 && again.answers[0].eighths == 6);
  Seen third;
  Parts later(third, "l", 3, window, lease);
  later.manages({{"m", Parts::whole}});
  later.remembered(seconds(1), {{"x", {cold, "m", "b", "a", 6}}}, false);
  later.woken(seconds(1) + lease + window - milliseconds(1), {});
  assert(later.share(seconds(2), "m", cold) == 2 && later.lent() == 1);
  later.woken(seconds(1) + lease + window, {});
  assert(later.lent() == 0);
  Seen lost;
  Parts blank(lost, "l", 2, window, lease);
  blank.manages({{"m", Parts::whole}});
  blank.remembered(seconds(1), {}, true);
  blank.wants(seconds(2), "m", cold, 4);
  blank.asked(seconds(2), "a", an_ask("y", 4));
  assert(lost.orders.empty() && blank.lent() == 0);
  const Span over = seconds(1) + Parts::silent_start(window, lease);
  blank.woken(over, {});
  blank.wants(over, "m", cold, 4);
  assert(lost.orders.at("m").eighths == Parts::whole && lost.orders.at("m").fence > (2ULL << 32));
  // One that came after the parts were handed out has none, and may borrow.
  Seen late;
  Parts newcomer(late, "n", 1, window, lease);
  newcomer.manages({{"new", 0}});
  newcomer.wants(seconds(1), "new", cold, 3);
  newcomer.woken(seconds(1), {"l"});
  assert(late.orders.at("new").eighths == 0 && late.asks.size() == 1 && late.asks[0].second.eighths == 3);
  // Its manager began anew: told again what it has lent.
  Seen anew;
  Parts keeper(anew, "l", 1, window, lease);
  keeper.manages({{"m", Parts::whole}});
  keeper.asked(seconds(1), "a", an_ask("z", 5));
  anew.orders.clear();
  keeper.began(seconds(2), "m");
  assert(anew.orders.at("m").eighths == 3);
}

void histories() {
  struct Case {
    const char* name;
    int seeds;
    lab::BudgetLeaseSimulation::Shape shape;
  };
  const Case cases[] = {
      {"sound", 40, {}},
      {"loss and repeats", 40, {.loss = 0.2, .doubled = 0.2}},
      {"kills", 60, {.kills = true}},
      {"stops and cuts", 60, {.stops = true, .cuts = true}},
      {"newcomers", 40, {.agents = 5, .newcomers = 4, .kills = true}},
      {"all, more wanted than there is",
       120,
       {.load = 1.2, .loss = 0.1, .doubled = 0.1, .kills = true, .stops = true, .cuts = true}},
  };
  for (const Case& c : cases) {
    double used = 0, off = 0;
    for (int seed = 1; seed <= c.seeds; ++seed) {
      lab::BudgetLeaseSimulation::Shape shape = c.shape;
      shape.seed = static_cast<std::uint64_t>(seed), shape.troubled = seconds(40);
      const auto result = lab::BudgetLeaseSimulation(shape).play();
      for (const std::string& fault : result.faults)
        std::fprintf(stderr, "%s, seed %d: %s\n", c.name, seed, fault.c_str());
      assert(result.clean() && result.fairness > 0.9);
      if (seed == 1) assert(lab::BudgetLeaseSimulation(shape).play().digest == result.digest);
      shape.lends = false;
      used += result.used, off += lab::BudgetLeaseSimulation(shape).play().used;
    }
    if (used < 1.4 * off) std::fprintf(stderr, "%s: used %.3f, without lending %.3f\n", c.name, used, off);
    assert(used >= 1.4 * off);
  }
  // The count has to catch what it is there for.
  for (const int broken : {1, 2}) {
    std::uint64_t caught = 0;
    for (int seed = 1; seed <= 60 && caught == 0; ++seed) {
      lab::BudgetLeaseSimulation::Shape shape = cases[5].shape;
      shape.seed = static_cast<std::uint64_t>(seed), shape.broken = broken;
      const auto result = lab::BudgetLeaseSimulation(shape).play();
      caught += result.over_limit + result.lent_twice;
    }
    assert(caught > 0);
  }
}

int main() {
  a_loan();
  troubles();
  histories();
}

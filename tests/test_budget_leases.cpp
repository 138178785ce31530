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

struct Seen final : BudgetLeases::Host {
  struct Order {
    int eighths = 0;
    TimePoint until{};
    std::uint64_t fence = 0;
  };
  std::map<std::string, Order> orders;  // the last to each manager
  std::vector<std::pair<std::string, BudgetLeaseRequest>> asks;
  std::vector<BudgetLeaseResponse> answers;
  std::map<std::string, BudgetLeases::BudgetLease> disk;
  bool writable = true;
  bool persist(const std::map<std::string, BudgetLeases::BudgetLease>& loans) override {
    if (writable) disk = loans;
    return writable;
  }
  void send_share(const std::string& manager, const WarmingEngine&, int eighths, TimePoint until,
                  std::uint64_t fence) override {
    orders[manager] = {eighths, until, fence};
  }
  void send_request(const std::string& agent, const BudgetLeaseRequest& ask) override {
    asks.emplace_back(agent, ask);
  }
  void send_response(const std::string&, const BudgetLeaseResponse& answer) override {
    answers.push_back(answer);
  }
};

const WarmingEngine cold{"e", 1};
const Duration window = seconds(2), lease = seconds(6);
BudgetLeaseRequest an_ask(const std::string& id, int eighths, int used = 0, std::uint64_t round = 1) {
  return {id, cold, "b", eighths, used, round};
}

void a_loan() {
  Seen lends, borrows;
  BudgetLeases lender(lends, "l", 1, window, lease), borrower(borrows, "a", 1, window, lease);
  lender.set_managers({{"idle", BudgetLeases::full_share}, {"busy", BudgetLeases::full_share}}),
      borrower.set_managers({{"b", BudgetLeases::full_share}});
  TimePoint now = seconds(100);
  lender.set_demand(now, "busy", cold, 20), lender.set_demand(now, "idle", cold, 1);
  borrower.set_demand(now, "b", cold, 20);
  borrower.on_timer(now, {"l"});
  assert(borrows.asks.size() == 1 && borrows.asks[0].first == "l" && borrows.asks[0].second.eighths == 12);
  const BudgetLeaseRequest ask = borrows.asks[0].second;
  const TimePoint asked = now;
  now += milliseconds(10);
  lender.on_request(now, "a", ask);
  // Give before take: on disk, its manager told, no answer yet; the busy one keeps its part.
  assert(lends.disk.size() == 1 && lends.orders.at("idle").eighths == BudgetLeases::min_retained_share &&
         lends.answers.empty());
  assert(!lends.orders.contains("busy") || lends.orders.at("busy").eighths == BudgetLeases::full_share);
  lender.on_timer(now + seconds(3), {});
  assert(lends.answers.empty());  // not heard yet
  now += seconds(1);
  lender.on_share_acknowledged(now, "idle", cold, lends.orders.at("idle").fence + 1);
  assert(lends.answers.empty());  // of no such order
  lender.on_share_acknowledged(now, "idle", cold, lends.orders.at("idle").fence);
  lender.on_timer(now + window - milliseconds(1), {});
  assert(lends.answers.empty());  // a window is not over
  now += window;
  lender.on_timer(now, {});
  assert(lends.answers.size() == 1 && lends.answers[0].eighths == 6);
  assert(lends.orders.at("idle").until >= now + lease + window);
  // The borrower counts from when it asked, whenever the answer comes.
  borrower.on_response(now, "x", lends.answers[0]);
  assert(borrower.share(now, "b", cold) == BudgetLeases::full_share);  // not from whom it asked
  borrower.on_response(now, "l", lends.answers[0]);
  assert(borrower.share(now, "b", cold) == 14 && borrows.orders.at("b").until == asked + lease);
  assert(borrower.share(asked + lease, "b", cold) == BudgetLeases::full_share);
  // A copy of the ask that comes late renews nothing; a renewal lasts from when its manager has heard.
  borrower.set_demand(now, "b", cold, 20);
  now = asked + seconds(5);
  borrower.on_timer(now, {});
  const BudgetLeaseRequest renewal = borrows.asks.back().second;
  assert(renewal.round == 2 && renewal.used == 6 && renewal.id == ask.id);
  lender.on_request(now, "a", renewal);
  assert(lends.answers.size() == 1);
  lender.on_share_acknowledged(now, "idle", cold, lends.orders.at("idle").fence);
  assert(lends.answers.size() == 2 && lends.answers[1].round == 2);
  lender.on_request(now, "a", ask);
  assert(lends.answers.size() == 2);
  borrower.on_response(now + seconds(1), "l", lends.answers[0]);  // the first answer once more
  assert(borrows.orders.at("b").until == asked + lease);
  borrower.on_response(now + seconds(1), "l", lends.answers[1]);
  assert(borrows.orders.at("b").until == now + lease);
  // Not used, or needed by its owner: not renewed. The part is back a window after the lease, and no sooner.
  BudgetLeaseRequest unused = renewal;
  unused.round = 3, unused.used = 1;
  lender.on_request(now, "a", unused);
  assert(lends.answers.back().eighths == 0);
  lender.on_timer(now + lease + window - milliseconds(1), {});
  assert(lender.share(now + lease, "idle", cold) == BudgetLeases::min_retained_share);
  lender.on_timer(now + lease + window, {});
  assert(lender.share(now + lease + window, "idle", cold) == BudgetLeases::full_share && lends.disk.empty());
}

void troubles() {
  // A renewal is granted at once where its manager was held back all along; where its order is heard so late
  // that the manager was free in between, a window has to pass again.
  for (const bool in_time : {true, false}) {
    Seen seen;
    BudgetLeases lender(seen, "l", 1, window, lease);
    lender.set_managers({{"m", BudgetLeases::full_share}});
    lender.on_request(seconds(10), "a", an_ask("w", 6));
    lender.on_share_acknowledged(seconds(10), "m", cold, seen.orders.at("m").fence);
    lender.on_timer(seconds(10) + window, {});
    assert(seen.answers.size() == 1);
    const Duration free_at = seen.orders.at("m").until;
    lender.on_request(seconds(17), "a", an_ask("w", 6, 6, 2));
    lender.on_share_acknowledged(in_time ? seconds(17) : free_at, "m", cold, seen.orders.at("m").fence);
    assert(seen.answers.size() == (in_time ? 2 : 1));
  }
  // A disk that takes nothing: nothing is lent.
  Seen full;
  full.writable = false;
  BudgetLeases poor(full, "l", 1, window, lease);
  poor.set_managers({{"m", BudgetLeases::full_share}});
  poor.on_request(seconds(1), "a", an_ask("x", 4));
  assert(poor.lent() == 0 && full.answers.size() == 1 && full.answers[0].eighths == 0 && full.orders.empty());
  // Back with a loan on disk: counted whole again. With a lost disk: nothing lent, nobody told a part.
  Seen again;
  BudgetLeases back(again, "l", 2, window, lease);
  back.set_managers({{"m", BudgetLeases::full_share}});
  back.restore(seconds(1), {{"x", {cold, "m", "b", "a", 6}}}, false);
  // Whether its manager ever heard that it is held back is not known any more: a renewal waits for a window.
  back.on_request(seconds(2), "a", an_ask("x", 4, 6, 2));
  back.on_share_acknowledged(seconds(2), "m", cold, again.orders.at("m").fence);
  back.on_timer(seconds(2) + window - milliseconds(1), {});
  assert(again.answers.empty());
  back.on_timer(seconds(2) + window, {});
  assert(again.answers.size() == 1 && again.answers[0].eighths == 6);
  Seen third;
  BudgetLeases later(third, "l", 3, window, lease);
  later.set_managers({{"m", BudgetLeases::full_share}});
  later.restore(seconds(1), {{"x", {cold, "m", "b", "a", 6}}}, false);
  later.on_timer(seconds(1) + lease + window - milliseconds(1), {});
  assert(later.share(seconds(2), "m", cold) == 2 && later.lent() == 1);
  later.on_timer(seconds(1) + lease + window, {});
  assert(later.lent() == 0);
  Seen lost;
  BudgetLeases blank(lost, "l", 2, window, lease);
  blank.set_managers({{"m", BudgetLeases::full_share}});
  blank.restore(seconds(1), {}, true);
  blank.set_demand(seconds(2), "m", cold, 4);
  blank.on_request(seconds(2), "a", an_ask("y", 4));
  assert(lost.orders.empty() && blank.lent() == 0);
  const Duration over = seconds(1) + BudgetLeases::startup_quiet_period(window, lease);
  blank.on_timer(over, {});
  blank.set_demand(over, "m", cold, 4);
  assert(lost.orders.at("m").eighths == BudgetLeases::full_share && lost.orders.at("m").fence > (2ULL << 32));
  // One that came after the parts were handed out has none, and may borrow.
  Seen late;
  BudgetLeases newcomer(late, "n", 1, window, lease);
  newcomer.set_managers({{"new", 0}});
  newcomer.set_demand(seconds(1), "new", cold, 3);
  newcomer.on_timer(seconds(1), {"l"});
  assert(late.orders.at("new").eighths == 0 && late.asks.size() == 1 && late.asks[0].second.eighths == 3);
  // Its manager began anew: told again what it has lent.
  Seen anew;
  BudgetLeases keeper(anew, "l", 1, window, lease);
  keeper.set_managers({{"m", BudgetLeases::full_share}});
  keeper.on_request(seconds(1), "a", an_ask("z", 5));
  anew.orders.clear();
  keeper.on_manager_restarted(seconds(2), "m");
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

// Tests of leases on a warming engine's budget: one lease step by step, faults as small cases, and seeded
// histories in which the simulation adds up the shares in force independently. Histories of broken variants
// show that this check catches a rule that is left out.
#include <cassert>
#include <cstdio>

#include "fleet/budget_leases.h"
#include "lab/simulations/budget_lease_simulation.h"

using namespace pearchute;
using namespace pearchute::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Records the calls of BudgetLeases, and persists leases in memory.
struct RecordingHost final : BudgetLeases::Host {
  struct Order {
    int eighths = 0;
    TimePoint until{};
    std::uint64_t fence = 0;
  };
  std::map<std::string, Order> orders;                               // the last order to each manager
  std::vector<std::pair<std::string, BudgetLeaseRequest>> requests;  // with the agents that receive them
  std::vector<BudgetLeaseResponse> responses;
  std::map<std::string, BudgetLeases::BudgetLease> disk;
  bool writable = true;
  bool persist(const std::map<std::string, BudgetLeases::BudgetLease>& leases) override {
    if (writable) disk = leases;
    return writable;
  }
  void send_share(const std::string& manager, const WarmingEngine&, int eighths, TimePoint until,
                  std::uint64_t fence) override {
    orders[manager] = {eighths, until, fence};
  }
  void send_request(const std::string& agent, const BudgetLeaseRequest& request) override {
    requests.emplace_back(agent, request);
  }
  void send_response(const std::string&, const BudgetLeaseResponse& response) override {
    responses.push_back(response);
  }
};

const WarmingEngine engine{"e", 1};
const Duration window = seconds(2), lease = seconds(6);
BudgetLeaseRequest request_for(const std::string& id, int eighths, int used = 0, std::uint64_t round = 1) {
  return {id, engine, "b", eighths, used, round};
}

void one_lease() {
  RecordingHost lender_host, borrower_host;
  BudgetLeases lender(lender_host, "l", 1, window, lease), borrower(borrower_host, "a", 1, window, lease);
  lender.set_managers({{"idle", BudgetLeases::full_share}, {"busy", BudgetLeases::full_share}}),
      borrower.set_managers({{"b", BudgetLeases::full_share}});
  TimePoint now = seconds(100);
  lender.set_demand(now, "busy", engine, 20), lender.set_demand(now, "idle", engine, 1);
  borrower.set_demand(now, "b", engine, 20);
  borrower.on_timer(now, {"l"});
  assert(borrower_host.requests.size() == 1 && borrower_host.requests[0].first == "l" &&
         borrower_host.requests[0].second.eighths == 12);
  const BudgetLeaseRequest request = borrower_host.requests[0].second;
  const TimePoint requested_at = now;
  now += milliseconds(10);
  lender.on_request(now, "a", request);
  // The lender gives up its part first: the lease is persisted, the idle manager has the order to use less,
  // and there is no response yet. The busy manager keeps its share.
  assert(lender_host.disk.size() == 1 &&
         lender_host.orders.at("idle").eighths == BudgetLeases::min_retained_share &&
         lender_host.responses.empty());
  assert(!lender_host.orders.contains("busy") ||
         lender_host.orders.at("busy").eighths == BudgetLeases::full_share);
  lender.on_timer(now + seconds(3), {});
  assert(lender_host.responses.empty());  // the order is not acknowledged yet
  now += seconds(1);
  lender.on_share_acknowledged(now, "idle", engine, lender_host.orders.at("idle").fence + 1);
  assert(lender_host.responses.empty());  // there is no order with this fence
  lender.on_share_acknowledged(now, "idle", engine, lender_host.orders.at("idle").fence);
  lender.on_timer(now + window - milliseconds(1), {});
  assert(lender_host.responses.empty());  // no whole window has passed since the acknowledgement
  now += window;
  lender.on_timer(now, {});
  assert(lender_host.responses.size() == 1 && lender_host.responses[0].eighths == 6);
  assert(lender_host.orders.at("idle").until >= now + lease + window);
  // The borrower counts the lease from its request, whenever the response arrives.
  borrower.on_response(now, "x", lender_host.responses[0]);
  assert(borrower.share(now, "b", engine) == BudgetLeases::full_share);  // "x" is not the lending agent
  borrower.on_response(now, "l", lender_host.responses[0]);
  assert(borrower.share(now, "b", engine) == 14 &&
         borrower_host.orders.at("b").until == requested_at + lease);
  assert(borrower.share(requested_at + lease, "b", engine) == BudgetLeases::full_share);
  // A renewal is granted only once the lender has acknowledged the extended order. A delayed copy of the
  // first request renews nothing.
  borrower.set_demand(now, "b", engine, 20);
  now = requested_at + seconds(5);
  borrower.on_timer(now, {});
  const BudgetLeaseRequest renewal = borrower_host.requests.back().second;
  assert(renewal.round == 2 && renewal.used == 6 && renewal.id == request.id);
  lender.on_request(now, "a", renewal);
  assert(lender_host.responses.size() == 1);
  lender.on_share_acknowledged(now, "idle", engine, lender_host.orders.at("idle").fence);
  assert(lender_host.responses.size() == 2 && lender_host.responses[1].round == 2);
  lender.on_request(now, "a", request);
  assert(lender_host.responses.size() == 2);
  borrower.on_response(now + seconds(1), "l", lender_host.responses[0]);  // the first response again
  assert(borrower_host.orders.at("b").until == requested_at + lease);
  borrower.on_response(now + seconds(1), "l", lender_host.responses[1]);
  assert(borrower_host.orders.at("b").until == now + lease);
  // A lease that is not used is not renewed. The lender has its full share again one window after the end of
  // the lease, and no sooner.
  BudgetLeaseRequest unused = renewal;
  unused.round = 3, unused.used = 1;
  lender.on_request(now, "a", unused);
  assert(lender_host.responses.back().eighths == 0);
  lender.on_timer(now + lease + window - milliseconds(1), {});
  assert(lender.share(now + lease, "idle", engine) == BudgetLeases::min_retained_share);
  lender.on_timer(now + lease + window, {});
  assert(lender.share(now + lease + window, "idle", engine) == BudgetLeases::full_share &&
         lender_host.disk.empty());
}

void faults() {
  // A renewal is granted at once if the lender's share was reduced without a gap. If the order is
  // acknowledged so late that the previous one had expired, a window has to pass again.
  for (const bool in_time : {true, false}) {
    RecordingHost host;
    BudgetLeases lender(host, "l", 1, window, lease);
    lender.set_managers({{"m", BudgetLeases::full_share}});
    lender.on_request(seconds(10), "a", request_for("w", 6));
    lender.on_share_acknowledged(seconds(10), "m", engine, host.orders.at("m").fence);
    lender.on_timer(seconds(10) + window, {});
    assert(host.responses.size() == 1);
    const Duration expired_at = host.orders.at("m").until;
    lender.on_request(seconds(17), "a", request_for("w", 6, 6, 2));
    lender.on_share_acknowledged(in_time ? seconds(17) : expired_at, "m", engine, host.orders.at("m").fence);
    assert(host.responses.size() == (in_time ? 2 : 1));
  }
  // Nothing is lent if the lease can't be persisted.
  RecordingHost full_host;
  full_host.writable = false;
  BudgetLeases unpersisted(full_host, "l", 1, window, lease);
  unpersisted.set_managers({{"m", BudgetLeases::full_share}});
  unpersisted.on_request(seconds(1), "a", request_for("x", 4));
  assert(unpersisted.lent() == 0 && full_host.responses.size() == 1 && full_host.responses[0].eighths == 0 &&
         full_host.orders.empty());
  // After a restart a persisted lease counts for its whole duration again.
  RecordingHost restarted_host;
  BudgetLeases restarted(restarted_host, "l", 2, window, lease);
  restarted.set_managers({{"m", BudgetLeases::full_share}});
  restarted.restore(seconds(1), {{"x", {engine, "m", "b", "a", 6}}}, false);
  // Whether the lender has acknowledged the order is unknown after the restart: a renewal waits for a window.
  restarted.on_request(seconds(2), "a", request_for("x", 4, 6, 2));
  restarted.on_share_acknowledged(seconds(2), "m", engine, restarted_host.orders.at("m").fence);
  restarted.on_timer(seconds(2) + window - milliseconds(1), {});
  assert(restarted_host.responses.empty());
  restarted.on_timer(seconds(2) + window, {});
  assert(restarted_host.responses.size() == 1 && restarted_host.responses[0].eighths == 6);
  RecordingHost second_host;
  BudgetLeases expiring(second_host, "l", 3, window, lease);
  expiring.set_managers({{"m", BudgetLeases::full_share}});
  expiring.restore(seconds(1), {{"x", {engine, "m", "b", "a", 6}}}, false);
  expiring.on_timer(seconds(1) + lease + window - milliseconds(1), {});
  assert(expiring.share(seconds(2), "m", engine) == 2 && expiring.lent() == 1);
  expiring.on_timer(seconds(1) + lease + window, {});
  assert(expiring.lent() == 0);
  // After a restart with a lost disk, nothing is lent and no order is sent for a startup quiet period.
  RecordingHost lost_host;
  BudgetLeases without_disk(lost_host, "l", 2, window, lease);
  without_disk.set_managers({{"m", BudgetLeases::full_share}});
  without_disk.restore(seconds(1), {}, true);
  without_disk.set_demand(seconds(2), "m", engine, 4);
  without_disk.on_request(seconds(2), "a", request_for("y", 4));
  assert(lost_host.orders.empty() && without_disk.lent() == 0);
  const Duration quiet_until = seconds(1) + BudgetLeases::startup_quiet_period(window, lease);
  without_disk.on_timer(quiet_until, {});
  without_disk.set_demand(quiet_until, "m", engine, 4);
  assert(lost_host.orders.at("m").eighths == BudgetLeases::full_share &&
         lost_host.orders.at("m").fence > (2ULL << 32));
  // A manager that joined after the shares were allotted has none of its own, and may borrow.
  RecordingHost joined_host;
  BudgetLeases joined(joined_host, "n", 1, window, lease);
  joined.set_managers({{"new", 0}});
  joined.set_demand(seconds(1), "new", engine, 3);
  joined.on_timer(seconds(1), {"l"});
  assert(joined_host.orders.at("new").eighths == 0 && joined_host.requests.size() == 1 &&
         joined_host.requests[0].second.eighths == 3);
  // A restarted manager gets the order with its reduced share again.
  RecordingHost renewed_host;
  BudgetLeases lender(renewed_host, "l", 1, window, lease);
  lender.set_managers({{"m", BudgetLeases::full_share}});
  lender.on_request(seconds(1), "a", request_for("z", 5));
  renewed_host.orders.clear();
  lender.on_manager_restarted(seconds(2), "m");
  assert(renewed_host.orders.at("m").eighths == 3);
}

void random_histories() {
  struct Case {
    const char* name;
    int seeds;
    lab::BudgetLeaseSimulation::Shape shape;
  };
  const Case cases[] = {
      {"no faults", 40, {}},
      {"loss and repeats", 40, {.loss = 0.2, .doubled = 0.2}},
      {"kills", 60, {.kills = true}},
      {"pauses and partitions", 60, {.stops = true, .cuts = true}},
      {"managers that join later", 40, {.agents = 5, .newcomers = 4, .kills = true}},
      {"all faults, and more demand than budget",
       120,
       {.load = 1.2, .loss = 0.1, .doubled = 0.1, .kills = true, .stops = true, .cuts = true}},
  };
  for (const Case& c : cases) {
    double used = 0, used_without_lending = 0;
    for (int seed = 1; seed <= c.seeds; ++seed) {
      lab::BudgetLeaseSimulation::Shape shape = c.shape;
      shape.seed = static_cast<std::uint64_t>(seed), shape.troubled = seconds(40);
      const auto result = lab::BudgetLeaseSimulation(shape).play();
      for (const std::string& fault : result.faults)
        std::fprintf(stderr, "%s, seed %d: %s\n", c.name, seed, fault.c_str());
      assert(result.clean() && result.fairness > 0.9);
      if (seed == 1) assert(lab::BudgetLeaseSimulation(shape).play().digest == result.digest);
      shape.lends = false;
      used += result.used, used_without_lending += lab::BudgetLeaseSimulation(shape).play().used;
    }
    if (used < 1.4 * used_without_lending)
      std::fprintf(stderr, "%s: used %.3f, without lending %.3f\n", c.name, used, used_without_lending);
    assert(used >= 1.4 * used_without_lending);
  }
  // The simulation's check has to catch each broken variant.
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
  one_lease();
  faults();
  random_histories();
}

#include "lab/simulations/budget_lease_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <random>
#include <set>
#include <utility>

#include "lab/simulations/timeline.h"

namespace pearchute::lab {

using namespace fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct BudgetLeaseSimulation::Impl {
  struct Manager {
    std::string name;
    int owner = 0, equal_share = BudgetLeases::full_share;
    bool alive = true, suspended = false;
    TimePoint started_at{};
    std::uint64_t generation = 1;
    double traffic = 0;  // eighths of demand per window, at each engine
    struct Order {
      std::uint64_t fence = 0;
      int eighths = 0;
      TimePoint until{};
    };
    std::map<WarmingEngine, Order> orders;
    std::map<WarmingEngine, std::deque<std::pair<Duration, double>>>
        sent;  // in the last window, by this generation of the process
    std::deque<std::function<void()>> deferred;
    double admitted = 0, demanded = 0;  // eighths, while measuring
  };
  struct Agent final : BudgetLeases::Host {
    Impl* simulation = nullptr;
    int number = 0;
    std::string name;
    std::unique_ptr<BudgetLeases> leases;
    std::uint64_t incarnation = 0, generation = 0;
    std::map<std::string, BudgetLeases::BudgetLease> disk;
    bool suspended = false;
    std::deque<std::function<void()>> deferred;
    bool persist(const std::map<std::string, BudgetLeases::BudgetLease>& granted) override {
      if (simulation->chance(0.02)) return false;  // as when the disk is full
      disk = granted;
      return true;
    }
    void send_share(const std::string& manager, const WarmingEngine& engine, int eighths, TimePoint until,
                    std::uint64_t fence) override {
      simulation->send_order(*this, manager, engine, eighths, until, fence);
    }
    void send_request(const std::string& agent, const BudgetLeaseRequest& request) override {
      ++simulation->result.asks;
      Agent& to = simulation->agent_named(agent);
      simulation->deliver(*this, to,
                          [this, &to, request] { to.leases->on_request(simulation->now, name, request); });
    }
    void send_response(const std::string& agent, const BudgetLeaseResponse& response) override {
      simulation->result.grants += response.eighths > 0;
      Agent& to = simulation->agent_named(agent);
      simulation->deliver(*this, to,
                          [this, &to, response] { to.leases->on_response(simulation->now, name, response); });
    }
  };

  explicit Impl(const Shape& s) : shape(s), random(static_cast<std::knuth_b::result_type>(s.seed)) {
    for (int e = 0; e < shape.engines; ++e) engines.push_back({"e" + std::to_string(e), 1});
    for (int a = 0; a < shape.agents; ++a) {
      auto& agent = agents.emplace_back(std::make_unique<Agent>());
      agent->simulation = this, agent->number = a, agent->name = "a" + std::to_string(a);
      for (int m = 0; m < shape.managers_each; ++m) {
        Manager& manager = managers["n" + std::to_string(a) + "." + std::to_string(m)];
        manager.name = "n" + std::to_string(a) + "." + std::to_string(m), manager.owner = a;
        manager.traffic = 1;
      }
    }
    std::vector<Manager*> order;
    for (auto& [name, manager] : managers) order.push_back(&manager);
    std::ranges::shuffle(order, random);
    const auto busy =
        std::max<std::size_t>(1, static_cast<std::size_t>(shape.busy * static_cast<double>(order.size())));
    for (std::size_t n = 0; n < busy; ++n) order[n]->traffic = 20;
    int newcomers = 0;
    for (auto& [name, manager] : managers) {
      if (newcomers++ < shape.newcomers) manager.equal_share = 0;
      budget += manager.equal_share;
    }
    double sum = 0;
    for (auto& [name, manager] : managers) sum += manager.traffic;
    for (auto& [name, manager] : managers) manager.traffic *= shape.load * budget / sum;
    for (auto& agent : agents) start(*agent, true);
    for (auto& [name, manager] : managers) start(manager);
    run_step();
  }
  std::uint64_t draw(std::uint64_t below) { return random() % below; }
  bool chance(double share) { return static_cast<double>(draw(1'000'000)) < share * 1e6; }
  void schedule(Duration delay, std::function<void()> action) {
    time.schedule(now + delay, std::move(action));
  }
  Agent& agent_named(const std::string& name) {
    return *agents[static_cast<std::size_t>(std::stoi(name.substr(1)))];
  }

  // Schedules an action of an agent's current process: dropped if the process has ended by then, deferred
  // while it is suspended.
  void schedule_for(Agent& agent, Duration delay, std::function<void()> action) {
    schedule(delay, [&agent, generation = agent.generation, action] {
      if (agent.generation != generation || !agent.leases) return;
      if (agent.suspended) agent.deferred.push_back(action);
      else action();
    });
  }
  void schedule_for(Manager& manager, Duration delay, std::function<void()> action) {
    schedule(delay, [&manager, generation = manager.generation, action] {
      if (manager.generation != generation || !manager.alive) return;
      if (manager.suspended) manager.deferred.push_back(action);
      else action();
    });
  }
  Duration draw_delay() { return milliseconds(1 + draw(chance(0.05) ? 8000 : 30)); }
  void deliver(Agent& from, Agent& to, std::function<void()> on_arrival) {
    for (int n = chance(shape.doubled) ? 2 : 1; n > 0; --n) {
      if (cut_links.contains({from.number, to.number}) || chance(shape.loss)) continue;
      schedule_for(to, draw_delay(), on_arrival);
    }
  }

  void start(Agent& agent, bool disk_kept) {
    ++agent.generation, ++agent.incarnation;
    agent.suspended = false, agent.deferred.clear();
    if (!disk_kept) agent.disk.clear();
    const Duration window = shape.broken == 1 ? milliseconds(1) : shape.window;
    agent.leases = std::make_unique<BudgetLeases>(agent, agent.name, agent.incarnation, window, shape.lease);
    std::map<std::string, int> own;
    for (auto& [name, manager] : managers) {
      if (manager.owner == agent.number) own[name] = manager.equal_share;
    }
    agent.leases->set_managers(own);
    const bool is_first_start = agent.generation == 1;
    agent.leases->restore(now, agent.disk, !disk_kept && !is_first_start);
    run_timer(agent);
  }
  void run_timer(Agent& agent) {
    for (auto& [name, manager] : managers) {
      if (manager.owner != agent.number || !manager.alive) continue;
      for (const WarmingEngine& engine : engines)
        agent.leases->set_demand(now, name, engine, static_cast<int>(std::lround(manager.traffic)));
    }
    std::vector<std::string> lenders;
    if (shape.lends) {
      for (const auto& other : agents) lenders.push_back(other->name);
      std::ranges::rotate(lenders, lenders.begin() + static_cast<std::ptrdiff_t>(draw(lenders.size())));
    }
    agent.leases->on_timer(now, lenders);
    schedule_for(agent, milliseconds(400 + draw(200)), [this, &agent] { run_timer(agent); });
  }
  void start(Manager& manager) {
    manager.alive = true, manager.suspended = false, ++manager.generation, manager.started_at = now;
    manager.orders.clear(), manager.sent.clear(), manager.deferred.clear();
    // Its agent notices the new process at its next poll.
    Agent& agent = *agents[static_cast<std::size_t>(manager.owner)];
    schedule_for(agent, milliseconds(200),
                 [this, &agent, &manager] { agent.leases->on_manager_restarted(now, manager.name); });
  }

  // Sends a share order to a manager. The agent converts the order's end to the manager's clock by a reading
  // that is up to 50 ms old. A share above the equal one may end early by that time but not late, so the
  // error shortens it; a share below the equal one may end late but not early, so the error lengthens it.
  void send_order(Agent& agent, const std::string& name, const WarmingEngine& engine, int eighths,
                  TimePoint until, std::uint64_t fence) {
    ++result.orders;
    Manager& manager = managers.at(name);
    const Duration reading = milliseconds(draw(50));
    const Manager::Order order{fence, eighths,
                               eighths < manager.equal_share ? until + reading : until - reading};
    if (unreachable_managers.contains(name) || chance(shape.loss)) return;
    schedule_for(manager, draw_delay(), [this, &agent, &manager, engine, order] {
      Manager::Order& current = manager.orders[engine];
      if (order.fence >= current.fence) current = order;
      if (unreachable_managers.contains(manager.name) || chance(shape.loss)) return;
      schedule_for(agent, draw_delay(), [this, &agent, &manager, engine, order] {
        agent.leases->on_share_acknowledged(now, manager.name, engine, order.fence);
      });
    });
    if (shape.broken == 2) agent.leases->on_share_acknowledged(now, name, engine, fence);
  }

  // Returns the eighths that a manager may use at an engine now.
  int share(const Manager& manager, const WarmingEngine& engine) const {
    const auto at = manager.orders.find(engine);
    if (at != manager.orders.end() && now < at->second.until) return at->second.eighths;
    const Duration quiet_period = BudgetLeases::startup_quiet_period(shape.window, shape.lease);
    if (at == manager.orders.end() && manager.started_at > Duration(0) &&
        now - manager.started_at < quiet_period)
      return 0;
    return manager.equal_share;
  }
  void add_violation(std::uint64_t& count, const std::string& text) {
    ++count;
    if (result.faults.size() < 5)
      result.faults.push_back(std::to_string(now.count() / 1000) + " ms: " + text);
  }
  // Lets all managers send for one step and checks the budgets.
  void run_step() {
    constexpr milliseconds step(100);
    for (const WarmingEngine& engine : engines) {
      int shares = 0;
      for (auto& [name, manager] : managers) {
        // The share of a suspended manager counts too, since it may be resumed at any moment.
        if (manager.alive) shares += share(manager, engine);
        if (!manager.alive || manager.suspended) continue;
        auto& sent = manager.sent[engine];
        while (!sent.empty() && sent.front().first <= now - shape.window) sent.pop_front();
        double used = 0;
        for (const auto& [when, amount] : sent) used += amount;
        const double mean_demand = manager.traffic * (std::chrono::duration<double>(step) / shape.window);
        // Work arrives unevenly. In the first window after a restart a manager sends nothing, because it
        // doesn't know what its previous process sent.
        const double demand = chance(0.5) ? 2 * mean_demand : 0;
        const double allowance = now - manager.started_at < shape.window && manager.started_at > Duration(0)
                                     ? 0
                                     : std::max(0.0, share(manager, engine) - used);
        const double amount = std::min(demand, allowance);
        if (is_measuring) manager.demanded += demand, manager.admitted += amount;
        if (amount <= 0) continue;
        sent.emplace_back(now, amount), all_sent[engine].emplace_back(now, amount);
      }
      auto& all = all_sent[engine];
      while (!all.empty() && all.front().first <= now - shape.window) all.pop_front();
      double sum = 0;
      for (const auto& [when, amount] : all) sum += amount;
      result.most = std::max(result.most, sum / budget);
      if (sum > budget + 1e-6)
        add_violation(result.over_limit, engine.name + " is sent " + std::to_string(sum / budget));
      if (shares > budget)
        add_violation(result.lent_twice, engine.name + ": shares add up to " + std::to_string(shares));
      if (is_measuring) result.used += sum / budget, ++samples;
    }
    schedule(step, [this] { run_step(); });
  }

  // Injects one random fault, if its kind is enabled.
  void inject_random_fault() {
    const auto pick = draw(6);
    Agent& agent = *agents[draw(agents.size())];
    Manager& manager =
        std::next(managers.begin(), static_cast<std::ptrdiff_t>(draw(managers.size())))->second;
    if (pick == 0 && shape.kills && agent.leases) {
      agent.leases.reset(), ++agent.generation;
      schedule(milliseconds(100 + draw(9000)), [this, &agent, disk_kept = !chance(0.3)] {
        if (!agent.leases) start(agent, disk_kept);
      });
    } else if (pick == 1 && shape.kills && manager.alive) {
      manager.alive = false, ++manager.generation;
      schedule(milliseconds(100 + draw(4000)), [this, &manager] { start(manager); });
    } else if (pick == 2 && shape.stops && agent.leases && !agent.suspended) {
      agent.suspended = true;
      schedule(milliseconds(100 + draw(20'000)),
               [&agent, generation = agent.generation] { resume(agent, generation); });
    } else if (pick == 3 && shape.stops && manager.alive && !manager.suspended) {
      manager.suspended = true;
      schedule(milliseconds(100 + draw(20'000)),
               [&manager, generation = manager.generation] { resume(manager, generation); });
    } else if (pick == 4 && shape.cuts) {
      for (const bool one_way = chance(0.4); const auto& other : agents) {
        if (other->number == agent.number) continue;
        cut_links.insert({agent.number, other->number});
        if (!one_way) cut_links.insert({other->number, agent.number});
      }
      schedule(milliseconds(500 + draw(15'000)), [this] { cut_links.clear(); });
    } else if (pick == 5 && shape.cuts) {
      unreachable_managers.insert(manager.name);
      schedule(milliseconds(500 + draw(15'000)), [this] { unreachable_managers.clear(); });
    }
  }
  // Resumes a suspended agent or manager, unless it was restarted since `generation`.
  template <class Process>
  static void resume(Process& process, std::uint64_t generation) {
    if (process.generation != generation) return;
    process.suspended = false;
    for (auto deferred = std::exchange(process.deferred, {}); const auto& action : deferred) action();
  }

  Result play() {
    const auto wall_start = std::chrono::steady_clock::now();
    while (now < shape.troubled) {
      time.run(std::min(now + milliseconds(100 + draw(700)), shape.troubled));
      if (shape.kills || shape.stops || shape.cuts) inject_random_fault();
    }
    shape.loss = 0, cut_links.clear(), unreachable_managers.clear();
    for (auto& agent : agents) {
      if (!agent->leases) start(*agent, true);
      resume(*agent, agent->generation);
    }
    for (auto& [name, manager] : managers) {
      if (!manager.alive) start(manager);
      resume(manager, manager.generation);
    }
    // Lets leases from the phase with faults expire and new ones be granted.
    time.run(now + shape.calm / 2);
    is_measuring = true;
    time.run(now + shape.calm / 2);
    result.used /= static_cast<double>(std::max<std::uint64_t>(samples, 1));
    double sum = 0, squares = 0, admitted = 0, demanded = 0;
    int busy = 0;
    for (const auto& [name, manager] : managers) {
      admitted += manager.admitted, demanded += manager.demanded;
      if (manager.demanded <= 0) continue;
      const double share = manager.admitted / manager.demanded;
      sum += share, squares += share * share, ++busy;
    }
    if (squares > 0) result.fairness = sum * sum / (busy * squares);
    result.wanted = demanded > 0 ? admitted / demanded : 1;
    for (const auto& agent : agents) result.open_at_end += agent->leases->lent();
    result.decision_us =
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - wall_start).count() /
        static_cast<double>(std::max<std::uint64_t>(time.event_count(), 1));
    result.digest = (result.orders * 1099511628211ULL ^ result.asks) * 1099511628211ULL ^ result.grants ^
                    static_cast<std::uint64_t>(admitted * 1e6);
    return result;
  }

  Shape shape;
  std::knuth_b random;
  Timeline time;
  const TimePoint& now = time.now;
  std::uint64_t samples = 0;
  int budget = 0;
  bool is_measuring = false;
  std::vector<WarmingEngine> engines;
  std::vector<std::unique_ptr<Agent>> agents;
  std::map<std::string, Manager> managers;
  std::map<WarmingEngine, std::deque<std::pair<Duration, double>>> all_sent;
  std::set<std::pair<int, int>> cut_links;     // from agent, to agent
  std::set<std::string> unreachable_managers;  // partitioned from their own agents
  Result result;
};

BudgetLeaseSimulation::BudgetLeaseSimulation(const Shape& shape) : impl_(std::make_unique<Impl>(shape)) {}
BudgetLeaseSimulation::~BudgetLeaseSimulation() = default;
BudgetLeaseSimulation::Result BudgetLeaseSimulation::play() { return impl_->play(); }

}  // namespace pearchute::lab

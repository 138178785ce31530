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
    int owner = 0, even = BudgetLeases::full_share;
    bool alive = true, stopped = false;
    TimePoint began{};
    std::uint64_t life = 1;
    double traffic = 0;  // eighths that it could send in a window, at each engine
    struct Order {
      std::uint64_t fence = 0;
      int eighths = 0;
      TimePoint until{};
    };
    std::map<WarmingEngine, Order> orders;
    std::map<WarmingEngine, std::deque<std::pair<Duration, double>>>
        sent;  // by this life, in the last window
    std::deque<std::function<void()>> put_off;
    double got = 0, could = 0;
  };
  struct Agent final : BudgetLeases::Host {
    Impl* model = nullptr;
    int number = 0;
    std::string name;
    std::unique_ptr<BudgetLeases> parts;
    std::uint64_t incarnation = 0, life = 0;
    std::map<std::string, BudgetLeases::BudgetLease> disk;
    bool stopped = false;
    std::deque<std::function<void()>> put_off;
    bool persist(const std::map<std::string, BudgetLeases::BudgetLease>& loans) override {
      if (model->by(0.02)) return false;  // a full disk, now and then
      disk = loans;
      return true;
    }
    void send_share(const std::string& manager, const WarmingEngine& engine, int eighths, TimePoint until,
                    std::uint64_t fence) override {
      model->tell(*this, manager, engine, eighths, until, fence);
    }
    void send_request(const std::string& agent, const BudgetLeaseRequest& ask) override {
      ++model->result.asks;
      Agent& to = model->of(agent);
      model->carry(*this, to, [this, &to, ask] { to.parts->on_request(model->now, name, ask); });
    }
    void send_response(const std::string& agent, const BudgetLeaseResponse& answer) override {
      model->result.grants += answer.eighths > 0;
      Agent& to = model->of(agent);
      model->carry(*this, to, [this, &to, answer] { to.parts->on_response(model->now, name, answer); });
    }
  };

  explicit Impl(const Shape& s) : shape(s), chance(static_cast<std::knuth_b::result_type>(s.seed)) {
    for (int e = 0; e < shape.engines; ++e) engines.push_back({"e" + std::to_string(e), 1});
    for (int a = 0; a < shape.agents; ++a) {
      auto& agent = agents.emplace_back(std::make_unique<Agent>());
      agent->model = this, agent->number = a, agent->name = "a" + std::to_string(a);
      for (int m = 0; m < shape.managers_each; ++m) {
        Manager& manager = managers["n" + std::to_string(a) + "." + std::to_string(m)];
        manager.name = "n" + std::to_string(a) + "." + std::to_string(m), manager.owner = a;
        manager.traffic = 1;
      }
    }
    std::vector<Manager*> order;
    for (auto& [name, manager] : managers) order.push_back(&manager);
    std::ranges::shuffle(order, chance);
    const auto busy =
        std::max<std::size_t>(1, static_cast<std::size_t>(shape.busy * static_cast<double>(order.size())));
    for (std::size_t n = 0; n < busy; ++n) order[n]->traffic = 20;
    int late = 0;
    for (auto& [name, manager] : managers) {
      if (late++ < shape.newcomers) manager.even = 0;
      budget += manager.even;
    }
    double sum = 0;
    for (auto& [name, manager] : managers) sum += manager.traffic;
    for (auto& [name, manager] : managers) manager.traffic *= shape.load * budget / sum;
    for (auto& agent : agents) start(*agent, true);
    for (auto& [name, manager] : managers) begin(manager);
    tick();
  }
  std::uint64_t draw(std::uint64_t below) { return chance() % below; }
  bool by(double share) { return static_cast<double>(draw(1'000'000)) < share * 1e6; }
  void at(Duration in, std::function<void()> what) { time.at(now + in, std::move(what)); }
  Agent& of(const std::string& name) { return *agents[static_cast<std::size_t>(std::stoi(name.substr(1)))]; }

  void at_agent(Duration in, Agent& agent, std::function<void()> what) {
    at(in, [&agent, life = agent.life, what] {
      if (agent.life != life || !agent.parts) return;
      if (agent.stopped) agent.put_off.push_back(what);
      else what();
    });
  }
  void at_manager(Duration in, Manager& manager, std::function<void()> what) {
    at(in, [&manager, life = manager.life, what] {
      if (manager.life != life || !manager.alive) return;
      if (manager.stopped) manager.put_off.push_back(what);
      else what();
    });
  }
  Duration way() { return milliseconds(1 + draw(by(0.05) ? 8000 : 30)); }
  void carry(Agent& from, Agent& to, std::function<void()> arrives) {
    for (int n = by(shape.doubled) ? 2 : 1; n > 0; --n) {
      if (cut.contains({from.number, to.number}) || by(shape.loss)) continue;
      at_agent(way(), to, arrives);
    }
  }

  void start(Agent& agent, bool disk_kept) {
    ++agent.life, ++agent.incarnation;
    agent.stopped = false, agent.put_off.clear();
    if (!disk_kept) agent.disk.clear();
    const Duration window = shape.broken == 1 ? milliseconds(1) : shape.window;
    agent.parts = std::make_unique<BudgetLeases>(agent, agent.name, agent.incarnation, window, shape.lease);
    std::map<std::string, int> own;
    for (auto& [name, manager] : managers) {
      if (manager.owner == agent.number) own[name] = manager.even;
    }
    agent.parts->set_managers(own);
    const bool first = agent.life == 1;
    agent.parts->restore(now, agent.disk, !disk_kept && !first);
    beat(agent);
  }
  void beat(Agent& agent) {
    for (auto& [name, manager] : managers) {
      if (manager.owner != agent.number || !manager.alive) continue;
      for (const WarmingEngine& engine : engines)
        agent.parts->set_demand(now, name, engine, static_cast<int>(std::lround(manager.traffic)));
    }
    std::vector<std::string> lenders;
    if (shape.lends) {
      for (const auto& other : agents) lenders.push_back(other->name);
      std::ranges::rotate(lenders, lenders.begin() + static_cast<std::ptrdiff_t>(draw(lenders.size())));
    }
    agent.parts->on_timer(now, lenders);
    at_agent(milliseconds(400 + draw(200)), agent, [this, &agent] { beat(agent); });
  }
  void begin(Manager& manager) {
    manager.alive = true, manager.stopped = false, ++manager.life, manager.began = now;
    manager.orders.clear(), manager.sent.clear(), manager.put_off.clear();
    // Its agent sees another life at its next look.
    Agent& agent = *agents[static_cast<std::size_t>(manager.owner)];
    at_agent(milliseconds(200), agent,
             [this, &agent, &manager] { agent.parts->on_manager_restarted(now, manager.name); });
  }

  // The agent has read the manager's clock before: the reading is up to 50 ms old, which shortens what holds
  // at most and lengthens what holds at least.
  void tell(Agent& agent, const std::string& name, const WarmingEngine& engine, int eighths, TimePoint until,
            std::uint64_t fence) {
    ++result.orders;
    Manager& manager = managers.at(name);
    const Duration reading = milliseconds(draw(50));
    const Manager::Order order{fence, eighths, eighths < manager.even ? until + reading : until - reading};
    if (cut_off.contains(name) || by(shape.loss)) return;
    at_manager(way(), manager, [this, &agent, &manager, engine, order] {
      Manager::Order& had = manager.orders[engine];
      if (order.fence >= had.fence) had = order;
      if (cut_off.contains(manager.name) || by(shape.loss)) return;
      at_agent(way(), agent, [this, &agent, &manager, engine, order] {
        agent.parts->on_share_acknowledged(now, manager.name, engine, order.fence);
      });
    });
    if (shape.broken == 2) agent.parts->on_share_acknowledged(now, name, engine, fence);
  }

  int share(const Manager& manager, const WarmingEngine& engine) const {
    const auto at = manager.orders.find(engine);
    if (at != manager.orders.end() && now < at->second.until) return at->second.eighths;
    const Duration silent = BudgetLeases::startup_quiet_period(shape.window, shape.lease);
    if (at == manager.orders.end() && manager.began > Duration(0) && now - manager.began < silent) return 0;
    return manager.even;
  }
  void fault(std::uint64_t& count, const std::string& what) {
    ++count;
    if (result.faults.size() < 5)
      result.faults.push_back(std::to_string(now.count() / 1000) + " ms: " + what);
  }
  void tick() {
    constexpr milliseconds step(100);
    for (const WarmingEngine& engine : engines) {
      int shares = 0;
      for (auto& [name, manager] : managers) {
        // What it may send counts whether it is stopped or not: it may go on at any moment.
        if (manager.alive) shares += share(manager, engine);
        if (!manager.alive || manager.stopped) continue;
        auto& sent = manager.sent[engine];
        while (!sent.empty() && sent.front().first <= now - shape.window) sent.pop_front();
        double used = 0;
        for (const auto& [when, amount] : sent) used += amount;
        const double want = manager.traffic * (std::chrono::duration<double>(step) / shape.window);
        // Jobs come unevenly; and in its first window a life knows nothing of what the one before has sent.
        const double could = by(0.5) ? 2 * want : 0;
        const double may = now - manager.began < shape.window && manager.began > Duration(0)
                               ? 0
                               : std::max(0.0, share(manager, engine) - used);
        const double amount = std::min(could, may);
        if (calm) manager.could += could, manager.got += amount;
        if (amount <= 0) continue;
        sent.emplace_back(now, amount), all_sent[engine].emplace_back(now, amount);
      }
      auto& all = all_sent[engine];
      while (!all.empty() && all.front().first <= now - shape.window) all.pop_front();
      double sum = 0;
      for (const auto& [when, amount] : all) sum += amount;
      result.most = std::max(result.most, sum / budget);
      if (sum > budget + 1e-6)
        fault(result.over_limit, engine.name + " is sent " + std::to_string(sum / budget));
      if (shares > budget)
        fault(result.lent_twice, engine.name + ": shares add up to " + std::to_string(shares));
      if (calm) result.used += sum / budget, ++samples;
    }
    at(step, [this] { tick(); });
  }

  void strike() {
    const auto pick = draw(6);
    Agent& agent = *agents[draw(agents.size())];
    Manager& manager =
        std::next(managers.begin(), static_cast<std::ptrdiff_t>(draw(managers.size())))->second;
    if (pick == 0 && shape.kills && agent.parts) {
      agent.parts.reset(), ++agent.life;
      at(milliseconds(100 + draw(9000)), [this, &agent, kept = !by(0.3)] {
        if (!agent.parts) start(agent, kept);
      });
    } else if (pick == 1 && shape.kills && manager.alive) {
      manager.alive = false, ++manager.life;
      at(milliseconds(100 + draw(4000)), [this, &manager] { begin(manager); });
    } else if (pick == 2 && shape.stops && agent.parts && !agent.stopped) {
      agent.stopped = true;
      at(milliseconds(100 + draw(20'000)), [&agent, life = agent.life] { go_on(agent, life); });
    } else if (pick == 3 && shape.stops && manager.alive && !manager.stopped) {
      manager.stopped = true;
      at(milliseconds(100 + draw(20'000)), [&manager, life = manager.life] { go_on(manager, life); });
    } else if (pick == 4 && shape.cuts) {
      for (const bool one_way = by(0.4); const auto& other : agents) {
        if (other->number == agent.number) continue;
        cut.insert({agent.number, other->number});
        if (!one_way) cut.insert({other->number, agent.number});
      }
      at(milliseconds(500 + draw(15'000)), [this] { cut.clear(); });
    } else if (pick == 5 && shape.cuts) {
      cut_off.insert(manager.name);
      at(milliseconds(500 + draw(15'000)), [this] { cut_off.clear(); });
    }
  }
  template <class One>
  static void go_on(One& one, std::uint64_t life) {
    if (one.life != life) return;
    one.stopped = false;
    for (auto put_off = std::exchange(one.put_off, {}); const auto& what : put_off) what();
  }

  Result play() {
    const auto from = std::chrono::steady_clock::now();
    while (now < shape.troubled) {
      time.run(std::min(now + milliseconds(100 + draw(700)), shape.troubled));
      if (shape.kills || shape.stops || shape.cuts) strike();
    }
    shape.loss = 0, cut.clear(), cut_off.clear();
    for (auto& agent : agents) {
      if (!agent->parts) start(*agent, true);
      go_on(*agent, agent->life);
    }
    for (auto& [name, manager] : managers) {
      if (!manager.alive) begin(manager);
      go_on(manager, manager.life);
    }
    time.run(now + shape.calm / 2);  // until leases of before are over, and new ones stand
    calm = true;
    time.run(now + shape.calm / 2);
    result.used /= static_cast<double>(std::max<std::uint64_t>(samples, 1));
    double sum = 0, squares = 0, got = 0, could = 0;
    int busy = 0;
    for (const auto& [name, manager] : managers) {
      got += manager.got, could += manager.could;
      if (manager.could <= 0) continue;
      const double part = manager.got / manager.could;
      sum += part, squares += part * part, ++busy;
    }
    if (squares > 0) result.fairness = sum * sum / (busy * squares);
    result.wanted = could > 0 ? got / could : 1;
    for (const auto& agent : agents) result.open_at_end += agent->parts->lent();
    result.decision_us =
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - from).count() /
        static_cast<double>(std::max<std::uint64_t>(time.steps(), 1));
    result.digest = (result.orders * 1099511628211ULL ^ result.asks) * 1099511628211ULL ^ result.grants ^
                    static_cast<std::uint64_t>(got * 1e6);
    return result;
  }

  Shape shape;
  std::knuth_b chance;
  Timeline time;
  const TimePoint& now = time.now;
  std::uint64_t samples = 0;
  int budget = 0;
  bool calm = false;
  std::vector<WarmingEngine> engines;
  std::vector<std::unique_ptr<Agent>> agents;
  std::map<std::string, Manager> managers;
  std::map<WarmingEngine, std::deque<std::pair<Duration, double>>> all_sent;
  std::set<std::pair<int, int>> cut;
  std::set<std::string> cut_off;  // managers that their agents don't reach
  Result result;
};

BudgetLeaseSimulation::BudgetLeaseSimulation(const Shape& shape) : impl_(std::make_unique<Impl>(shape)) {}
BudgetLeaseSimulation::~BudgetLeaseSimulation() = default;
BudgetLeaseSimulation::Result BudgetLeaseSimulation::play() { return impl_->play(); }

}  // namespace pearchute::lab

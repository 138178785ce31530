#include "lab/simulations/rollout_simulation.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <random>

#include "lab/simulations/timeline.h"

namespace pearchute::lab {

using namespace fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// An agent is killed: what it was doing ends where it was thrown.
struct Killed {};

}  // namespace

const std::vector<std::string>& RolloutSimulation::all_points() {
  static const std::vector<std::string> all = {
      "before claim",       "after claim",      "before claim ended",
      "after claim ended",  "before step",      "after step",
      "before start",       "after start",      "before terminate",
      "after terminate",    "before kill",      "after kill",
      "before step ended",  "after step ended", "started",
      "asked to end",       "called off",       "drain ordered",
      "terminated",         "killed",           "before rollout kept",
      "after rollout kept", "claims asked",     "step asked",
      "claims released",    "claims renewed"};
  return all;
}

struct RolloutSimulation::Impl {
  struct Process {
    TimePoint started{}, serves_at{};
    int version = 0;
    bool hangs = false, drains = false;
    std::optional<TimePoint> ends_at, drained_at, falls_at;
  };
  struct Instance {
    std::string name, zone;
    std::size_t agent = 0;
    std::optional<Process> process;
    TimePoint left_serving{-1'000'000'000};  // last time by itself
  };
  struct Agent;
  // The coordinator's side of a rollout, on its agent.
  struct Coordinator final : Rollout::Host {
    Coordinator(Impl& m, std::size_t a, RolloutPlan plan)
        : model(m), at(a), rollout(*this, std::move(plan)) {}
    bool persist(Rollout::State state) override {
      model.pass("before rollout kept", at);
      kept_state = state;
      kept_stages = rollout.stages();
      model.pass("after rollout kept", at);
      return true;
    }
    void request_leases(const std::string& agent, const std::vector<std::string>& instances) override;
    void renew(const std::string& agent, const std::vector<std::string>& wanted) override;
    void release(const std::string& agent) override;
    void step(const std::string& agent, const std::string& instance, const Step& step) override;
    void request_fleet_status() override;
    void on_event(std::string_view) override {}
    Impl& model;
    std::size_t at;
    Rollout::State kept_state = Rollout::State::planned;
    std::map<std::string, Rollout::Stage> kept_stages;
    std::set<std::string> answered;  // asks, by their text
    Rollout rollout;
  };
  struct Agent final : LeaseOwner::Host {
    Agent(Impl& m, std::size_t n) : model(m), number(n), name("a" + std::to_string(n)) {}
    bool write(const std::map<std::string, LeaseOwner::PersistedInstance>& kept,
               const std::string& why) override {
      model.pass("before " + why, number);
      for (const auto& [instance, one] : kept) disk[instance] = one;
      model.pass("after " + why, number);
      return true;
    }
    void start(const std::string& instance, int version) override {
      model.start(instance, version);
      model.pass("started", number);
    }
    void request_shutdown(const std::string& instance, Duration within) override {
      model.leaves(instance, *this);
      if (auto& process = model.instance(instance).process; process && !process->ends_at && !process->hangs)
        process->ends_at = model.now + std::min(within, model.between(200, 1500));
      model.pass("asked to end", number);
    }
    void cancel_shutdown(const std::string& instance) override {
      // It may be too late: one that has begun to leave goes.
      auto& process = model.instance(instance).process;
      if (process && process->ends_at && *process->ends_at - model.now > milliseconds(100))
        process->ends_at.reset();
      model.pass("called off", number);
    }
    void set_drain(const std::string& instance, bool drains, const Step&) override {
      if (drains) model.leaves(instance, *this);
      if (auto& process = model.instance(instance).process) {
        process->drains = drains;
        process->drained_at.reset();
        if (drains) process->drained_at = model.now + model.between(100, 1000);
      }
      model.pass("drain ordered", number);
    }
    void terminate(const std::string& instance) override {
      model.leaves(instance, *this);
      if (auto& process = model.instance(instance).process; process && model.chance() % 2)
        process->ends_at = model.now + milliseconds(100);
      model.pass("terminated", number);
    }
    void kill(const std::string& instance) override {
      if (auto& process = model.instance(instance).process) process->ends_at = model.now;
      model.pass("killed", number);
    }
    void step_ended(const std::string&, const Step&, StepEnd, const std::string&) override {}
    void lease_ended(const std::string& instance, const Lease& lease, LeaseTable::EndReason why) override {
      if (why != LeaseTable::EndReason::run_out) return;
      // The other side must have given it up by now, by its own clock.
      for (const auto& coordinator : model.coordinators) {
        if (!coordinator || coordinator->rollout.plan().id != lease.operation) continue;
        const auto until = coordinator->rollout.lease_until(name);
        if (until && *until > model.now && model.agents[coordinator->at]->runs())
          model.fault(model.result.early_give_ups,
                      instance + " is given up before its coordinator gives it up");
      }
    }
    void wake_at(Duration) override {}
    bool runs() const { return alive && !stopped; }

    Impl& model;
    std::size_t number;
    std::string name;
    bool alive = true, stopped = false, cut = false;
    std::uint64_t life = 1;
    std::map<std::string, LeaseOwner::PersistedInstance> disk;
    std::unique_ptr<LeaseOwner> keeper;
  };

  explicit Impl(const Shape& s) : shape(s), chance(static_cast<std::knuth_b::result_type>(s.seed)) {
    for (int a = 0; a < shape.agents; ++a) {
      agents.push_back(std::make_unique<Agent>(*this, static_cast<std::size_t>(a)));
      for (int i = 0; i < shape.instances_each; ++i) {
        Instance one;
        one.name = "i" + std::to_string(a * shape.instances_each + i);
        one.zone = "z" + std::to_string((a * shape.instances_each + i) % shape.zones);
        one.agent = static_cast<std::size_t>(a);
        one.process = Process{seconds(-100), seconds(-99), 1, shape.hangs > drawn(), false, {}, {}, {}};
        agents.back()->disk[one.name] = {true, 1, 0, {}, {}, {}, {}};
        by_name[one.name] = instances.size();
        instances.push_back(std::move(one));
      }
    }
    for (const auto& agent : agents) raise(*agent);
  }

  // ---- Chance, time, faults
  double drawn() { return std::generate_canonical<double, 32>(chance); }
  Duration between(unsigned least_ms, unsigned most_ms) {
    return milliseconds(least_ms + chance() % (most_ms - least_ms + 1));
  }
  void at(TimePoint when, std::function<void()> what) { time.at(when, std::move(what)); }
  void fault(std::uint64_t& count, const std::string& what) {
    ++count;
    if (result.faults.size() < 10)
      result.faults.push_back(std::to_string(now.count() / 1000) + " ms: " + what);
  }
  void pass(const std::string& point, std::size_t agent) {
    result.points.insert(point);
    ++passes;
    const bool named = point == shape.kill_at && ++named_passes == shape.kill_pass;
    const bool random = shape.kill_at == "random" && passes == kill_at_pass;
    if ((!named && !random) || result.killed) return;
    result.killed = true;
    killed_at = now;
    const std::size_t coordinator = coordinators.empty() ? agent : coordinators.front()->at;
    std::set<std::size_t> whom;
    if (shape.kill_whom != "coordinator") whom.insert(agent);
    if (shape.kill_whom != "passer") whom.insert(coordinator);
    for (const std::size_t one : whom) end(one);
    if (!whom.contains(agent)) return;
    throw Killed{};
  }
  void end(std::size_t number) {
    Agent& agent = *agents[number];
    agent.alive = false;
    agent.life += 1;
    if (!shape.comes_back) return;
    at(now + between(300, 3000), [this, number] {
      agents[number]->alive = true;
      raise(*agents[number]);
      for (auto& coordinator : coordinators) {
        if (coordinator->at != number || coordinator->kept_state == Rollout::State::planned) continue;
        auto fresh = std::make_unique<Coordinator>(*this, number, coordinator->rollout.plan());
        const auto stages = coordinator->kept_stages;
        const auto state = coordinator->kept_state;
        graveyard.push_back(std::move(coordinator));
        coordinator = std::move(fresh);
        const bool was_over = is_over(state);
        coordinator->kept_state = state, coordinator->kept_stages = stages;
        if (was_over) {
          finished = true;
          continue;
        }
        guarded([&] { coordinator->rollout.restore(now, stages); });
        // Its operator comes back to it after a while.
        const bool goes_on = chance() % 2;
        at(now + between(500, 4000), [this, goes_on, which = coordinator.get()] {
          if (agents[which->at]->runs())
            guarded([&] { goes_on ? which->rollout.resume(now) : which->rollout.abort(now); });
        });
      }
    });
  }
  void raise(Agent& agent) {
    agent.keeper = std::make_unique<LeaseOwner>(agent);
    for (const auto& [instance, kept] : agent.disk) agent.keeper->add_instance(now, instance, kept);
  }
  template <class What>
  void guarded(What what) {
    const auto begun = std::chrono::steady_clock::now();
    try {
      what();
    } catch (const Killed&) {
    }
    result.decisions += 1;
    spent += std::chrono::steady_clock::now() - begun;
  }

  // ---- Instances
  Instance& instance(const std::string& name) { return instances[by_name.at(name)]; }
  bool serves(const Instance& one) const {
    return one.process && now >= one.process->serves_at && !one.process->ends_at && !one.process->drains;
  }
  void start(const std::string& name, int version) {
    Instance& one = instance(name);
    if (one.process) return;  // the address is in use: the new one ends at once
    Process process{now, now + between(200, 900), version, false, false, {}, {}, {}};
    if (version != 1 && shape.falls > drawn()) process.falls_at = now + milliseconds(100);
    one.process = process;
  }
  // It stops serving by somebody's act: its zone has to bear it.
  void leaves(const std::string& name, const Agent&) {
    const Instance& one = instance(name);
    if (!serves(one)) return;
    const auto least = floor.find(one.zone);
    if (least == floor.end() || shape.rival) return;
    int others = 0;
    for (const Instance& other : instances) {
      if (other.zone != one.zone || other.name == name) continue;
      // One that fell a moment ago may not have been seen yet.
      others += serves(other) || now - other.left_serving < seconds(2);
    }
    if (others < least->second)
      fault(result.below_floor, name + " stops, with " + std::to_string(others) + " others in " + one.zone);
  }
  void pass_time() {
    for (Instance& one : instances) {
      if (!one.process) continue;
      if (one.process->falls_at && now >= *one.process->falls_at)
        one.process->ends_at = now, one.left_serving = now;
      if (one.process->ends_at && now >= *one.process->ends_at) one.process.reset();
    }
  }
  void look(Agent& agent) {
    if (agent.runs()) {
      for (Instance& one : instances) {
        if (one.agent != agent.number || !agent.runs()) continue;
        InstanceLifecycle::Observation seen;
        if (one.process) {
          const Process& process = *one.process;
          seen.ours = true, seen.answers = seen.is_ours = now >= process.serves_at;
          seen.serves = seen.answers && !process.ends_at;
          seen.drains = process.drains, seen.version = process.version;
          seen.drained = process.drained_at && now >= *process.drained_at;
        }
        guarded([&] { agent.keeper->observe(now, one.name, seen); });
      }
      if (agent.runs()) guarded([&] { agent.keeper->on_timer(now); });
    }
    at(now + milliseconds(100), [this, &agent] { look(agent); });
  }

  // ---- The network: from one agent to another, with loss, doubles and delay. What runs at the other end
  // runs only where that one runs, in the life to which it was sent if `life` says so.
  void send(std::size_t from, std::size_t to, std::function<void()> what) {
    for (int copy = 0; copy < (drawn() < shape.doubled ? 2 : 1); ++copy) {
      result.messages += 1;
      if (from != to && (drawn() < shape.loss || agents[from]->cut || agents[to]->cut)) continue;
      const Duration way = from == to ? Duration(100) : between(1, 40);
      at(now + way, [this, to, what] { deliver(to, what); });
    }
  }
  void deliver(std::size_t to, const std::function<void()>& what) {
    Agent& agent = *agents[to];
    if (agent.stopped) return at(now + milliseconds(50), [this, to, what] { deliver(to, what); });
    if (agent.alive) guarded(what);
  }
  std::size_t number_of(const std::string& agent) const {
    return static_cast<std::size_t>(std::stoul(agent.substr(1)));
  }

  void coordinate(Coordinator* which) {
    if (agents[which->at]->runs() && current(which)) guarded([&] { which->rollout.on_timer(now); });
    if (current(which)) at(now + milliseconds(200), [this, which] { coordinate(which); });
  }
  bool current(const Coordinator* which) const {
    return std::ranges::any_of(coordinators, [&](const auto& one) { return one.get() == which; });
  }

  Result play(RolloutPlan plan);

  const Shape shape;
  std::knuth_b chance;
  Timeline time;
  const TimePoint& now = time.now;
  std::uint64_t passes = 0, kill_at_pass = 0;
  int named_passes = 0;
  std::vector<std::unique_ptr<Agent>> agents;
  std::vector<Instance> instances;
  std::map<std::string, std::size_t> by_name;
  std::map<std::string, int> floor;
  std::vector<std::unique_ptr<Coordinator>> coordinators, graveyard;
  TimePoint killed_at{};
  bool finished = false;
  std::chrono::steady_clock::duration spent{};
  StepKind kind = StepKind::restart;
  Result result;

  // The state in which an instance may rest, by its agent's word and by the truth.
  bool rests_well(const Instance& one, const InstanceLifecycle& life) const {
    if (life.condition() == InstanceState::serving) return serves(one);
    return kind == StepKind::drain && life.condition() == InstanceState::drained && one.process &&
           one.process->drains;
  }
};

// Asks are sent again, a few times, until they are answered: each is harmless when it comes twice.
void RolloutSimulation::Impl::Coordinator::request_leases(const std::string& agent,
                                                          const std::vector<std::string>& wanted) {
  Impl& m = model;
  const std::size_t to = m.number_of(agent);
  const TimePoint first_sent = m.now;
  const std::string key = "claims " + agent + std::to_string(first_sent.count());
  const LeaseRequest ask{rollout.plan().id, rollout.plan().who, wanted, rollout.plan().lease_duration,
                         rollout.plan().take_over};
  const std::size_t from = at;
  const std::function<void(int)> send = [&m, this, from, to, agent, key, ask, first_sent](int) {
    m.send(from, to, [&m, this, from, to, agent, key, ask, first_sent] {
      const LeaseTable::Answer answer = m.agents[to]->keeper->acquire(m.now, ask);
      std::string holder = answer.fault;
      for (const auto& held : answer.conflicts) holder = held.instance + " is held by " + held.lease.who;
      m.send(to, from, [&m, this, agent, key, answer, holder, first_sent] {
        if (!m.current(this) || !answered.insert(key).second) return;
        rollout.on_lease_response(m.now, first_sent, agent, answer.granted, answer.fences, holder);
      });
    });
  };
  for (int n = 0; n < 5; ++n) {
    m.at(m.now + milliseconds(700 * n), [&m, this, from, key, send, n] {
      if (m.agents[from]->runs() && m.current(this) && !answered.contains(key)) send(n);
    });
  }
  m.pass("claims asked", at);
}

void RolloutSimulation::Impl::Coordinator::renew(const std::string& agent,
                                                 const std::vector<std::string>& wanted) {
  Impl& m = model;
  const std::size_t to = m.number_of(agent), from = at;
  const TimePoint sent = m.now;
  m.send(from, to,
         [&m, this, from, to, agent, wanted, sent, id = rollout.plan().id,
          lease_duration = rollout.plan().lease_duration] {
           const bool live = m.agents[to]->keeper->renew(m.now, id, wanted, lease_duration);
           m.send(to, from, [&m, this, agent, sent, live] {
             if (m.current(this)) rollout.renewed(m.now, sent, agent, live);
           });
         });
  m.pass("claims renewed", at);
}

void RolloutSimulation::Impl::Coordinator::release(const std::string& agent) {
  Impl& m = model;
  const std::size_t to = m.number_of(agent);
  m.send(at, to, [&m, to, id = rollout.plan().id] { m.agents[to]->keeper->release(m.now, id); });
  m.pass("claims released", at);
}

void RolloutSimulation::Impl::Coordinator::step(const std::string& agent, const std::string& instance,
                                                const Step& step) {
  Impl& m = model;
  const std::size_t to = m.number_of(agent), from = at;
  const std::string key = "step " + instance + std::to_string(m.now.count());
  m.result.steps += 1;
  for (int n = 0; n < 5; ++n) {
    m.at(m.now + milliseconds(700 * n), [&m, this, from, to, key, instance, step] {
      if (!m.agents[from]->runs() || !m.current(this) || answered.contains(key)) return;
      m.send(from, to, [&m, this, from, to, key, instance, step] {
        LeaseOwner& keeper = *m.agents[to]->keeper;
        std::string fault;
        const bool accepted = keeper.step(m.now, instance, step, fault);
        if (accepted && step.fence != keeper.leases().last_fence(instance))
          m.fault(m.result.fence_breaks, instance + " takes a step under an old fence");
        m.send(to, from, [&m, this, key, instance, accepted, fault] {
          if (!m.current(this) || !answered.insert(key).second) return;
          rollout.on_step_response(m.now, instance, accepted, fault);
        });
      });
    });
  }
  m.pass("step asked", at);
}

void RolloutSimulation::Impl::Coordinator::request_fleet_status() {
  Impl& m = model;
  for (std::size_t to = 0; to < m.agents.size(); ++to) {
    m.send(at, to, [&m, this, to, from = at] {
      struct Shown {
        std::string name, zone;
        InstanceState condition;
        std::optional<InstanceLifecycle::CompletedStep> past;
      };
      std::vector<Shown> shown;
      for (const Instance& one : m.instances) {
        if (one.agent != to) continue;
        const InstanceLifecycle* life = m.agents[to]->keeper->lifecycle(one.name);
        shown.push_back({one.name, one.zone, life->condition(), life->last_step()});
      }
      m.send(to, from, [&m, this, shown] {
        if (!m.current(this)) return;
        for (const Shown& one : shown) {
          rollout.on_instance_state(m.now, one.name, one.zone, one.condition);
          if (one.past && one.past->step.operation == rollout.plan().id)
            rollout.step_ended(m.now, one.name, one.past->step, one.past->end, one.past->detail);
        }
        rollout.on_service_level(m.now, 1.0);
      });
    });
  }
}

RolloutSimulation::Result RolloutSimulation::Impl::play(RolloutPlan plan) {
  for (const Instance& one : instances) plan.targets.push_back({one.name, agents[one.agent]->name, one.zone});
  floor = plan.min_serving, kind = plan.kind;
  // Somewhere within the run; a rollout of this size passes some twenty points an instance.
  kill_at_pass = 1 + chance() % (20 * instances.size());
  for (const auto& agent : agents) at(between(0, 100), [this, &a = *agent] { look(a); });
  coordinators.push_back(std::make_unique<Coordinator>(*this, 0, plan));
  Coordinator* first = coordinators.front().get();
  at(milliseconds(300), [this, first] { guarded([&] { first->rollout.begin(now); }); });
  const auto follow = [this] {
    for (const auto& one : coordinators) coordinate(one.get());
  };
  at(milliseconds(310), follow);
  // Where an agent comes back with its rollout, that one is woken, too.
  std::vector<const Coordinator*> woken = {first};
  if (drawn() < shape.cut_off) {
    const std::size_t whom = chance() % agents.size();
    const TimePoint from = between(500, 8000), to = from + between(500, 20000);
    at(from, [this, whom] { agents[whom]->cut = true; });
    at(to, [this, whom] { agents[whom]->cut = false; });
  }
  if (drawn() < shape.stopped) {
    const std::size_t whom = chance() % agents.size();
    const TimePoint from = between(500, 8000), to = from + between(500, 20000);
    at(from, [this, whom] { agents[whom]->stopped = true; });
    at(to, [this, whom] { agents[whom]->stopped = false; });
  }
  if (shape.rival) {
    at(between(1000, 6000), [this, plan] {
      RolloutPlan other = plan;
      other.id = "rival", other.who = "bob", other.take_over = true, other.kind = StepKind::restart;
      coordinators.push_back(std::make_unique<Coordinator>(*this, agents.size() - 1, other));
      Coordinator* rival = coordinators.back().get();
      if (agents[rival->at]->runs()) guarded([&] { rival->rollout.begin(now); });
      coordinate(rival);
    });
  }
  // Half of the machine's time is not simulated: the fleet rests once nothing is under way any more.
  const Duration longest = seconds(400) + plan.lease_duration * 3;
  Duration quiet_since{-1};
  while (!time.over() && now < longest) {
    time.step([&] { pass_time(); });
    for (const auto& one : coordinators) {
      if (std::ranges::find(woken, one.get()) == woken.end())
        woken.push_back(one.get()), coordinate(one.get());
    }
    const bool over = std::ranges::all_of(coordinators, [&](const auto& one) {
      return one->rollout.over() || !agents[one->at]->alive || finished ||
             one->rollout.state() == Rollout::State::paused;
    });
    if (over && result.lasted == Duration(0) && coordinators.front()->rollout.over()) result.lasted = now;
    const bool settled = std::ranges::all_of(instances, [&](const Instance& one) {
      const Agent& agent = *agents[one.agent];
      if (!agent.alive) return !shape.comes_back;
      const InstanceLifecycle& life = *agent.keeper->lifecycle(one.name);
      const bool held = agent.keeper->leases().lease_on(now, one.name).has_value();
      return !life.current_step() && !held && rests_well(one, life);
    });
    if (over && settled) {
      if (quiet_since < Duration(0)) quiet_since = now;
      // Long enough for what is still on its way.
      if (now - quiet_since > seconds(5)) break;
    } else {
      quiet_since = Duration(-1);
    }
  }
  if (result.killed) result.recovery = (quiet_since < Duration(0) ? now : quiet_since) - killed_at;
  result.over = std::ranges::all_of(coordinators, [](const auto& one) { return one->rollout.over(); });
  result.state = coordinators.front()->rollout.state();
  for (const Instance& one : instances) {
    const Agent& agent = *agents[one.agent];
    if (!agent.alive) continue;  // it is known that nobody looks after it
    const InstanceLifecycle& life = *agent.keeper->lifecycle(one.name);
    const bool falls = one.process ? false : shape.falls > 0 && life.crash_count() > 0;
    const bool known =
        !life.current_step() &&
        (falls ? life.condition() == InstanceState::down || life.condition() == InstanceState::starting
               : rests_well(one, life) && one.process->version == life.version());
    if (!known)
      fault(result.unknown_states,
            one.name + " is " + std::string(name_of(life.condition())) + ", version " +
                std::to_string(life.version()) +
                (one.process ? ", runs " + std::to_string(one.process->version) : ", no process") +
                (life.current_step() ? ", a step is under way" : ""));
  }
  result.going_back = coordinators.front()->rollout.rolling_back();
  for (const Instance& one : instances) result.versions[one.name] = one.process ? one.process->version : 0;
  // What the rollout calls done is so.
  if (!shape.rival && plan.kind == StepKind::change && shape.falls == 0) {
    const Rollout& rollout = coordinators.front()->rollout;
    for (const auto& [name, stage] : rollout.stages()) {
      const Instance& one = instance(name);
      if (stage == Rollout::Stage::done && agents[one.agent]->alive && one.process &&
          one.process->version != plan.version && !rollout.rolling_back())
        fault(result.unknown_states,
              name + " is called done and runs " + std::to_string(one.process->version));
    }
  }
  result.decision_us = std::chrono::duration<double, std::micro>(spent).count() /
                       static_cast<double>(std::max<std::uint64_t>(1, result.decisions));
  return result;
}

RolloutSimulation::RolloutSimulation(const Shape& shape) : impl_(std::make_unique<Impl>(shape)) {}
RolloutSimulation::~RolloutSimulation() = default;
RolloutSimulation::Result RolloutSimulation::play(RolloutPlan plan) { return impl_->play(std::move(plan)); }

}  // namespace pearchute::lab

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

// Thrown where an agent is killed; ends what the agent is doing.
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
    std::optional<TimePoint> ends_at, drained_at, crashes_at;
  };
  struct Instance {
    std::string name, zone;
    std::size_t agent = 0;
    std::optional<Process> process;
    TimePoint crashed_at{-1'000'000'000};  // last crash; far in the past if there was none
  };
  struct Agent;
  // A rollout and the agent that coordinates it.
  struct Coordinator final : Rollout::Host {
    Coordinator(Impl& sim, std::size_t agent_number, RolloutPlan plan)
        : simulation(sim), agent_at(agent_number), rollout(*this, std::move(plan)) {}
    bool persist(Rollout::State state) override {
      simulation.reach_point("before rollout kept", agent_at);
      persisted_state = state;
      persisted_stages = rollout.stages();
      simulation.reach_point("after rollout kept", agent_at);
      return true;
    }
    void request_leases(const std::string& agent, const std::vector<std::string>& instances) override;
    void renew(const std::string& agent, const std::vector<std::string>& instances) override;
    void release(const std::string& agent) override;
    void step(const std::string& agent, const std::string& instance, const Step& step) override;
    void request_fleet_status() override;
    void on_event(std::string_view) override {}
    Impl& simulation;
    std::size_t agent_at;  // number of its agent
    Rollout::State persisted_state = Rollout::State::planned;
    std::map<std::string, Rollout::Stage> persisted_stages;
    std::set<std::string> answered;  // keys of the requests that have been answered
    Rollout rollout;
  };
  struct Agent final : LeaseOwner::Host {
    Agent(Impl& sim, std::size_t n) : simulation(sim), number(n), name("a" + std::to_string(n)) {}
    bool write(const std::map<std::string, LeaseOwner::PersistedInstance>& persisted,
               const std::string& reason) override {
      simulation.reach_point("before " + reason, number);
      for (const auto& [instance, one] : persisted) disk[instance] = one;
      simulation.reach_point("after " + reason, number);
      return true;
    }
    void start(const std::string& instance, int version) override {
      simulation.start(instance, version);
      simulation.reach_point("started", number);
    }
    void request_shutdown(const std::string& instance, Duration timeout) override {
      simulation.on_leaves_service(instance);
      if (auto& process = simulation.instance(instance).process;
          process && !process->ends_at && !process->hangs)
        process->ends_at = simulation.now + std::min(timeout, simulation.draw_between(200, 1500));
      simulation.reach_point("asked to end", number);
    }
    void cancel_shutdown(const std::string& instance) override {
      // A process that ends within 100 ms can't be kept any more.
      auto& process = simulation.instance(instance).process;
      if (process && process->ends_at && *process->ends_at - simulation.now > milliseconds(100))
        process->ends_at.reset();
      simulation.reach_point("called off", number);
    }
    void set_drain(const std::string& instance, bool drains, const Step&) override {
      if (drains) simulation.on_leaves_service(instance);
      if (auto& process = simulation.instance(instance).process) {
        process->drains = drains;
        process->drained_at.reset();
        if (drains) process->drained_at = simulation.now + simulation.draw_between(100, 1000);
      }
      simulation.reach_point("drain ordered", number);
    }
    void terminate(const std::string& instance) override {
      simulation.on_leaves_service(instance);
      if (auto& process = simulation.instance(instance).process; process && simulation.random() % 2)
        process->ends_at = simulation.now + milliseconds(100);
      simulation.reach_point("terminated", number);
    }
    void kill(const std::string& instance) override {
      if (auto& process = simulation.instance(instance).process) process->ends_at = simulation.now;
      simulation.reach_point("killed", number);
    }
    void step_ended(const std::string&, const Step&, StepEnd, const std::string&) override {}
    void lease_ended(const std::string& instance, const Lease& lease, LeaseTable::EndReason reason) override {
      if (reason != LeaseTable::EndReason::run_out) return;
      // By now the lease must have expired at the coordinator, which counts its duration from the request.
      for (const auto& coordinator : simulation.coordinators) {
        if (!coordinator || coordinator->rollout.plan().id != lease.operation) continue;
        const auto until = coordinator->rollout.lease_until(name);
        if (until && *until > simulation.now && simulation.agents[coordinator->agent_at]->runs())
          simulation.add_violation(simulation.result.early_give_ups,
                                   instance + " is given up before its coordinator gives it up");
      }
    }
    void wake_at(Duration) override {}
    bool runs() const { return alive && !suspended; }

    Impl& simulation;
    std::size_t number;
    std::string name;
    bool alive = true, suspended = false, is_cut_off = false;
    std::uint64_t generation = 1;  // counts starts
    std::map<std::string, LeaseOwner::PersistedInstance> disk;
    std::unique_ptr<LeaseOwner> lease_owner;
  };

  explicit Impl(const Shape& s) : shape(s), random(static_cast<std::knuth_b::result_type>(s.seed)) {
    for (int a = 0; a < shape.agents; ++a) {
      agents.push_back(std::make_unique<Agent>(*this, static_cast<std::size_t>(a)));
      for (int i = 0; i < shape.instances_each; ++i) {
        Instance one;
        one.name = "i" + std::to_string(a * shape.instances_each + i);
        one.zone = "z" + std::to_string((a * shape.instances_each + i) % shape.zones);
        one.agent = static_cast<std::size_t>(a);
        one.process = Process{seconds(-100), seconds(-99), 1, shape.hangs > draw_share(), false, {}, {}, {}};
        agents.back()->disk[one.name] = {true, 1, 0, {}, {}, {}, {}};
        by_name[one.name] = instances.size();
        instances.push_back(std::move(one));
      }
    }
    for (const auto& agent : agents) start(*agent);
  }

  // ---- Random numbers, time, kills
  double draw_share() { return std::generate_canonical<double, 32>(random); }
  Duration draw_between(unsigned min_ms, unsigned max_ms) {
    return milliseconds(min_ms + random() % (max_ms - min_ms + 1));
  }
  void schedule(TimePoint when, std::function<void()> action) { time.schedule(when, std::move(action)); }
  void add_violation(std::uint64_t& count, const std::string& text) {
    ++count;
    if (result.faults.size() < 10)
      result.faults.push_back(std::to_string(now.count() / 1000) + " ms: " + text);
  }
  // Records that an agent reaches a kill point, and kills the agents that the shape asks for. Throws Killed
  // if the agent itself is one of them.
  void reach_point(const std::string& point, std::size_t agent) {
    result.points.insert(point);
    ++point_count;
    const bool is_named = point == shape.kill_at && ++named_point_count == shape.kill_pass;
    const bool is_random = shape.kill_at == "random" && point_count == random_kill_at;
    if ((!is_named && !is_random) || result.killed) return;
    result.killed = true;
    killed_at = now;
    const std::size_t coordinator = coordinators.empty() ? agent : coordinators.front()->agent_at;
    std::set<std::size_t> killed;
    if (shape.kill_whom != "coordinator") killed.insert(agent);
    if (shape.kill_whom != "passer") killed.insert(coordinator);
    for (const std::size_t one : killed) kill(one);
    if (!killed.contains(agent)) return;
    throw Killed{};
  }
  // Kills an agent. If the shape asks for it, the agent is started again later, with its coordinators
  // restored from what they persisted.
  void kill(std::size_t number) {
    Agent& agent = *agents[number];
    agent.alive = false;
    agent.generation += 1;
    if (!shape.comes_back) return;
    schedule(now + draw_between(300, 3000), [this, number] {
      agents[number]->alive = true;
      start(*agents[number]);
      for (auto& coordinator : coordinators) {
        if (coordinator->agent_at != number || coordinator->persisted_state == Rollout::State::planned)
          continue;
        auto replacement = std::make_unique<Coordinator>(*this, number, coordinator->rollout.plan());
        const auto stages = coordinator->persisted_stages;
        const auto state = coordinator->persisted_state;
        replaced_coordinators.push_back(std::move(coordinator));
        coordinator = std::move(replacement);
        const bool was_over = is_over(state);
        coordinator->persisted_state = state, coordinator->persisted_stages = stages;
        if (was_over) {
          finished = true;
          continue;
        }
        run_guarded([&] { coordinator->rollout.restore(now, stages); });
        // After a while the operator resumes or aborts the rollout.
        const bool resumes = random() % 2;
        schedule(now + draw_between(500, 4000), [this, resumes, restored = coordinator.get()] {
          if (agents[restored->agent_at]->runs())
            run_guarded([&] { resumes ? restored->rollout.resume(now) : restored->rollout.abort(now); });
        });
      }
    });
  }
  void start(Agent& agent) {
    agent.lease_owner = std::make_unique<LeaseOwner>(agent);
    for (const auto& [instance, persisted] : agent.disk)
      agent.lease_owner->add_instance(now, instance, persisted);
  }
  // Runs decisions of an agent, which may be killed meanwhile, and counts their wall time.
  template <class Action>
  void run_guarded(Action action) {
    const auto wall_start = std::chrono::steady_clock::now();
    try {
      action();
    } catch (const Killed&) {
    }
    result.decisions += 1;
    spent += std::chrono::steady_clock::now() - wall_start;
  }

  // ---- Instances
  Instance& instance(const std::string& name) { return instances[by_name.at(name)]; }
  bool is_serving(const Instance& one) const {
    return one.process && now >= one.process->serves_at && !one.process->ends_at && !one.process->drains;
  }
  void start(const std::string& name, int version) {
    Instance& one = instance(name);
    if (one.process) return;  // the address is in use, so the new process exits at once
    Process process{now, now + draw_between(200, 900), version, false, false, {}, {}, {}};
    if (version != 1 && shape.falls > draw_share()) process.crashes_at = now + milliseconds(100);
    one.process = process;
  }
  // Checks the zone's minimum when an agent takes a serving instance out of service.
  void on_leaves_service(const std::string& name) {
    const Instance& one = instance(name);
    if (!is_serving(one)) return;
    const auto minimum = min_serving.find(one.zone);
    if (minimum == min_serving.end() || shape.rival) return;
    int others = 0;
    for (const Instance& other : instances) {
      if (other.zone != one.zone || other.name == name) continue;
      // The coordinator may not know yet of a crash in the last two seconds.
      others += is_serving(other) || now - other.crashed_at < seconds(2);
    }
    if (others < minimum->second)
      add_violation(result.below_floor,
                    name + " stops, with " + std::to_string(others) + " others in " + one.zone);
  }
  // Ends the processes whose time has come.
  void update_processes() {
    for (Instance& one : instances) {
      if (!one.process) continue;
      if (one.process->crashes_at && now >= *one.process->crashes_at)
        one.process->ends_at = now, one.crashed_at = now;
      if (one.process->ends_at && now >= *one.process->ends_at) one.process.reset();
    }
  }
  // Lets an agent observe its instances and run its timer, every 100 ms.
  void observe_instances(Agent& agent) {
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
        run_guarded([&] { agent.lease_owner->observe(now, one.name, seen); });
      }
      if (agent.runs()) run_guarded([&] { agent.lease_owner->on_timer(now); });
    }
    schedule(now + milliseconds(100), [this, &agent] { observe_instances(agent); });
  }

  // ---- The network
  // Sends a message from one agent to another, with loss, duplicates and delay. `on_arrival` runs at the
  // receiver; it waits while the receiver is suspended and is dropped if the receiver is down.
  void send(std::size_t from, std::size_t to, const std::function<void()>& on_arrival) {
    for (int copy = 0; copy < (draw_share() < shape.doubled ? 2 : 1); ++copy) {
      result.messages += 1;
      if (from != to && (draw_share() < shape.loss || agents[from]->is_cut_off || agents[to]->is_cut_off))
        continue;
      const Duration delay = from == to ? Duration(100) : draw_between(1, 40);
      schedule(now + delay, [this, to, on_arrival] { deliver(to, on_arrival); });
    }
  }
  void deliver(std::size_t to, const std::function<void()>& on_arrival) {
    Agent& agent = *agents[to];
    if (agent.suspended)
      return schedule(now + milliseconds(50), [this, to, on_arrival] { deliver(to, on_arrival); });
    if (agent.alive) run_guarded(on_arrival);
  }
  std::size_t number_of(const std::string& agent) const {
    return static_cast<std::size_t>(std::stoul(agent.substr(1)));
  }

  // Runs a coordinator's timer every 200 ms for as long as the coordinator exists.
  void run_timer(Coordinator* coordinator) {
    if (agents[coordinator->agent_at]->runs() && is_current(coordinator))
      run_guarded([&] { coordinator->rollout.on_timer(now); });
    if (is_current(coordinator))
      schedule(now + milliseconds(200), [this, coordinator] { run_timer(coordinator); });
  }
  // False for a coordinator that was replaced when its agent was restarted.
  bool is_current(const Coordinator* coordinator) const {
    return std::ranges::any_of(coordinators, [&](const auto& one) { return one.get() == coordinator; });
  }

  Result play(RolloutPlan plan);

  const Shape shape;
  std::knuth_b random;
  Timeline time;
  const TimePoint& now = time.now;
  std::uint64_t point_count = 0, random_kill_at = 0;
  int named_point_count = 0;
  std::vector<std::unique_ptr<Agent>> agents;
  std::vector<Instance> instances;
  std::map<std::string, std::size_t> by_name;
  std::map<std::string, int> min_serving;
  std::vector<std::unique_ptr<Coordinator>> coordinators;
  std::vector<std::unique_ptr<Coordinator>> replaced_coordinators;  // replaced; events still refer to them
  TimePoint killed_at{};
  bool finished = false;  // a coordinator was restored after the end of its rollout
  std::chrono::steady_clock::duration spent{};
  StepKind kind = StepKind::restart;
  Result result;

  // Whether the instance is in a final state, serving or (after a drain) drained, and really is in the state
  // that its agent records.
  bool is_settled(const Instance& one, const InstanceLifecycle& lifecycle) const {
    if (lifecycle.state() == InstanceState::serving) return is_serving(one);
    return kind == StepKind::drain && lifecycle.state() == InstanceState::drained && one.process &&
           one.process->drains;
  }
};

// Requests are sent up to five times until they are answered; a duplicate has no further effect at the
// receiver.
void RolloutSimulation::Impl::Coordinator::request_leases(const std::string& agent,
                                                          const std::vector<std::string>& instances) {
  Impl& sim = simulation;
  const std::size_t to = sim.number_of(agent);
  const TimePoint first_sent = sim.now;
  const std::string key = "claims " + agent + std::to_string(first_sent.count());
  const LeaseRequest request{rollout.plan().id, rollout.plan().who, instances, rollout.plan().lease_duration,
                             rollout.plan().take_over};
  const std::size_t from = agent_at;
  const std::function<void(int)> send = [&sim, this, from, to, agent, key, request, first_sent](int) {
    sim.send(from, to, [&sim, this, from, to, agent, key, request, first_sent] {
      const LeaseTable::Answer answer = sim.agents[to]->lease_owner->acquire(sim.now, request);
      std::string holder = answer.fault;
      for (const auto& held : answer.conflicts) holder = held.instance + " is held by " + held.lease.who;
      sim.send(to, from, [&sim, this, agent, key, answer, holder, first_sent] {
        if (!sim.is_current(this) || !answered.insert(key).second) return;
        rollout.on_lease_response(sim.now, first_sent, agent, answer.granted, answer.fences, holder);
      });
    });
  };
  for (int n = 0; n < 5; ++n) {
    sim.schedule(sim.now + milliseconds(700 * n), [&sim, this, from, key, send, n] {
      if (sim.agents[from]->runs() && sim.is_current(this) && !answered.contains(key)) send(n);
    });
  }
  sim.reach_point("claims asked", agent_at);
}

void RolloutSimulation::Impl::Coordinator::renew(const std::string& agent,
                                                 const std::vector<std::string>& instances) {
  Impl& sim = simulation;
  const std::size_t to = sim.number_of(agent), from = agent_at;
  const TimePoint sent = sim.now;
  sim.send(from, to,
           [&sim, this, from, to, agent, instances, sent, id = rollout.plan().id,
            lease_duration = rollout.plan().lease_duration] {
             const bool live = sim.agents[to]->lease_owner->renew(sim.now, id, instances, lease_duration);
             sim.send(to, from, [&sim, this, agent, sent, live] {
               if (sim.is_current(this)) rollout.on_renewal_response(sim.now, sent, agent, live);
             });
           });
  sim.reach_point("claims renewed", agent_at);
}

void RolloutSimulation::Impl::Coordinator::release(const std::string& agent) {
  Impl& sim = simulation;
  const std::size_t to = sim.number_of(agent);
  sim.send(agent_at, to,
           [&sim, to, id = rollout.plan().id] { sim.agents[to]->lease_owner->release(sim.now, id); });
  sim.reach_point("claims released", agent_at);
}

void RolloutSimulation::Impl::Coordinator::step(const std::string& agent, const std::string& instance,
                                                const Step& step) {
  Impl& sim = simulation;
  const std::size_t to = sim.number_of(agent), from = agent_at;
  const std::string key = "step " + instance + std::to_string(sim.now.count());
  sim.result.steps += 1;
  for (int n = 0; n < 5; ++n) {
    sim.schedule(sim.now + milliseconds(700 * n), [&sim, this, from, to, key, instance, step] {
      if (!sim.agents[from]->runs() || !sim.is_current(this) || answered.contains(key)) return;
      sim.send(from, to, [&sim, this, from, to, key, instance, step] {
        LeaseOwner& lease_owner = *sim.agents[to]->lease_owner;
        std::string fault;
        const bool accepted = lease_owner.step(sim.now, instance, step, fault);
        if (accepted && step.fence != lease_owner.leases().last_fence(instance))
          sim.add_violation(sim.result.fence_breaks, instance + " takes a step under an old fence");
        sim.send(to, from, [&sim, this, key, instance, accepted, fault] {
          if (!sim.is_current(this) || !answered.insert(key).second) return;
          rollout.on_step_response(sim.now, instance, accepted, fault);
        });
      });
    });
  }
  sim.reach_point("step asked", agent_at);
}

void RolloutSimulation::Impl::Coordinator::request_fleet_status() {
  Impl& sim = simulation;
  for (std::size_t to = 0; to < sim.agents.size(); ++to) {
    sim.send(agent_at, to, [&sim, this, to, from = agent_at] {
      struct Status {
        std::string name, zone;
        InstanceState state;
        std::optional<InstanceLifecycle::CompletedStep> last_step;
      };
      std::vector<Status> statuses;
      for (const Instance& one : sim.instances) {
        if (one.agent != to) continue;
        const InstanceLifecycle* lifecycle = sim.agents[to]->lease_owner->lifecycle(one.name);
        statuses.push_back({one.name, one.zone, lifecycle->state(), lifecycle->last_step()});
      }
      sim.send(to, from, [&sim, this, statuses] {
        if (!sim.is_current(this)) return;
        for (const Status& one : statuses) {
          rollout.on_instance_state(sim.now, one.name, one.zone, one.state);
          if (one.last_step && one.last_step->step.operation == rollout.plan().id)
            rollout.on_step_ended(sim.now, one.name, one.last_step->step, one.last_step->end,
                                  one.last_step->detail);
        }
        rollout.on_service_level(sim.now, 1.0);
      });
    });
  }
}

RolloutSimulation::Result RolloutSimulation::Impl::play(RolloutPlan plan) {
  for (const Instance& one : instances) plan.targets.push_back({one.name, agents[one.agent]->name, one.zone});
  min_serving = plan.min_serving, kind = plan.kind;
  // For "random": a point somewhere within the run. A rollout reaches about twenty points per instance.
  random_kill_at = 1 + random() % (20 * instances.size());
  for (const auto& agent : agents)
    schedule(draw_between(0, 100), [this, &a = *agent] { observe_instances(a); });
  coordinators.push_back(std::make_unique<Coordinator>(*this, 0, plan));
  Coordinator* first = coordinators.front().get();
  schedule(milliseconds(300), [this, first] { run_guarded([&] { first->rollout.begin(now); }); });
  const auto follow = [this] {
    for (const auto& one : coordinators) run_timer(one.get());
  };
  schedule(milliseconds(310), follow);
  // Coordinators whose timer runs. The loop below starts that of each one restored after its agent's restart.
  std::vector<const Coordinator*> with_timer = {first};
  if (draw_share() < shape.cut_off) {
    const std::size_t whom = random() % agents.size();
    const TimePoint from = draw_between(500, 8000), to = from + draw_between(500, 20000);
    schedule(from, [this, whom] { agents[whom]->is_cut_off = true; });
    schedule(to, [this, whom] { agents[whom]->is_cut_off = false; });
  }
  if (draw_share() < shape.stopped) {
    const std::size_t whom = random() % agents.size();
    const TimePoint from = draw_between(500, 8000), to = from + draw_between(500, 20000);
    schedule(from, [this, whom] { agents[whom]->suspended = true; });
    schedule(to, [this, whom] { agents[whom]->suspended = false; });
  }
  if (shape.rival) {
    schedule(draw_between(1000, 6000), [this, plan] {
      RolloutPlan other = plan;
      other.id = "rival", other.who = "bob", other.take_over = true, other.kind = StepKind::restart;
      coordinators.push_back(std::make_unique<Coordinator>(*this, agents.size() - 1, other));
      Coordinator* rival = coordinators.back().get();
      if (agents[rival->agent_at]->runs()) run_guarded([&] { rival->rollout.begin(now); });
      run_timer(rival);
    });
  }
  // Ends as soon as nothing is in progress any more, which saves about half of the run time.
  const Duration max_duration = seconds(400) + plan.lease_duration * 3;
  Duration quiet_since{-1};
  while (!time.is_empty() && now < max_duration) {
    time.run_next([&] { update_processes(); });
    for (const auto& one : coordinators) {
      if (std::ranges::find(with_timer, one.get()) == with_timer.end())
        with_timer.push_back(one.get()), run_timer(one.get());
    }
    const bool over = std::ranges::all_of(coordinators, [&](const auto& one) {
      return one->rollout.over() || !agents[one->agent_at]->alive || finished ||
             one->rollout.state() == Rollout::State::paused;
    });
    if (over && result.lasted == Duration(0) && coordinators.front()->rollout.over()) result.lasted = now;
    const bool settled = std::ranges::all_of(instances, [&](const Instance& one) {
      const Agent& agent = *agents[one.agent];
      if (!agent.alive) return !shape.comes_back;
      const InstanceLifecycle& lifecycle = *agent.lease_owner->lifecycle(one.name);
      const bool is_leased = agent.lease_owner->leases().lease_on(now, one.name).has_value();
      return !lifecycle.current_step() && !is_leased && is_settled(one, lifecycle);
    });
    if (over && settled) {
      if (quiet_since < Duration(0)) quiet_since = now;
      // Lets messages in flight arrive.
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
    if (!agent.alive) continue;  // the instance has no agent that could know its state
    const InstanceLifecycle& lifecycle = *agent.lease_owner->lifecycle(one.name);
    const bool crashes = one.process ? false : shape.falls > 0 && lifecycle.crash_count() > 0;
    const bool known =
        !lifecycle.current_step() &&
        (crashes ? lifecycle.state() == InstanceState::down || lifecycle.state() == InstanceState::starting
                 : is_settled(one, lifecycle) && one.process->version == lifecycle.version());
    if (!known)
      add_violation(result.unknown_states,
                    one.name + " is " + std::string(name_of(lifecycle.state())) + ", version " +
                        std::to_string(lifecycle.version()) +
                        (one.process ? ", runs " + std::to_string(one.process->version) : ", no process") +
                        (lifecycle.current_step() ? ", a step is under way" : ""));
  }
  result.going_back = coordinators.front()->rollout.rolling_back();
  for (const Instance& one : instances) result.versions[one.name] = one.process ? one.process->version : 0;
  // Instances that the rollout reports as done have to run its version.
  if (!shape.rival && plan.kind == StepKind::change && shape.falls == 0) {
    const Rollout& rollout = coordinators.front()->rollout;
    for (const auto& [name, stage] : rollout.stages()) {
      const Instance& one = instance(name);
      if (stage == Rollout::Stage::done && agents[one.agent]->alive && one.process &&
          one.process->version != plan.version && !rollout.rolling_back())
        add_violation(result.unknown_states,
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

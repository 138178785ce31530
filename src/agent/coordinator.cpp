#include "agent/coordinator.h"

#include <algorithm>

#include "agent/wire.h"
#include "net/log.h"

namespace pearchute::agent {

using fleet::Rollout;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// For any one call: an agent answers within milliseconds, or it is not there.
constexpr milliseconds answers_within(1500), ask_again_after(500);

std::int64_t unix_ms() {
  return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

struct Coordinator::One final : Rollout::Host {
  One(Coordinator& c, const fleet::RolloutPlan& plan, std::int64_t begun)
      : owner(c), begun_unix_ms(begun), rollout(*this, plan) {}
  bool persist(Rollout::State state) override {
    return owner.store_.write_rollout(
        {rollout.plan(), state, rollout.stages(), rollout.detail(), begun_unix_ms});
  }
  Duration now() const { return owner.loop_thread_.loop().now().time_since_epoch(); }
  // What comes back after this rollout has gone is dropped.
  template <class What>
  auto while_here(What what) const {
    return [here = std::weak_ptr<bool>(here), what](const auto&... all_of_it) {
      if (!here.expired()) what(all_of_it...);
    };
  }
  void again(std::function<void()> what) {
    owner.loop_thread_.loop().at(TimePoint(now() + ask_again_after), while_here(what));
  }
  void request_leases(const std::string& agent, const std::vector<std::string>& instances) override {
    v1::ClaimAsk ask;
    ask.set_operation(rollout.plan().id), ask.set_who(rollout.plan().who);
    for (const std::string& instance : instances) ask.add_instances(instance);
    ask.set_lease_ms(
        static_cast<std::uint64_t>(duration_cast<milliseconds>(rollout.plan().lease_duration).count()));
    ask.set_take_over(rollout.plan().take_over);
    const Duration sent = now();
    owner.peers_.call<v1::ClaimAsk, v1::ClaimAnswer>(
        agent, answers_within, [](auto* to, auto... what) { to->Claim(what...); }, ask,
        while_here([this, agent, instances, sent](bool ok, const v1::ClaimAnswer& answer) {
          if (!ok) {
            if (rollout.state() == Rollout::State::acquiring_leases)
              again([this, agent, instances] { request_leases(agent, instances); });
            return;
          }
          std::string holder = answer.fault();
          for (const auto& held : answer.held()) {
            holder += (holder.empty() ? "" : "; ") + held.instance() + " is held by " + held.claim().who() +
                      " for " + held.claim().operation() + " since " +
                      std::to_string(held.claim().held_ms() / 1000) + " s, for " +
                      std::to_string(held.claim().left_ms() / 1000) + " s more";
          }
          rollout.on_lease_response(now(), sent, agent, answer.granted(),
                                    {answer.fences().begin(), answer.fences().end()}, holder);
        }));
  }
  void renew(const std::string& agent, const std::vector<std::string>& instances) override {
    v1::Renewal ask;
    ask.set_operation(rollout.plan().id);
    for (const std::string& instance : instances) ask.add_instances(instance);
    ask.set_lease_ms(
        static_cast<std::uint64_t>(duration_cast<milliseconds>(rollout.plan().lease_duration).count()));
    const Duration sent = now();
    owner.peers_.call<v1::Renewal, v1::Renewed>(
        agent, answers_within, [](auto* to, auto... what) { to->Renew(what...); }, ask,
        while_here([this, agent, sent](bool ok, const v1::Renewed& answer) {
          if (ok) rollout.on_renewal_response(now(), sent, agent, answer.live());
        }));
  }
  void release(const std::string& agent) override {
    v1::Operation ask;
    ask.set_id(rollout.plan().id);
    owner.peers_.call<v1::Operation, v1::Empty>(
        agent, answers_within, [](auto* to, auto... what) { to->Release(what...); }, ask,
        [](bool, const v1::Empty&) {});  // where it is lost, the lease runs out
  }
  void step(const std::string& agent, const std::string& instance, const fleet::Step& step) override {
    v1::StepAsk ask;
    ask.set_instance(instance);
    *ask.mutable_step() = to_wire(step);
    owner.peers_.call<v1::StepAsk, v1::StepAnswer>(
        agent, answers_within, [](auto* to, auto... what) { to->DoStep(what...); }, ask,
        while_here([this, agent, instance, step](bool ok, const v1::StepAnswer& answer) {
          if (ok) return rollout.on_step_response(now(), instance, answer.accepted(), answer.fault());
          // Only while its own claim lasts: later it would be refused.
          const auto until = rollout.lease_until(agent);
          const auto stages = rollout.stages();
          if (until && now() + ask_again_after < *until && stages.at(instance) == Rollout::Stage::requested)
            again([this, agent, instance, step] { this->step(agent, instance, step); });
        }));
  }
  void request_fleet_status() override {
    for (const std::string& agent : owner.peers_.names()) {
      owner.peers_.call<v1::Empty, v1::Shown>(
          agent, answers_within, [](auto* to, auto... what) { to->Show(what...); }, {},
          while_here([this](bool ok, const v1::Shown& shown) {
            if (ok) heard(shown);
          }));
    }
  }
  void heard(const v1::Shown& shown) {
    for (const v1::Instance& one : shown.instances()) {
      rollout.on_instance_state(now(), one.name(), one.zone(), parse_instance_state(one.condition()));
      if (one.has_last() && one.last().step().operation() == rollout.plan().id) {
        const fleet::InstanceLifecycle::CompletedStep past = from_wire(one.last());
        rollout.on_step_ended(now(), one.name(), past.step, past.end, past.detail);
      }
      // What was answered since the last look; one that started anew counts from nothing.
      Counted& before = counted[one.name()];
      if (before.pid == one.pid() && one.answered() >= before.answered) {
        done += static_cast<double>(one.done() - before.done);
        all += static_cast<double>(one.answered() - before.answered);
      }
      before = {one.pid(), one.done(), one.answered()};
    }
    // Each look at an agent counts a little less than the next; with hardly any traffic nothing has fallen.
    done *= 0.97, all *= 0.97;
    rollout.on_service_level(now(), all < 5 ? 1.0 : done / all);
  }
  void on_event(std::string_view what) override { spdlog::info("rollout {}: {}", rollout.plan().id, what); }

  struct Counted {
    std::uint64_t pid = 0, done = 0, answered = 0;
  };
  Coordinator& owner;
  const std::int64_t begun_unix_ms;
  std::map<std::string, Counted> counted;
  double done = 0, all = 0;
  Rollout rollout;
  const std::shared_ptr<bool> here = std::make_shared<bool>(true);
};

Coordinator::Coordinator(net::EventLoopThread& stage, Peers& peers, store::Store& store,
                         const std::string& trouble)
    : loop_thread_(stage), peers_(peers), store_(store), trouble_(trouble) {
  if (trouble_.empty()) {
    for (const store::RolloutRecord& kept : store_.rollouts(50)) {
      if (fleet::is_over(kept.state)) {
        past_.push_back(kept);
        continue;
      }
      auto& one = rollouts_[kept.plan.id] = std::make_unique<One>(*this, kept.plan, kept.started_unix_ms);
      one->rollout.restore(loop_thread_.loop().now().time_since_epoch(), kept.stages);
    }
  }
  wake();
}

Coordinator::~Coordinator() { *alive_ = false; }

void Coordinator::wake() {
  for (const auto& [id, one] : rollouts_) one->rollout.on_timer(loop_thread_.loop().now().time_since_epoch());
  loop_thread_.loop().at(loop_thread_.loop().now() + milliseconds(200), [this, alive = alive_] {
    if (*alive) wake();
  });
}

std::string Coordinator::start(const fleet::RolloutPlan& plan) {
  if (!trouble_.empty()) return trouble_;
  if (rollouts_.contains(plan.id)) return "";  // the same ask again
  for (const fleet::Target& target : plan.targets) {
    if (!peers_.know(target.agent)) return "agent " + target.agent + " is not known here";
  }
  // Those that are over stay to be looked at; so many, and the oldest go.
  constexpr std::size_t most = 50;
  while (rollouts_.size() >= most) {
    const auto over =
        std::ranges::find_if(rollouts_, [](const auto& one) { return one.second->rollout.over(); });
    if (over == rollouts_.end()) return "as many rollouts are under way as may";
    rollouts_.erase(over);
  }
  auto& one = rollouts_[plan.id] = std::make_unique<One>(*this, plan, unix_ms());
  one->rollout.begin(loop_thread_.loop().now().time_since_epoch());
  return "";
}

std::string Coordinator::say(const std::string& id, const std::string& word) {
  const auto at = rollouts_.find(id);
  if (at == rollouts_.end()) return "no such rollout under way here";
  Rollout& rollout = at->second->rollout;
  const Duration now = loop_thread_.loop().now().time_since_epoch();
  if (rollout.over()) return "it is over";
  if (word == "pause") rollout.pause(now);
  else if (word == "resume") rollout.resume(now);
  else if (word == "abort") rollout.abort(now);
  else if (word == "back") rollout.roll_back(now);
  else return "a rollout is told pause, resume, abort or back";
  return "";
}

void Coordinator::tell(const std::string& id, v1::RolloutList& list) const {
  const auto add = [&](const fleet::RolloutPlan& plan, Rollout::State state, const std::string& word,
                       const std::map<std::string, Rollout::Stage>& stages) -> v1::Rollout* {
    if (!id.empty() && plan.id != id) return nullptr;
    v1::Rollout& to = *list.add_rollouts();
    *to.mutable_plan() = to_wire(plan);
    to.set_state(std::string(fleet::name_of(state))), to.set_word(word);
    for (const auto& [instance, stage] : stages) {
      const std::string text(fleet::name_of(stage));
      ++(*to.mutable_counts())[text];
      if (!id.empty()) (*to.mutable_stages())[instance] = text;
    }
    // All of them whole would be more than a message may hold.
    if (id.empty()) to.mutable_plan()->clear_targets();
    return &to;
  };
  for (const auto& [name, one] : rollouts_) {
    const Rollout& rollout = one->rollout;
    v1::Rollout* to = add(rollout.plan(), rollout.state(), rollout.detail(), rollout.stages());
    if (!to || id.empty()) continue;
    for (const auto& [instance, word] : rollout.details()) (*to->mutable_words())[instance] = word;
  }
  for (const store::RolloutRecord& kept : past_) add(kept.plan, kept.state, kept.state_reason, kept.stages);
}

}  // namespace pearchute::agent

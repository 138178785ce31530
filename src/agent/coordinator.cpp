#include "agent/coordinator.h"

#include <algorithm>

#include "agent/loop_time.h"
#include "agent/rollout_codec.h"
#include "net/log.h"

namespace pearchute::agent {

using fleet::Rollout;
using fleet::TimePoint;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick_interval(200);
// Finished rollouts are kept for operators until this limit is reached.
constexpr std::size_t max_rollouts = 50;

std::int64_t unix_ms() {
  return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Adds a rollout from its record or driver. `with_details` adds its targets and the stage of each instance;
// the details of all rollouts would exceed the size limit of a message.
v1::Rollout& add_rollout(v1::RolloutList& list, const fleet::RolloutPlan& plan, Rollout::State state,
                         const std::string& state_reason, const std::map<std::string, Rollout::Stage>& stages,
                         bool with_details) {
  v1::Rollout& to = *list.add_rollouts();
  *to.mutable_plan() = to_wire(plan);
  to.set_state(std::string(fleet::name_of(state)));
  to.set_word(state_reason);
  for (const auto& [instance, stage] : stages) {
    const std::string name(fleet::name_of(stage));
    ++(*to.mutable_counts())[name];
    if (with_details) (*to.mutable_stages())[instance] = name;
  }
  if (!with_details) to.mutable_plan()->clear_targets();
  return to;
}

}  // namespace

Coordinator::Coordinator(net::EventLoopThread& loop_thread, Peers& peers, store::Store& store,
                         const std::string& store_error)
    : loop_thread_(loop_thread), peers_(peers), store_(store), store_error_(store_error) {
  if (store_error_.empty()) restore();
  tick();
}

Coordinator::~Coordinator() { *alive_ = false; }

void Coordinator::restore() {
  for (const store::RolloutRecord& record : store_.rollouts(max_rollouts)) {
    if (fleet::is_over(record.state)) {
      finished_before_start_.push_back(record);
      continue;
    }
    std::unique_ptr<RolloutDriver>& driver = rollouts_[record.plan.id];
    driver =
        std::make_unique<RolloutDriver>(loop_thread_, peers_, store_, record.plan, record.started_unix_ms);
    driver->rollout().restore(fleet_now(loop_thread_.loop()), record.stages);
  }
}

void Coordinator::tick() {
  net::Loop& loop = loop_thread_.loop();
  for (const auto& [id, driver] : rollouts_) driver->rollout().on_timer(fleet_now(loop));
  loop.at(loop.now() + tick_interval, [this, alive = alive_] {
    if (*alive) tick();
  });
}

std::string Coordinator::start(const fleet::RolloutPlan& plan) {
  if (!store_error_.empty()) return store_error_;
  if (rollouts_.contains(plan.id)) return "";
  for (const fleet::Target& target : plan.targets) {
    if (!peers_.knows(target.agent))
      return "agent " + target.agent + " is not configured at this coordinator";
  }
  if (!evict_finished())
    return "the limit of " + std::to_string(max_rollouts) + " rollouts in progress is reached";
  std::unique_ptr<RolloutDriver>& driver = rollouts_[plan.id];
  driver = std::make_unique<RolloutDriver>(loop_thread_, peers_, store_, plan, unix_ms());
  driver->rollout().begin(fleet_now(loop_thread_.loop()));
  return "";
}

// Removes finished rollouts until there is room for one more. Returns false if all are in progress.
bool Coordinator::evict_finished() {
  const auto is_over = [](const auto& entry) { return entry.second->rollout().over(); };
  while (rollouts_.size() >= max_rollouts) {
    const auto over = std::ranges::find_if(rollouts_, is_over);
    if (over == rollouts_.end()) return false;
    rollouts_.erase(over);
  }
  return true;
}

std::string Coordinator::control(const std::string& id, const std::string& command) {
  const auto at = rollouts_.find(id);
  if (at == rollouts_.end()) return "this agent coordinates no rollout '" + id + "'";
  Rollout& rollout = at->second->rollout();
  const TimePoint now = fleet_now(loop_thread_.loop());
  if (rollout.over()) return "rollout " + id + " is finished";
  if (command == "pause") rollout.pause(now);
  else if (command == "resume") rollout.resume(now);
  else if (command == "abort") rollout.abort(now);
  else if (command == "back") rollout.roll_back(now);
  else return "expected pause, resume, abort or back, got '" + command + "'";
  return "";
}

void Coordinator::list(const std::string& id, v1::RolloutList& list) const {
  const bool with_details = !id.empty();
  const auto is_listed = [&](const fleet::RolloutPlan& plan) { return id.empty() || plan.id == id; };
  for (const auto& [name, driver] : rollouts_) {
    const Rollout& rollout = driver->rollout();
    if (!is_listed(rollout.plan())) continue;
    v1::Rollout& to =
        add_rollout(list, rollout.plan(), rollout.state(), rollout.detail(), rollout.stages(), with_details);
    if (!with_details) continue;
    for (const auto& [instance, reason] : rollout.details()) (*to.mutable_words())[instance] = reason;
  }
  for (const store::RolloutRecord& record : finished_before_start_) {
    if (is_listed(record.plan))
      add_rollout(list, record.plan, record.state, record.state_reason, record.stages, with_details);
  }
}

}  // namespace pearchute::agent

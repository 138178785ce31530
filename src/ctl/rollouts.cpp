// The commands of AgentCommands for rollouts.
#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <thread>

#include "agent/rollout_codec.h"
#include "ctl/agents.h"

namespace pearchute::ctl {

using fleet::CommandOutcome;
using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds follow_interval(500);

std::string random_id() {
  std::random_device device;
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "r%08x", device());
  return text.data();
}

bool is_over(const std::string& state) { return state == "done" || state == "aborted" || state == "failed"; }

fleet::ExitStatus exit_status_of(const std::string& state) {
  if (state == "done") return fleet::all_done;
  return is_over(state) ? fleet::partly_done : fleet::time_was_up;
}

// Returns the count of targets by stage, such as "3 done, 1 waiting".
std::string describe_stages(const agent::v1::Rollout& rollout) {
  const std::map<std::string, std::uint32_t> counts(rollout.counts().begin(), rollout.counts().end());
  std::string text;
  for (const auto& [stage, count] : counts)
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + stage;
  return text;
}

json rollout_row(const std::string& coordinator, const agent::v1::Rollout& rollout) {
  return {{"rollout", rollout.plan().id()}, {"coordinator", coordinator},
          {"by", rollout.plan().who()},     {"kind", rollout.plan().kind()},
          {"state", rollout.state()},       {"stages", describe_stages(rollout)},
          {"word", rollout.word()}};
}

json target_row(const agent::v1::Target& target, const agent::v1::Rollout& rollout) {
  const std::string& instance = target.instance();
  json row = {{"instance", instance}, {"agent", target.agent()}, {"zone", target.zone()}};
  if (const auto at = rollout.stages().find(instance); at != rollout.stages().end())
    row["stage"] = at->second;
  if (const auto at = rollout.words().find(instance); at != rollout.words().end()) row["word"] = at->second;
  return row;
}

}  // namespace

std::map<std::string, AgentCommands::OwnedInstance> AgentCommands::query_owned_instances() {
  std::map<std::string, OwnedInstance> owned;
  for (const AgentStatus& agent : client_.query_status()) {
    if (!agent.answered()) std::cerr << agent.agent << ": " << agent.error << std::endl;
    for (const agent::v1::Instance& instance : agent.response.instances())
      owned[instance.name()] = {agent.agent, instance};
  }
  return owned;
}

// Adds the chosen instances to the plan, and returns a row for each. An instance without an owner among the
// agents that answered gets a row, but is not added to the plan.
Rows AgentCommands::add_targets(const std::map<std::string, OwnedInstance>& owned, bool start,
                                fleet::RolloutPlan& plan) {
  Rows rows;
  for (const Instance* instance : chosen_) {
    const std::string& name = instance->facts.name;
    json row = {{"instance", name}};
    if (const auto at = owned.find(name); at == owned.end()) {
      row["result"] = "no agent that answers owns it";
    } else {
      const auto& [agent, status] = at->second;
      plan.targets.push_back({name, agent, status.zone()});
      row["agent"] = agent;
      row["zone"] = status.zone();
      row["condition"] = status.condition();
      row["version"] = status.version();
      if (status.has_claim()) row["claimed_by"] = status.claim().who();
      row["result"] = start ? "asked for" : "would be stepped: " + std::string(agent::name_of(plan.kind));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

void AgentCommands::warn_of_zone_limits(const std::map<std::string, OwnedInstance>& owned,
                                        const fleet::RolloutPlan& plan) {
  std::map<std::string, int> serving;
  for (const auto& [name, target] : owned)
    serving[target.instance.zone()] += target.instance.condition() == "serving" ? 1 : 0;
  for (const auto& [zone, min_serving] : plan.min_serving) {
    if (serving[zone] <= min_serving)
      output_.line("zone " + zone + ": " + std::to_string(serving[zone]) + " serve, and " +
                   std::to_string(min_serving) + " must stay serving: no step can begin there now");
  }
}

int AgentCommands::rollout(fleet::RolloutPlan plan, const std::string& coordinator, bool start, bool follow) {
  if (plan.id.empty()) plan.id = random_id();
  const std::map<std::string, OwnedInstance> owned = query_owned_instances();
  const Rows rows = add_targets(owned, start, plan);
  output_.rows(rows, {"instance", "agent", "zone", "condition", "version", "claimed_by", "result"});
  warn_of_zone_limits(owned, plan);
  if (plan.targets.size() < chosen_.size()) return fleet::some_unreachable;
  return start ? this->start(plan, coordinator, follow) : fleet::all_done;
}

int AgentCommands::start(const fleet::RolloutPlan& plan, const std::string& coordinator, bool follow) {
  const auto is_coordinator = [&](const AgentAddress& agent) {
    return coordinator.empty() || agent.name == coordinator;
  };
  const auto agent = std::ranges::find_if(fleet_.agents, is_coordinator);
  if (agent == fleet_.agents.end()) {
    std::cerr << "the fleet file has no agent '" << coordinator << "'" << std::endl;
    return fleet::usage;
  }
  const CallOutcome result = client_.start_rollout(*agent, plan);
  if (result.outcome == CommandOutcome::unreachable) {
    std::cerr << agent->name << ": " << result.error
              << "; the rollout may have started; to check: pearchutectl rollout status " << plan.id
              << std::endl;
    return fleet::some_unreachable;
  }
  if (result.outcome == CommandOutcome::refused) {
    std::cerr << agent->name << ": " << result.error << std::endl;
    return fleet::was_refused;
  }
  std::cerr << "rollout " << plan.id << " is coordinated by " << agent->name << std::endl;
  return follow ? status(plan.id, true) : fleet::all_done;
}

int AgentCommands::rollouts(bool with_finished) {
  std::vector<CommandOutcome> outcomes;
  Rows rows;
  for (const AgentRollouts& known : client_.query_rollouts("")) {
    outcomes.push_back(known.answered ? CommandOutcome::yes : CommandOutcome::unreachable);
    for (const agent::v1::Rollout& rollout : known.response.rollouts()) {
      if (with_finished || !is_over(rollout.state())) rows.push_back(rollout_row(known.agent->name, rollout));
    }
  }
  output_.rows(rows, {"rollout", "coordinator", "by", "kind", "state", "stages", "word"});
  return fleet::exit_status_of_query(outcomes);
}

int AgentCommands::status(const std::string& id, bool follow) {
  while (true) {
    std::optional<agent::v1::Rollout> found;
    bool all_answered = true;
    for (const AgentRollouts& known : client_.query_rollouts(id)) {
      all_answered = all_answered && known.answered;
      if (known.response.rollouts_size() > 0) found = known.response.rollouts(0);
    }
    if (!found && !follow) {
      std::cerr << "no agent that answered knows rollout " << id << std::endl;
      return all_answered ? fleet::usage : fleet::some_unreachable;
    }
    if (found && (!follow || is_over(found->state()) || found->state() == "paused"))
      return print_rollout(id, *found);
    if (found) output_.progress(found->state() + ", " + describe_stages(*found));
    std::this_thread::sleep_for(follow_interval);
  }
}

int AgentCommands::print_rollout(const std::string& id, const agent::v1::Rollout& rollout) {
  output_.clear_progress();
  Rows rows;
  for (const agent::v1::Target& target : rollout.plan().targets())
    rows.push_back(target_row(target, rollout));
  output_.rows(rows, {"instance", "agent", "zone", "stage", "word"});
  std::cerr << "rollout " << id << " is " << rollout.state()
            << (rollout.word().empty() ? "" : ": " + rollout.word()) << std::endl;
  return exit_status_of(rollout.state());
}

int AgentCommands::control(const std::string& id, const std::string& command) {
  for (const AgentRollouts& known : client_.query_rollouts(id)) {
    if (known.response.rollouts_size() == 0) continue;
    const CallOutcome result = client_.control_rollout(*known.agent, id, command);
    if (result.outcome == CommandOutcome::yes) {
      status(id, false);
      return fleet::all_done;
    }
    std::cerr << known.agent->name << ": " << result.error << std::endl;
    return result.outcome == CommandOutcome::refused ? fleet::was_refused : fleet::some_unreachable;
  }
  std::cerr << "no agent that answered knows rollout " << id << std::endl;
  return fleet::some_unreachable;
}

}  // namespace pearchute::ctl

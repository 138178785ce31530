#include "ctl/agents.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <future>
#include <iostream>
#include <random>
#include <thread>

#include "agent.grpc.pb.h"
#include "agent/grpc_credentials.h"
#include "agent/rpc_deadline.h"
#include "agent/wire.h"
#include "fleet/command_outcome.h"

namespace pearchute::ctl {

using agent::v1::Agent;
using fleet::CommandOutcome;
using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

struct AgentCommands::Seen {
  std::string agent, trouble;
  CommandOutcome end = CommandOutcome::unreachable;
  bool answered() const { return end == CommandOutcome::yes; }
  agent::v1::Shown shown;
};

namespace {

void set_deadline(grpc::ClientContext& context, milliseconds within) {
  context.set_deadline(agent::deadline_in(within));
}

std::string in_seconds(std::uint64_t ms) { return std::to_string(ms / 1000) + "s"; }

CommandOutcome done_of(const grpc::Status& status) {
  if (status.ok()) return CommandOutcome::yes;
  const bool said_no = status.error_code() == grpc::StatusCode::PERMISSION_DENIED ||
                       status.error_code() == grpc::StatusCode::INVALID_ARGUMENT;
  return said_no ? CommandOutcome::refused : CommandOutcome::unreachable;
}

std::string fresh_id() {
  std::random_device device;
  char text[16];
  std::snprintf(text, sizeof text, "r%08x", device());
  return text;
}

bool is_over(const std::string& state) { return state == "done" || state == "aborted" || state == "failed"; }

std::string counts_of(const agent::v1::Rollout& rollout) {
  std::map<std::string, std::uint32_t> counts(rollout.counts().begin(), rollout.counts().end());
  std::string text;
  for (const auto& [stage, count] : counts)
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + stage;
  return text;
}

fleet::ExitStatus status_of(const std::string& state) {
  if (state == "done") return fleet::all_done;
  return is_over(state) ? fleet::partly_done : fleet::time_was_up;
}

}  // namespace

std::unique_ptr<Agent::Stub> AgentCommands::stub_to(const AgentPlace& place) const {
  return Agent::NewStub(agent::channel_to(place.control, place.name, fleet_.tls));
}

AgentCommands::AgentCommands(const Fleet& fleet, std::vector<const Instance*> chosen, Output& output)
    : fleet_(fleet), chosen_(std::move(chosen)), output_(output) {}

// All agents at once; a round lasts as long as the time limit of one.
std::vector<AgentCommands::Seen> AgentCommands::look() {
  std::vector<std::future<Seen>> asked;
  for (const AgentPlace& place : fleet_.agents) {
    asked.push_back(std::async(std::launch::async, [this, &place, within = fleet_.answers_within] {
      Seen seen;
      seen.agent = place.name;
      const auto stub = stub_to(place);
      grpc::ClientContext context;
      set_deadline(context, within);
      const grpc::Status status = stub->Show(&context, {}, &seen.shown);
      seen.end = done_of(status);
      seen.trouble = status.ok() ? seen.shown.trouble() : status.error_message();
      return seen;
    }));
  }
  std::vector<Seen> all;
  for (auto& one : asked) all.push_back(one.get());
  return all;
}

int AgentCommands::agents() {
  std::vector<CommandOutcome> each;
  Rows rows;
  for (const Seen& seen : look()) {
    each.push_back(seen.end);
    if (!seen.answered() || !seen.trouble.empty())
      rows.push_back({{"agent", seen.agent}, {"trouble", seen.trouble}, {"answers", seen.answered()}});
    // What it knows of the other agents, once for each agent.
    std::string hears = seen.shown.heard_size() > 0 && !seen.shown.speaks() ? "it can't speak itself" : "";
    for (const auto& heard : seen.shown.heard()) {
      hears += (hears.empty() ? "" : ", ") + heard.agent() + " " + heard.freshness();
      if (heard.freshness() != "fresh" && heard.ever()) hears += " (" + in_seconds(heard.age_ms()) + ")";
      if (heard.disputed()) hears += " (two speak under its name)";
    }
    for (const auto& instance : seen.shown.instances()) {
      json row = {{"agent", seen.agent},           {"instance", instance.name()},
                  {"zone", instance.zone()},       {"condition", instance.condition()},
                  {"version", instance.version()}, {"pid", instance.pid()},
                  {"falls", instance.falls()}};
      if (instance.has_claim())
        row["claimed_by"] = instance.claim().who() + " for " + instance.claim().operation();
      if (!hears.empty()) row["hears"] = std::exchange(hears, "");
      if (instance.has_under_way()) row["step"] = instance.under_way().kind();
      if (instance.has_last())
        row["last_step"] =
            instance.last().step().kind() + " " + instance.last().end() + ": " + instance.last().word();
      rows.push_back(std::move(row));
    }
  }
  output_.rows(rows, {"agent", "instance", "zone", "condition", "version", "pid", "falls", "claimed_by",
                      "step", "last_step", "hears", "trouble"});
  return fleet::exit_status_of_query(each);
}

int AgentCommands::claims() {
  std::vector<CommandOutcome> each;
  Rows rows;
  for (const Seen& seen : look()) {
    each.push_back(seen.end);
    if (!seen.answered()) std::cerr << seen.agent << ": " << seen.trouble << std::endl;
    for (const auto& instance : seen.shown.instances()) {
      if (!instance.has_claim()) continue;
      const auto& claim = instance.claim();
      rows.push_back({{"instance", instance.name()},
                      {"agent", seen.agent},
                      {"operation", claim.operation()},
                      {"held_by", claim.who()},
                      {"fence", claim.fence()},
                      {"since", in_seconds(claim.held_ms())},
                      {"left", in_seconds(claim.left_ms())}});
    }
  }
  output_.rows(rows, {"instance", "agent", "operation", "held_by", "fence", "since", "left"});
  return fleet::exit_status_of_query(each);
}

int AgentCommands::rollout(fleet::RolloutPlan plan, const std::string& coordinator, bool start, bool follow) {
  if (plan.id.empty()) plan.id = fresh_id();
  std::map<std::string, std::pair<std::string, agent::v1::Instance>> owned;  // by instance: agent, as seen
  for (const Seen& seen : look()) {
    if (!seen.answered()) std::cerr << seen.agent << ": " << seen.trouble << std::endl;
    for (const auto& instance : seen.shown.instances()) owned[instance.name()] = {seen.agent, instance};
  }
  std::map<std::string, int> serving;
  for (const auto& [name, one] : owned) serving[one.second.zone()] += one.second.condition() == "serving";
  Rows rows;
  bool unowned = false;
  for (const Instance* instance : chosen_) {
    const auto at = owned.find(instance->facts.name);
    json row = {{"instance", instance->facts.name}};
    if (at == owned.end()) {
      row["result"] = "no agent that answers owns it";
      unowned = true;
    } else {
      plan.targets.push_back({instance->facts.name, at->second.first, at->second.second.zone()});
      row["agent"] = at->second.first, row["zone"] = at->second.second.zone();
      row["condition"] = at->second.second.condition(), row["version"] = at->second.second.version();
      if (at->second.second.has_claim()) row["claimed_by"] = at->second.second.claim().who();
      row["result"] = start ? "asked for" : "would be stepped: " + std::string(agent::name_of(plan.kind));
    }
    rows.push_back(std::move(row));
  }
  output_.rows(rows, {"instance", "agent", "zone", "condition", "version", "claimed_by", "result"});
  for (const auto& [zone, least] : plan.min_serving) {
    if (serving[zone] <= least)
      output_.line("zone " + zone + ": " + std::to_string(serving[zone]) + " serve, and " +
                   std::to_string(least) + " are to stay: nothing there can be stepped now");
  }
  if (unowned) return fleet::some_unreachable;
  if (!start) return fleet::all_done;
  const auto place = std::ranges::find_if(
      fleet_.agents, [&](const AgentPlace& one) { return coordinator.empty() || one.name == coordinator; });
  if (place == fleet_.agents.end()) {
    std::cerr << "no agent " << coordinator << " in the fleet file" << std::endl;
    return fleet::usage;
  }
  grpc::ClientContext context;
  set_deadline(context, fleet_.answers_within);
  agent::v1::Said said;
  const grpc::Status status = stub_to(*place)->StartRollout(&context, agent::to_wire(plan), &said);
  if (!status.ok()) {
    const bool refused = done_of(status) == CommandOutcome::refused;
    std::cerr << place->name << ": " << status.error_message()
              << (refused ? "" : "; whether it was started tells: pearchutectl rollout status " + plan.id)
              << std::endl;
    return refused ? fleet::was_refused : fleet::some_unreachable;
  }
  if (!said.fault().empty()) {
    std::cerr << place->name << ": " << said.fault() << std::endl;
    return fleet::was_refused;
  }
  std::cerr << "rollout " << plan.id << " is coordinated by " << place->name << std::endl;
  return follow ? this->status(plan.id, true) : fleet::all_done;
}

// What each agent says of one rollout, or of all in short.
std::vector<AgentCommands::Told> AgentCommands::ask_rollouts(const std::string& id) {
  std::vector<std::future<Told>> asked;
  for (const AgentPlace& place : fleet_.agents) {
    asked.push_back(std::async(std::launch::async, [this, &place, id, within = fleet_.answers_within] {
      Told told{&place, false, {}};
      grpc::ClientContext context;
      set_deadline(context, within);
      agent::v1::Operation ask;
      ask.set_id(id);
      told.answered = stub_to(place)->Rollouts(&context, ask, &told.list).ok();
      return told;
    }));
  }
  std::vector<Told> all;
  for (auto& one : asked) all.push_back(one.get());
  return all;
}

int AgentCommands::rollouts(bool past) {
  std::vector<CommandOutcome> each;
  Rows rows;
  for (const Told& told : ask_rollouts("")) {
    each.push_back(told.answered ? CommandOutcome::yes : CommandOutcome::unreachable);
    for (const auto& one : told.list.rollouts()) {
      if (!past && is_over(one.state())) continue;
      rows.push_back({{"rollout", one.plan().id()},
                      {"coordinator", told.place->name},
                      {"by", one.plan().who()},
                      {"kind", one.plan().kind()},
                      {"state", one.state()},
                      {"stages", counts_of(one)},
                      {"word", one.word()}});
    }
  }
  output_.rows(rows, {"rollout", "coordinator", "by", "kind", "state", "stages", "word"});
  return fleet::exit_status_of_query(each);
}

int AgentCommands::status(const std::string& id, bool follow) {
  while (true) {
    std::optional<agent::v1::Rollout> found;
    bool answered = true;
    for (const Told& told : ask_rollouts(id)) {
      answered = answered && told.answered;
      if (told.list.rollouts_size() > 0) found = told.list.rollouts(0);
    }
    if (!found && !follow) {
      std::cerr << "no agent that answers knows rollout " << id << std::endl;
      return answered ? fleet::usage : fleet::some_unreachable;
    }
    if (found && (!follow || is_over(found->state()) || found->state() == "paused")) {
      output_.progress_over();
      Rows rows;
      for (const auto& target : found->plan().targets()) {
        json row = {{"instance", target.instance()}, {"agent", target.agent()}, {"zone", target.zone()}};
        if (const auto at = found->stages().find(target.instance()); at != found->stages().end())
          row["stage"] = at->second;
        if (const auto at = found->words().find(target.instance()); at != found->words().end())
          row["word"] = at->second;
        rows.push_back(std::move(row));
      }
      output_.rows(rows, {"instance", "agent", "zone", "stage", "word"});
      std::cerr << "rollout " << id << " is " << found->state()
                << (found->word().empty() ? "" : ": " + found->word()) << std::endl;
      return status_of(found->state());
    }
    if (found) output_.progress(found->state() + ", " + counts_of(*found));
    std::this_thread::sleep_for(milliseconds(500));
  }
}

int AgentCommands::say(const std::string& id, const std::string& word) {
  for (const Told& told : ask_rollouts(id)) {
    if (told.list.rollouts_size() == 0) continue;
    grpc::ClientContext context;
    set_deadline(context, fleet_.answers_within);
    agent::v1::Word ask;
    ask.set_id(id), ask.set_word(word);
    agent::v1::Said said;
    const grpc::Status status = stub_to(*told.place)->Say(&context, ask, &said);
    if (status.ok() && said.fault().empty()) return this->status(id, false), fleet::all_done;
    std::cerr << told.place->name << ": " << (status.ok() ? said.fault() : status.error_message())
              << std::endl;
    return status.ok() || done_of(status) == CommandOutcome::refused ? fleet::was_refused
                                                                     : fleet::some_unreachable;
  }
  std::cerr << "no agent that answers knows rollout " << id << std::endl;
  return fleet::some_unreachable;
}

}  // namespace pearchute::ctl

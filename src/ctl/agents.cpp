#include "ctl/agents.h"

#include <iostream>
#include <utility>

#include "ctl/rows.h"

namespace pearchute::ctl {

using fleet::CommandOutcome;
using json = nlohmann::ordered_json;

namespace {

// How current an agent's view of each peer is; empty where it doesn't gossip.
std::string describe_peers(const agent::v1::Shown& status) {
  std::string text = status.heard_size() > 0 && !status.speaks() ? "it can't speak itself" : "";
  for (const agent::v1::Heard& peer : status.heard()) {
    text += (text.empty() ? "" : ", ") + peer.agent() + " " + peer.freshness();
    if (peer.freshness() != "fresh" && peer.ever()) text += " (" + seconds_text(peer.age_ms()) + ")";
    if (peer.disputed()) text += " (two speak under its name)";
  }
  return text;
}

json instance_row(const std::string& agent, const agent::v1::Instance& instance) {
  json row = {{"agent", agent},
              {"instance", instance.name()},
              {"zone", instance.zone()},
              {"condition", instance.condition()},
              {"version", instance.version()},
              {"pid", instance.pid()},
              {"falls", instance.falls()}};
  if (instance.has_claim())
    row["claimed_by"] = instance.claim().who() + " for " + instance.claim().operation();
  return row;
}

void add_steps(const agent::v1::Instance& instance, json& row) {
  if (instance.has_under_way()) row["step"] = instance.under_way().kind();
  if (!instance.has_last()) return;
  const agent::v1::Ended& last = instance.last();
  row["last_step"] = last.step().kind() + " " + last.end() + ": " + last.word();
}

json lease_row(const std::string& agent, const agent::v1::Instance& instance) {
  const agent::v1::Claim& lease = instance.claim();
  return {{"instance", instance.name()},
          {"agent", agent},
          {"operation", lease.operation()},
          {"held_by", lease.who()},
          {"fence", lease.fence()},
          {"since", seconds_text(lease.held_ms())},
          {"left", seconds_text(lease.left_ms())}};
}

}  // namespace

AgentCommands::AgentCommands(const Fleet& fleet, std::vector<const Instance*> chosen, Output& output)
    : fleet_(fleet), chosen_(std::move(chosen)), output_(output), client_(fleet) {}

int AgentCommands::agents() {
  std::vector<CommandOutcome> outcomes;
  Rows rows;
  for (const AgentStatus& agent : client_.query_status()) {
    outcomes.push_back(agent.outcome);
    if (!agent.answered() || !agent.error.empty())
      rows.push_back({{"agent", agent.agent}, {"trouble", agent.error}, {"answers", agent.answered()}});
    std::string peers = describe_peers(agent.response);
    for (const agent::v1::Instance& instance : agent.response.instances()) {
      json row = instance_row(agent.agent, instance);
      if (!peers.empty()) row["hears"] = std::exchange(peers, "");  // in the agent's first row only
      add_steps(instance, row);
      rows.push_back(std::move(row));
    }
  }
  output_.rows(rows, {"agent", "instance", "zone", "condition", "version", "pid", "falls", "claimed_by",
                      "step", "last_step", "hears", "trouble"});
  return fleet::exit_status_of_query(outcomes);
}

int AgentCommands::leases() {
  std::vector<CommandOutcome> outcomes;
  Rows rows;
  for (const AgentStatus& agent : client_.query_status()) {
    outcomes.push_back(agent.outcome);
    if (!agent.answered()) std::cerr << agent.agent << ": " << agent.error << std::endl;
    for (const agent::v1::Instance& instance : agent.response.instances()) {
      if (instance.has_claim()) rows.push_back(lease_row(agent.agent, instance));
    }
  }
  output_.rows(rows, {"instance", "agent", "operation", "held_by", "fence", "since", "left"});
  return fleet::exit_status_of_query(outcomes);
}

}  // namespace pearchute::ctl

// The tables of roles: how each quantity of a role is computed, and which code provides it.
#include <functional>
#include <utility>

#include "lab/capacity/capacity_model.h"

namespace pearchute::lab::capacity {

namespace {

constexpr double one_manager = 1;
constexpr double percent = 100;
constexpr double microseconds_in_a_second = 1e6;
constexpr double milliseconds_in_a_second = 1e3;
constexpr double bytes_in_a_kilobyte = 1e3;
constexpr double bytes_in_a_megabyte = 1e6;
constexpr const char* status_spread =
    "fleet/gossip_state, fleet/anti_entropy_scheduler, agent/gossip_service";
constexpr const char* status_levels = "fleet/level_gossip: groups, zones, regions, fleet";

class RowBuilder {
 public:
  using Cost = std::function<Figure(const Condition&)>;
  explicit RowBuilder(const std::vector<Condition>& conditions) : conditions_(conditions) {}

  void add(Role role, const char* kind, const char* quantity, const char* mechanism, const Cost& cost,
           std::optional<double> limit = std::nullopt) {
    Row row{role, kind, quantity, mechanism, {}, limit};
    for (const Condition& condition : conditions_) row.cells.push_back(cost(condition));
    rows_.push_back(std::move(row));
  }
  void add_missing(Role role, const char* kind, const char* quantity) {
    rows_.push_back({role, kind, quantity, nothing_carries_this, {}});
  }
  std::vector<Row> take() { return std::move(rows_); }

 private:
  const std::vector<Condition>& conditions_;
  std::vector<Row> rows_;
};

void add_manager(RowBuilder& rows, const Costs& costs, Spreading spreading) {
  const Target& target = costs.target();
  const SlopeSet& slopes = costs.slopes();
  constexpr Role role = Role::manager;
  rows.add(role, "state", "engines known", "engines/list",
           [](const Condition& one) { return Figure::of_target(one.engines_known); });
  rows.add(role, "state", "client connections", "net/driver, front/",
           [](const Condition& one) { return Figure::of_target(one.connections); });
  rows.add(role, "state", "open statements", "core/control: queued, or rejected with a time to come back",
           [](const Condition& one) { return Figure::of_target(one.open_statements); });
  rows.add(
      role, "state", "descriptors", "net/driver; engines/engines shares connections where they run short",
      [&](const Condition& one) { return costs.descriptors(one); }, target.manager_descriptors);
  rows.add(role, "messages", "data: statements a second", "front/, engines/engines",
           [](const Condition& one) { return Figure::of_target(one.statements); });
  rows.add(role, "messages", "data: MB/s, clients and engines together", "front/, engines/engines",
           [&](const Condition& one) {
             const double bytes = 2 * one.statements * (target.statement_size + target.answer_size);
             return Figure::of_target(bytes / bytes_in_a_megabyte);
           });
  const char* const spread = spreading == Spreading::levels ? status_levels : status_spread;
  rows.add(
      role, "messages", "control: KB/s sent, agent's share included", spread,
      [&](const Condition& one) {
        return costs.control_bytes(one, one_manager, spreading, ByteDirections::sent);
      },
      target.control_bytes);
  rows.add(
      role, "messages", "control: KB/s both ways, agent's share included", spread,
      [&](const Condition& one) {
        return costs.control_bytes(one, one_manager, spreading, ByteDirections::both_ways);
      },
      target.control_bytes);
  rows.add(
      role, "processor", "data: cores", "core/control, front/, engines/; one thread",
      [&](const Condition& one) { return costs.data_processor(one); }, target.manager_processor);
  rows.add(
      role, "processor", "data: cores, with the engines of the measurement by rate", "the same, as a check",
      [&](const Condition& one) { return slopes.at("manager.cpu_share.by_rate", one.statements); },
      target.manager_processor);
  rows.add(
      role, "processor", "control: % of a core, agent's share included",
      "engines/list, admin/admin_server, agent/process_supervisor",
      [&](const Condition& one) { return costs.control_processor(one, one_manager, spreading); },
      target.control_processor);
  rows.add(role, "processor", "ms until ready after a start", "daemon/program", [&](const Condition& one) {
    return slopes.at("manager.ready_time.by_engines", one.engines_known);
  });
  rows.add(role, "memory", "data: MB", "front/, core/control",
           [&](const Condition& one) { return costs.data_memory(one); });
  rows.add(
      role, "memory", "control: MB, base and agent's share included", "engines/list, engines/engines, agent/",
      [&](const Condition& one) { return costs.control_memory(one, one_manager); }, target.control_memory);
  rows.add(
      role, "memory", "all: MB", "the two above",
      [&](const Condition& one) { return costs.data_memory(one) + costs.control_memory(one, one_manager); },
      target.manager_memory);
}

void add_agent(RowBuilder& rows, const Costs& costs, Spreading spreading) {
  const char* const spread = spreading == Spreading::levels ? status_levels : status_spread;
  constexpr Role role = Role::agent;
  rows.add(role, "state", "agents it hears of", spread,
           [](const Condition& one) { return Figure::of_target(one.managers); });
  rows.add(role, "messages", "KB/s sent", spread, [&](const Condition& one) {
    return costs.agent_bytes_sent(one, one_manager, spreading) * (1 / bytes_in_a_kilobyte);
  });
  rows.add(role, "messages", "KB/s received", spread, [&](const Condition& one) {
    return costs.agent_bytes_received(one, one_manager, spreading) * (1 / bytes_in_a_kilobyte);
  });
  rows.add(role, "messages", "writes to disk a second", "store/", [&](const Condition&) {
    return costs.slopes().at("agent.disk_writes.by_instances", one_manager);
  });
  rows.add(role, "processor", "% of a core", spread, [&](const Condition& one) {
    return costs.agent_processor(one, one_manager, spreading) * (percent / microseconds_in_a_second);
  });
  rows.add(role, "memory", "MB", spread,
           [&](const Condition& one) { return costs.agent_memory(one, one_manager); });
}

void add_engine(RowBuilder& rows, const Costs& costs) {
  const Target& target = costs.target();
  rows.add(
      Role::engine, "state", "connections of all managers", "engines/engines: each manager to each engine",
      [&](const Condition& one) { return costs.slopes().at("engine.connections.by_managers", one.managers); },
      target.engine_connections);
  rows.add(
      Role::engine, "messages", "probes a second, as measured", "core/control, engines/engines",
      [&](const Condition& one) { return costs.slopes().at("engine.probes.by_managers", one.managers); });
  rows.add(Role::engine, "messages", "signs of life asked for a second, at most", "engines/engines",
           [&](const Condition& one) {
             return Figure::of_target(one.managers * milliseconds_in_a_second / target.sign_of_life_period);
           });
}

// Returns what the list channel sends to all managers, in KB/s. Each event sends the whole list to each
// manager.
Figure channel_bytes(const Costs& costs, const Condition& condition) {
  return costs.slopes().at("manager.list_event_bytes.by_engines", condition.engines_known) *
         (condition.managers * condition.list_events / bytes_in_a_kilobyte);
}

void add_list_channel(RowBuilder& rows, const Costs& costs) {
  constexpr Role role = Role::list_channel;
  rows.add(role, "state", "connections", "engines/list: one stream for each manager",
           [&](const Condition& one) {
             return costs.slopes().at("channel.connections.by_managers", one.managers);
           });
  rows.add(role, "messages", "KB/s to all managers", "engines/list",
           [&](const Condition& one) { return channel_bytes(costs, one); });
  rows.add(role, "messages", "KB for one event to all managers, with the engines of its measurement",
           "the same, as a check", [&](const Condition& one) {
             return costs.slopes().at("channel.bytes.by_managers", one.managers) * (1 / bytes_in_a_kilobyte);
           });
  rows.add_missing(role, "messages", "a list in each region while they are cut off");
}

void add_control_machines(RowBuilder& rows, const Costs& costs) {
  const double share = 1 / costs.target().control_machines;
  constexpr Role role = Role::control_machine;
  rows.add(role, "state", "connections, if the list channel stands there in equal parts", "engines/list",
           [&](const Condition& one) {
             return costs.slopes().at("channel.connections.by_managers", one.managers) * share;
           });
  rows.add(role, "messages", "KB/s, if the list channel stands there in equal parts", "engines/list",
           [&](const Condition& one) { return channel_bytes(costs, one) * share; });
  rows.add_missing(role, "processor", "a control program of ours");
  rows.add_missing(role, "memory", "a control program of ours");
}

void add_operators(RowBuilder& rows, const Costs& costs) {
  const Target& target = costs.target();
  constexpr Role role = Role::operators;
  rows.add(role, "messages", "pearchutectl status of all, ms; silent instances not counted",
           "ctl/batch_executor", [&](const Condition&) {
             return costs.slopes().at("operator.status_time.by_instances", target.managers);
           });
  rows.add(role, "messages", "a rollout over all that live, s", "fleet/rollout, agent/coordinator",
           [&](const Condition& one) {
             return costs.slopes().at("operator.rollout_time.by_instances", one.managers);
           });
  if (!costs.slopes().has("agent.configuration_spread.by_agents")) {
    rows.add_missing(role, "messages", "a change of configuration in force, ms");
    return;
  }
  rows.add(
      role, "messages", "a change of configuration in force in all that reach each other, ms",
      "fleet/config_spread, fleet/config_version",
      [&](const Condition& one) { return costs.configuration_in_force(one); },
      target.configuration_in_force_within * milliseconds_in_a_second);
}

}  // namespace

std::vector<Row> role_rows(const Costs& costs, const std::vector<Condition>& conditions,
                           Spreading spreading) {
  RowBuilder rows(conditions);
  add_manager(rows, costs, spreading);
  add_agent(rows, costs, spreading);
  add_engine(rows, costs);
  add_list_channel(rows, costs);
  add_control_machines(rows, costs);
  add_operators(rows, costs);
  return rows.take();
}

}  // namespace pearchute::lab::capacity

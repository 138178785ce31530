#include "deployment.h"

#include <algorithm>
#include <initializer_list>

namespace pearchute::service {

namespace {

Duration microseconds_of(const NamedValues& values, std::string_view name) {
  return Duration(values.whole(name).value_or(0));
}

}  // namespace

int position(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::ranges::find(names, name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

// NOLINTNEXTLINE(readability-function-size): one line per setting
Deployment decode(const NamedValues& values) {
  Deployment deployment;
  ServiceDefinition& service = deployment.service;
  deployment.zones = values.list("failureDomains");
  deployment.kinds = values.list("hostTypes");
  service.zone = deployment.zone(values.text("zone").value_or(""));
  service.instance_index = static_cast<int>(values.whole("me").value_or(0));
  service.managers = static_cast<int>(values.whole("nInstances").value_or(1));

  const auto list_item = [&](std::string_view name, std::size_t i) -> std::optional<std::string> {
    const std::vector<std::string> items = values.list(name);
    return i < items.size() ? std::optional(items[i]) : std::nullopt;
  };
  const std::int64_t types = values.required_whole("classes.count");
  if (types < 1 || types > 1000) {
    throw Malformed("'classes.count': expected an integer from 1 to 1000, got '" + std::to_string(types) +
                    "'");
  }
  for (std::int64_t i = 0; i < types; ++i) {
    const auto at = [&](const char* name) { return "classes." + std::to_string(i) + "." + name; };
    deployment.types.emplace_back(values.required_text(at("name")));
    RequestType type;
    type.idempotency = one_of<Idempotency>(at("repeat"), values.text(at("repeat")).value_or("pure"),
                                           {{"pure", Idempotency::idempotent},
                                            {"token", Idempotency::idempotent_by_key},
                                            {"side_effect", Idempotency::non_idempotent}});
    type.deduplication_scope =
        one_of<DeduplicationScope>(at("keyScope"), values.text(at("keyScope")).value_or("all"),
                                   {{"all", DeduplicationScope::fleet},
                                    {"zone", DeduplicationScope::zone},
                                    {"cell", DeduplicationScope::cell}});
    type.deduplication_window = microseconds_of(values, at("window"));
    type.latency_objective = microseconds_of(values, at("slo"));
    type.latency_objective_per_work = values.number(at("aimStretch")).value_or(0);
    type.request_timeout = microseconds_of(values, at("giveUp"));
    type.priority_weight = values.number(at("worth")).value_or(1);
    type.late_value_share = values.number(at("lateValue")).value_or(0);
    type.ordered_by_key = values.flag(at("byArrival"));
    const auto index = static_cast<std::size_t>(i);
    if (const auto threads = list_item("familyInfo.parallelism", index)) {
      type.threads = std::max(1, static_cast<int>(parse_integer("familyInfo.parallelism", *threads)));
    }
    type.loads_data_set = list_item("familyInfo.classLoad", index) == "true";
    type.waits_for_data_load = list_item("familyInfo.classWaits", index) == "true";
    if (const auto names = values.list(at("runsIn")); !names.empty()) {
      type.zones.emplace();
      for (const std::string& name : names) type.zones->push_back(deployment.zone(name));
    }
    if (const auto names = values.list(at("boundTo")); !names.empty()) {
      type.kinds.emplace();
      for (const std::string& name : names) type.kinds->push_back(deployment.kind(name));
    }
    service.types.push_back(type);
  }
  const std::int64_t tenants = values.whole("orgs.count").value_or(0);
  for (std::int64_t i = 0; i < tenants; ++i) {
    const std::string at = "orgs." + std::to_string(i) + ".";
    deployment.tenants.emplace_back(values.text(at + "name").value_or(""));
    service.tenants.push_back({.quota_per_second = values.number(at + "quotaPerS").value_or(0)});
  }
  for (std::size_t i = 0; i < deployment.kinds.size(); ++i) {
    MachineKind machine;
    if (const auto cores = list_item("familyInfo.coresByKind", i)) {
      machine.cores = std::max(1, static_cast<int>(number_in("familyInfo.coresByKind", *cores)));
    }
    if (const auto size = list_item("familyInfo.sizeMb", i))
      machine.memory_mb = number_in("familyInfo.sizeMb", *size);
    service.kinds.push_back(machine);
  }
  service.requires_subscription = values.text("discovery") == "on_request";
  service.max_poll_interval = microseconds_of(values, "obligations.askWithin");
  service.event_interval = microseconds_of(values, "round");
  service.drain_grace = microseconds_of(values, "obligations.stopSendingWithin");
  service.slow_start_duration = microseconds_of(values, "obligations.cold");
  service.slow_start_initial_capacity = values.number("obligations.coldFrom").value_or(1);
  service.slow_start_limit_multiple = values.number("obligations.tipMultiple").value_or(0);
  service.slow_start_window = microseconds_of(values, "obligations.fall");
  service.key_quiet_period = microseconds_of(values, "obligations.orderPause");
  if (const auto span = values.whole("obligations.ratioSpan")) {
    service.retry_budget_window = Duration(*span);
    service.retry_budget_minimum = values.number("obligations.freeResends").value_or(0);
    service.retry_budget_ratio = values.number("obligations.extraShare").value_or(0);
  }
  service.max_attempts = static_cast<int>(values.whole("limits.attemptsCap").value_or(1));
  service.max_open_requests = values.whole("limits.maxOpen").value_or(0);
  service.allows_hedging = values.flag("limits.secondCopies");
  service.allows_cancel = values.flag("limits.cancel");
  service.allows_probes = values.flag("limits.mayProbe");
  service.sends_retry_after = values.flag("limits.retryAfter");
  service.max_retry_after = microseconds_of(values, "limits.maxRetryAfter");
  service.load_reports_in_probes = values.text("feedback.how") == "probe";
  service.engines_take_grants = values.flag("familyInfo.takesGrants");
  service.engines_take_priority = values.flag("familyInfo.takesPriority");
  service.max_grant_share = values.number("familyInfo.grantCap").value_or(1);
  service.memory_exhaustion_policy = one_of<MemoryExhaustionPolicy>(
      "familyInfo.outOfMemory", values.text("familyInfo.outOfMemory").value_or("line_up"),
      {{"line_up", MemoryExhaustionPolicy::queue},
       {"cut", MemoryExhaustionPolicy::abort},
       {"overcommit", MemoryExhaustionPolicy::overcommit}});
  service.progress_interval = microseconds_of(values, "familyInfo.tellsEvery");
  service.over_quota_weight = values.number("overShareWorth").value_or(1);
  service.cross_zone_cost = values.number("prices.crossZone").value_or(0);
  service.probe_cost = values.number("prices.probe").value_or(0);
  deployment.links.connect_timeout = microseconds_of(values, "limits.connectTimeout");
  deployment.links.idle_timeout = microseconds_of(values, "limits.idleClose");
  deployment.links.attempts_per_connection =
      static_cast<int>(values.whole("limits.streamsPerConn").value_or(1));
  deployment.links.liveness_probe_cost = service.probe_cost;
  return deployment;
}

}  // namespace pearchute::service

#include "deployment.h"

#include <algorithm>
#include <initializer_list>

namespace pearchute::service {

namespace {

Span span_of(const NamedValues& values, std::string_view name) {
  return Span(values.whole(name).value_or(0));
}

}  // namespace

int position(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::ranges::find(names, name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

// NOLINTNEXTLINE(readability-function-size): one line a setting
Deployment decode(const NamedValues& values) {
  Deployment deployment;
  ServiceDefinition& service = deployment.service;
  deployment.zones = values.list("failureDomains");
  deployment.kinds = values.list("hostTypes");
  service.zone = deployment.zone(values.text("zone").value_or(""));
  service.own_number = static_cast<int>(values.whole("me").value_or(0));
  service.managers = static_cast<int>(values.whole("nInstances").value_or(1));

  const auto per_type = [&](std::string_view name, std::size_t i) -> std::optional<std::string> {
    const std::vector<std::string> items = values.list(name);
    return i < items.size() ? std::optional(items[i]) : std::nullopt;
  };
  const std::int64_t types = values.required_whole("classes.count");
  if (types < 1 || types > 1000) throw Malformed("'classes.count' is out of range");
  for (std::int64_t i = 0; i < types; ++i) {
    const auto at = [&](const char* name) { return "classes." + std::to_string(i) + "." + name; };
    deployment.types.emplace_back(values.required_text(at("name")));
    ReservationType type;
    type.effect = one_of<Effect>(
        at("repeat"), values.text(at("repeat")).value_or("pure"),
        {{"pure", Effect::restartable}, {"token", Effect::keyed}, {"side_effect", Effect::run_once}});
    type.reach = one_of<Reach>(at("keyScope"), values.text(at("keyScope")).value_or("all"),
                               {{"all", Reach::all}, {"zone", Reach::zone}, {"cell", Reach::cell}});
    type.repeat_window = span_of(values, at("window"));
    type.sla_time = span_of(values, at("slo"));
    type.sla_stretch = values.number(at("aimStretch")).value_or(0);
    type.job_timeout = span_of(values, at("giveUp"));
    type.billed_value = values.number(at("worth")).value_or(1);
    type.late_share = values.number(at("lateValue")).value_or(0);
    type.in_order = values.flag(at("byArrival"));
    const auto index = static_cast<std::size_t>(i);
    if (const auto threads = per_type("familyInfo.parallelism", index)) {
      type.threads = std::max(1, static_cast<int>(whole_in("familyInfo.parallelism", *threads)));
    }
    type.holds_data = per_type("familyInfo.classLoad", index) == "true";
    type.waits_for_load = per_type("familyInfo.classWaits", index) == "true";
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
  const std::int64_t customers = values.whole("orgs.count").value_or(0);
  for (std::int64_t i = 0; i < customers; ++i) {
    const std::string at = "orgs." + std::to_string(i) + ".";
    deployment.customers.emplace_back(values.text(at + "name").value_or(""));
    service.customers.push_back({.jobs_per_second = values.number(at + "quotaPerS").value_or(0)});
  }
  for (std::size_t i = 0; i < deployment.kinds.size(); ++i) {
    MachineKind machine;
    if (const auto cores = per_type("familyInfo.coresByKind", i)) {
      machine.cores = std::max(1, static_cast<int>(number_in("familyInfo.coresByKind", *cores)));
    }
    if (const auto size = per_type("familyInfo.sizeMb", i))
      machine.memory_mb = number_in("familyInfo.sizeMb", *size);
    service.kinds.push_back(machine);
  }
  service.list_on_request = values.text("discovery") == "on_request";
  service.ask_within = span_of(values, "obligations.askWithin");
  service.round = span_of(values, "round");
  service.drain_grace = span_of(values, "obligations.stopSendingWithin");
  service.cold_lasts = span_of(values, "obligations.cold");
  service.cold_from = values.number("obligations.coldFrom").value_or(1);
  service.tip_multiple = values.number("obligations.tipMultiple").value_or(0);
  service.tip_window = span_of(values, "obligations.fall");
  service.order_rest = span_of(values, "obligations.orderPause");
  if (const auto span = values.whole("obligations.ratioSpan")) {
    service.ration_window = Span(*span);
    service.ration_few = values.number("obligations.freeResends").value_or(0);
    service.ration_share = values.number("obligations.extraShare").value_or(0);
  }
  service.most_dispatches = static_cast<int>(values.whole("limits.attemptsCap").value_or(1));
  service.most_open = values.whole("limits.maxOpen").value_or(0);
  service.second_copies = values.flag("limits.secondCopies");
  service.may_stop = values.flag("limits.cancel");
  service.may_probe = values.flag("limits.mayProbe");
  service.takes_retry_advice = values.flag("limits.retryAfter");
  service.longest_retry_advice = span_of(values, "limits.maxRetryAfter");
  service.reports_in_probes = values.text("feedback.how") == "probe";
  service.takes_grants = values.flag("familyInfo.takesGrants");
  service.takes_priority = values.flag("familyInfo.takesPriority");
  service.grant_cap = values.number("familyInfo.grantCap").value_or(1);
  service.out_of_memory =
      one_of<OutOfMemory>("familyInfo.outOfMemory", values.text("familyInfo.outOfMemory").value_or("line_up"),
                          {{"line_up", OutOfMemory::line_up},
                           {"cut", OutOfMemory::cut},
                           {"overcommit", OutOfMemory::overcommit}});
  service.tells_every = span_of(values, "familyInfo.tellsEvery");
  service.over_share_value = values.number("overShareWorth").value_or(1);
  service.crossing_price = values.number("prices.crossZone").value_or(0);
  service.probe_price = values.number("prices.probe").value_or(0);
  deployment.links.connect_within = span_of(values, "limits.connectTimeout");
  deployment.links.idle_close = span_of(values, "limits.idleClose");
  deployment.links.dispatches_each = static_cast<int>(values.whole("limits.streamsPerConn").value_or(1));
  deployment.links.sign_price = service.probe_price;
  return deployment;
}

}  // namespace pearchute::service

#include "agent/gossip_codec.h"

#include <algorithm>
#include <cmath>

#include "agent/rollout_codec.h"

namespace pearchute::agent {

using fleet::Duration;

namespace {

// 30 days: an older report is of no use, and the bound keeps sums of such durations from overflowing.
constexpr std::uint64_t max_age_us = 30ULL * 24 * 3600 * 1'000'000;

Duration microseconds_from(std::uint64_t duration_us) {
  return Duration(static_cast<Duration::rep>(duration_us));
}

std::optional<fleet::StatusReport> report_from_wire(const v1::InstanceWord& report) {
  if (report.lived_us() > max_age_us || !std::isfinite(report.traffic()) || !std::isfinite(report.done()))
    return std::nullopt;
  fleet::StatusReport to;
  to.instance = report.instance();
  to.zone = report.zone();
  to.state = parse_instance_state(report.condition());
  to.process_incarnation = report.life();
  to.in_state_for = microseconds_from(report.lived_us());
  to.traffic = report.traffic();
  to.done = report.done();
  to.open = report.open();
  return to;
}

}  // namespace

v1::InstanceWord to_wire(const fleet::StatusReport& report) {
  v1::InstanceWord to;
  to.set_instance(report.instance);
  to.set_zone(report.zone);
  to.set_condition(std::string(name_of(report.state)));
  to.set_life(report.process_incarnation);
  to.set_lived_us(static_cast<std::uint64_t>(report.in_state_for.count()));
  to.set_traffic(report.traffic);
  to.set_done(report.done);
  to.set_open(report.open);
  return to;
}

v1::News to_wire(const fleet::ReportDelta& delta) {
  v1::News to;
  to.set_agent(delta.agent);
  to.set_incarnation(delta.upto.incarnation);
  to.set_upto(delta.upto.through);
  to.set_age_us(static_cast<std::uint64_t>(std::max<Duration::rep>(delta.age.count(), 0)));
  to.set_age_known(delta.age_known);
  to.set_since(delta.since);
  to.set_through(delta.through);
  for (const fleet::ReportEntry& entry : delta.entries) {
    v1::Entry& one = *to.add_entries();
    one.set_number(entry.number);
    one.set_instance(entry.instance);
    if (entry.report) *one.mutable_word() = to_wire(*entry.report);
  }
  return to;
}

std::optional<fleet::ReportDelta> from_wire(const v1::News& delta) {
  if (delta.age_us() > max_age_us) return std::nullopt;
  fleet::ReportDelta to;
  to.agent = delta.agent();
  to.upto.incarnation = delta.incarnation();
  to.upto.through = delta.upto();
  to.age = microseconds_from(delta.age_us());
  to.age_known = delta.age_known();
  to.since = delta.since();
  to.through = delta.through();
  for (const v1::Entry& entry : delta.entries()) {
    fleet::ReportEntry& one = to.entries.emplace_back();
    one.number = entry.number();
    one.instance = entry.instance();
    if (!entry.has_word()) continue;
    one.report = report_from_wire(entry.word());
    if (!one.report || one.report->instance != entry.instance()) return std::nullopt;
  }
  return to;
}

v1::Question report_request(const std::string& agent,
                            const std::map<std::string, fleet::ReportVersion>& versions) {
  v1::Question request;
  request.set_agent(agent);
  for (const auto& [name, version] : versions) {
    v1::Mark& mark = *request.add_marks();
    mark.set_agent(name);
    mark.set_incarnation(version.incarnation);
    mark.set_through(version.through);
  }
  return request;
}

std::map<std::string, fleet::ReportVersion> versions_in(const v1::Question& request) {
  std::map<std::string, fleet::ReportVersion> versions;
  for (const v1::Mark& mark : request.marks()) versions[mark.agent()] = {mark.incarnation(), mark.through()};
  return versions;
}

v1::Heard to_wire(const std::string& agent, const fleet::GossipState::Known& known) {
  v1::Heard to;
  to.set_agent(agent);
  to.set_incarnation(known.mark.incarnation);
  to.set_number(known.mark.through);
  to.set_freshness(std::string(name_of(known.freshness)));
  to.set_disputed(known.disputed);
  to.set_ever(known.age.has_value());
  if (known.age) to.set_age_ms(whole_milliseconds(*known.age));
  return to;
}

}  // namespace pearchute::agent

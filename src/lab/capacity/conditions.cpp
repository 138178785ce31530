#include "lab/capacity/conditions.h"

namespace pearchute::lab::capacity {

namespace {

constexpr double seconds_in_a_day = 86'400;
constexpr double milliseconds_in_a_second = 1'000;
constexpr double percent = 100;

// Returns the condition of one manager at peak traffic when this many managers share all clients.
Condition at_the_peak(const Target& target, ConditionKind kind, const std::string& title, double managers) {
  Condition condition;
  condition.kind = kind;
  condition.title = title;
  condition.managers = managers;
  condition.engines_known = target.engines;
  condition.engines_connected = target.engines * target.engines_connected / percent;
  condition.connections = target.client_connections / managers;
  condition.statements = target.statements / managers;
  const double changes = target.machine_restarts + target.machine_failures + target.primary_changes;
  condition.list_events = changes * target.list_events_per_change / seconds_in_a_day;
  return condition;
}

}  // namespace

double larger_region_share(const Target& target) { return target.zones_of_larger_region / target.zones; }

std::vector<Condition> conditions(const Target& target) {
  const double zone_share = 1 / target.zones;
  const double region_share = larger_region_share(target);

  Condition ordinary = at_the_peak(target, ConditionKind::ordinary_day, "ordinary day", target.managers);
  ordinary.statements /= target.peak_to_mean;

  const Condition peak = at_the_peak(target, ConditionKind::peak, "peak", target.managers);

  Condition lost_zone = at_the_peak(target, ConditionKind::lost_zone, "lost zone, at the peak",
                                    target.managers * (1 - zone_share));
  lost_zone.engines_connected *= 1 - zone_share;
  lost_zone.list_events += target.engines * zone_share / target.fault_window;

  // Each side keeps its own clients. The condition is that of a manager on the larger side.
  Condition cut_off =
      at_the_peak(target, ConditionKind::regions_cut_off, "regions cut off, at the peak", target.managers);
  cut_off.managers *= region_share;
  cut_off.engines_connected *= region_share;

  Condition lost_region = at_the_peak(target, ConditionKind::lost_region, "lost region, at the peak",
                                      target.managers * (1 - region_share));
  lost_region.engines_connected *= 1 - region_share;
  lost_region.list_events += target.engines * region_share / target.fault_window;

  // A manager in the fault window of its own restart, in which an engine is restarted too.
  Condition restart =
      at_the_peak(target, ConditionKind::restart, "a restart under way, at the peak", target.managers);
  restart.list_events += target.list_events_per_change / target.fault_window;
  restart.restarts = 1 / target.fault_window;

  std::vector<Condition> all = {ordinary, peak, lost_zone, cut_off, lost_region, restart};
  for (Condition& condition : all)
    condition.open_statements = condition.statements * target.statement_time / milliseconds_in_a_second;
  return all;
}

}  // namespace pearchute::lab::capacity

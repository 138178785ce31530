#include "fleet/status_summary.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <tuple>
#include <utility>

namespace pearchute::fleet {

namespace {

using std::chrono::seconds;

// Average sizes of field tags, lengths and numbers in an encoded message, without names, in bytes.
constexpr std::size_t unit_overhead = 8;
constexpr std::size_t mark_overhead = 5;
constexpr std::size_t summary_overhead = 36;
constexpr std::size_t traffic_overhead = 3;
constexpr int bits_per_varint_byte = 7;
constexpr Duration::rep us_per_ms = 1000;

constexpr FreshnessLimits group_limits{seconds(6), seconds(30)};
constexpr FreshnessLimits zone_limits{seconds(10), seconds(50)};
constexpr FreshnessLimits region_limits{seconds(15), seconds(75)};

std::size_t varint_size(std::uint64_t value) {
  return 1 + static_cast<std::size_t>(std::bit_width(value) / bits_per_varint_byte);
}
std::size_t unit_size(const Unit& unit) { return unit_overhead + unit.region.size() + unit.zone.size(); }

bool has_valid_traffic(const StatusCounts& counts) {
  return std::isfinite(counts.traffic) && std::isfinite(counts.successful_traffic) && counts.traffic >= 0 &&
         counts.successful_traffic >= 0;
}

}  // namespace

void StatusCounts::add(const StatusReport& report) {
  ++by_state[static_cast<std::size_t>(report.state)];
  traffic += report.traffic;
  successful_traffic += report.traffic * report.done;
  open += report.open;
}

void StatusCounts::add(const StatusCounts& other) {
  for (std::size_t n = 0; n < instance_state_count; ++n) by_state[n] += other.by_state[n];
  traffic += other.traffic;
  successful_traffic += other.successful_traffic;
  open += other.open;
  agents_fresh += other.agents_fresh;
  agents_old += other.agents_old;
  agents_unknown += other.agents_unknown;
}

std::size_t encoded_size(const SummaryDelta& delta) {
  const StatusCounts& counts = delta.summary.counts;
  std::size_t size = summary_overhead + unit_size(delta.summary.unit) + delta.summary.writer.size();
  for (const std::uint32_t count : counts.by_state) size += count == 0 ? 0 : 1 + varint_size(count);
  size += 2 * sizeof(double) + traffic_overhead;
  size += varint_size(counts.open) + varint_size(counts.agents_fresh) + varint_size(counts.agents_old) +
          varint_size(counts.agents_unknown);
  return size;
}

std::size_t encoded_size(const SummaryMark& mark) {
  const auto age_ms = static_cast<std::uint64_t>(std::max<Duration::rep>(0, mark.age.count() / us_per_ms));
  return mark_overhead + sizeof(mark.unit) + varint_size(age_ms) + varint_size(mark.agents_fresh);
}

GroupStatus summarize_group(const GossipState& state, const std::vector<std::string>& members,
                            TimePoint now) {
  GroupStatus status;
  for (const std::string& member : members) {
    const GossipState::Known known = state.known(now, member);
    if (known.freshness == Freshness::unknown) ++status.counts.agents_unknown;
    if (known.freshness == Freshness::old) ++status.counts.agents_old;
    if (known.freshness != Freshness::fresh) continue;
    ++status.counts.agents_fresh;
    status.age = std::max(status.age, known.age.value_or(Duration(0)));
    for (const auto& [instance, report] : state.reports(member)) status.counts.add(report);
  }
  return status;
}

FreshnessLimits freshness_limits(Level level) {
  switch (level) {
    case Level::group:
      return group_limits;
    case Level::zone:
      return zone_limits;
    case Level::region:
      return region_limits;
  }
  return {};
}

void SummaryStore::set_topology(std::shared_ptr<const Topology> topology) {
  topology_ = std::move(topology);
  std::erase_if(units_, [&](const auto& unit) { return !topology_->contains(unit.first); });
  for (auto& [unit, writers] : units_)
    std::erase_if(writers, [&](const auto& entry) { return !is_acceptable(entry.second.summary); });
  std::erase_if(clocks_, [&](const auto& clock) { return !topology_->contains(clock.first); });
}

bool SummaryStore::is_acceptable(const StatusSummary& summary) const {
  const std::optional<Placement> writer = topology_->placement(summary.writer);
  if (!writer || writer->at(summary.unit.level) != summary.unit) return false;
  // A writer counts no more agents than its unit has by its own configuration. The limit has a margin, since
  // the writer's configuration may differ from this agent's.
  const std::size_t configured = topology_->ranked_members(summary.unit).size();
  return summary.counts.agents() <= 2 * configured + Topology::max_group_size &&
         summary.age_when_made >= Duration(0) && has_valid_traffic(summary.counts);
}

// Returns the time, by this agent's clock, at which the oldest report in the summary was valid. Returns none
// if that can't be proven.
std::optional<TimePoint> SummaryStore::as_of(TimePoint now, const Entry& entry) const {
  if (entry.disputed) return std::nullopt;
  const StatusSummary& summary = entry.summary;
  if (entry.own) return summary.made_at - summary.age_when_made;
  const auto clock = clocks_.find(summary.writer);
  if (clock == clocks_.end()) return std::nullopt;
  const std::optional<Duration> offset = clock->second.offset(now, summary.version.incarnation);
  if (!offset) return std::nullopt;
  return std::min(summary.made_at + *offset, entry.received) - summary.age_when_made;
}

void SummaryStore::publish(TimePoint now, const StatusSummary& own) {
  if (!is_acceptable(own)) return;
  auto& writers = units_[own.unit];
  writers[own.writer] = {own, now, true, false};
  drop_excess_writers(writers, own.writer);
}

bool SummaryStore::merge(TimePoint now, TimePoint queried_at, const std::string& reporter,
                         const SummaryDelta& delta) {
  const StatusSummary& summary = delta.summary;
  if (!is_acceptable(summary)) return false;
  // By the age that the reporter states, the summary was made at this time or later.
  const TimePoint made = queried_at - std::max(delta.age - summary.age_when_made, Duration(0));
  clocks_[summary.writer].add_bound(now, summary.version.incarnation, reporter, reporter == summary.writer,
                                    made - summary.made_at);
  auto& writers = units_[summary.unit];
  const auto [entry, is_new] = writers.try_emplace(summary.writer, Entry{summary, now, false, false});
  Entry& known = entry->second;
  if (is_new) {
    drop_excess_writers(writers, summary.writer);
    return true;
  }
  if (known.own || summary.version < known.summary.version) return false;
  if (summary.version > known.summary.version) {
    known = {summary, now, false, false};
    return true;
  }
  // A writer never writes two contents under one version, so two processes write under its name. All readers
  // keep the same one of the two contents, and use neither.
  if (known.summary != summary) known.disputed = true;
  const auto rank = [](const StatusSummary& ranked) {
    return std::tie(ranked.made_at, ranked.age_when_made, ranked.counts);
  };
  if (rank(known.summary) < rank(summary)) known.summary = summary;
  return false;
}

void SummaryStore::drop_excess_writers(std::map<std::string, Entry>& writers, const std::string& keep) {
  while (writers.size() > max_writers) {
    auto oldest = writers.end();
    for (auto entry = writers.begin(); entry != writers.end(); ++entry) {
      if (entry->first == keep || entry->second.own) continue;
      if (oldest == writers.end() || entry->second.received < oldest->second.received) oldest = entry;
    }
    if (oldest == writers.end()) return;
    writers.erase(oldest);
  }
}

// Expiry lets a writer that has lost its disk be read again after a time, even if readers have a past summary
// of a later incarnation.
void SummaryStore::expire(TimePoint now) {
  for (auto& [unit, writers] : units_) {
    const Duration limit = freshness_limits(unit.level).old;
    std::erase_if(writers, [&](const auto& entry) { return now - entry.second.received > limit; });
  }
}

std::optional<SummaryStore::Selected> SummaryStore::selected(TimePoint now, const Unit& unit) const {
  const auto writers = units_.find(unit);
  if (writers == units_.end()) return std::nullopt;
  std::vector<Selected> candidates;
  for (const auto& [writer, entry] : writers->second) {
    if (const std::optional<TimePoint> when = as_of(now, entry))
      candidates.push_back({&entry.summary, *when});
  }
  if (candidates.empty()) return std::nullopt;
  const TimePoint youngest = std::ranges::max(candidates, {}, &Selected::as_of).as_of;
  std::erase_if(candidates,
                [&](const Selected& candidate) { return candidate.as_of < youngest - coverage_window; });
  return std::ranges::max(candidates, {}, [](const Selected& candidate) {
    const StatusSummary& summary = *candidate.summary;
    return std::tuple(summary.counts.agents_fresh, candidate.as_of, summary.writer);
  });
}

Freshness SummaryStore::freshness(TimePoint now, const Unit& unit) const {
  const std::optional<Selected> best = selected(now, unit);
  if (!best) return Freshness::unknown;
  const FreshnessLimits limits = freshness_limits(unit.level);
  const Duration age = now - best->as_of;
  if (age > limits.old) return Freshness::unknown;
  return age <= limits.fresh ? Freshness::fresh : Freshness::old;
}

std::vector<std::string> SummaryStore::fresh_writers(TimePoint now, const Unit& unit) const {
  std::vector<std::string> result;
  const auto writers = units_.find(unit);
  if (writers == units_.end()) return result;
  for (const auto& [writer, entry] : writers->second) {
    const std::optional<TimePoint> when = as_of(now, entry);
    if (when && now - *when <= freshness_limits(unit.level).fresh) result.push_back(writer);
  }
  return result;
}

std::vector<std::string> SummaryStore::writers(const Unit& unit) const {
  std::vector<std::string> result;
  const auto writers = units_.find(unit);
  if (writers == units_.end()) return result;
  for (const auto& [writer, entry] : writers->second) result.push_back(writer);
  return result;
}

std::optional<SummaryVersion> SummaryStore::version(const Unit& unit, const std::string& writer) const {
  const auto writers = units_.find(unit);
  if (writers == units_.end()) return std::nullopt;
  const auto entry = writers->second.find(writer);
  if (entry == writers->second.end()) return std::nullopt;
  return entry->second.summary.version;
}

std::optional<SummaryMark> SummaryStore::mark(TimePoint now, const Unit& unit) const {
  const std::optional<Selected> best = selected(now, unit);
  if (!best) return std::nullopt;
  return SummaryMark{id_of(unit), now - best->as_of, best->summary->counts.agents_fresh};
}

std::optional<SummaryDelta> SummaryStore::answer(TimePoint now, const Unit& unit,
                                                 const SummaryMark* theirs) const {
  const std::optional<Selected> best = selected(now, unit);
  if (!best) return std::nullopt;
  const Duration age = now - best->as_of;
  if (age > freshness_limits(unit.level).old) return std::nullopt;
  if (theirs) {
    const bool younger = age + min_gain < theirs->age;
    const bool covers_more =
        best->summary->counts.agents_fresh > theirs->agents_fresh && age < theirs->age + coverage_window;
    if (!younger && !covers_more) return std::nullopt;
  }
  return SummaryDelta{*best->summary, age};
}

std::optional<SummaryDelta> SummaryStore::past_of(TimePoint now, const std::string& writer,
                                                  std::uint64_t incarnation) const {
  for (const auto& [unit, writers] : units_) {
    const auto entry = writers.find(writer);
    if (entry != writers.end() && entry->second.summary.version.incarnation > incarnation)
      return SummaryDelta{entry->second.summary, now - entry->second.received};
  }
  return std::nullopt;
}

GroupStatus SummaryStore::combine(TimePoint now, const std::vector<Unit>& parts) const {
  GroupStatus status;
  for (const Unit& part : parts) {
    const std::optional<Selected> best = selected(now, part);
    if (!best || freshness(now, part) != Freshness::fresh) {
      status.counts.agents_unknown += static_cast<std::uint32_t>(topology_->ranked_members(part).size());
      continue;
    }
    status.counts.add(best->summary->counts);
    status.age = std::max(status.age, now - best->as_of);
  }
  return status;
}

std::size_t SummaryStore::size() const {
  std::size_t sum = 0;
  for (const auto& [unit, writers] : units_) sum += writers.size();
  return sum;
}

}  // namespace pearchute::fleet

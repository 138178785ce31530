#include "agent/wire.h"

#include <array>
#include <cmath>

namespace pearchute::agent {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr std::array<std::string_view, 4> kinds = {"drain", "resume", "restart", "change"};
constexpr std::array<std::string_view, 2> fallbacks = {"serve_again", "finish"};
constexpr std::array<std::string_view, 3> ends = {"done", "time_up", "fell_back"};

template <class Enum, std::size_t size>
Enum among(const std::array<std::string_view, size>& words, const std::string& word) {
  for (std::size_t i = 0; i < size; ++i) {
    if (words[i] == word) return static_cast<Enum>(i);
  }
  throw MessageError("'" + word + "' is not known");
}

std::uint64_t ms(fleet::Duration span) {
  return static_cast<std::uint64_t>(duration_cast<milliseconds>(span).count());
}

// A day is longer than anything that is waited for here.
fleet::Duration span(std::uint64_t from) {
  if (from > 24 * 3600 * 1000) throw MessageError("a span of over a day");
  return milliseconds(from);
}

}  // namespace

std::string_view name_of(fleet::StepKind kind) { return kinds[static_cast<std::size_t>(kind)]; }
std::string_view name_of(fleet::StepEnd end) { return ends[static_cast<std::size_t>(end)]; }

fleet::InstanceState parse_instance_state(const std::string& word) {
  for (int i = 0; i <= static_cast<int>(fleet::InstanceState::foreign); ++i) {
    if (name_of(static_cast<fleet::InstanceState>(i)) == word) return static_cast<fleet::InstanceState>(i);
  }
  return fleet::InstanceState::unseen;
}

v1::Step to_wire(const fleet::Step& step) {
  v1::Step to;
  to.set_operation(step.operation), to.set_fence(step.fence);
  to.set_kind(std::string(name_of(step.kind)));
  to.set_fallback(std::string(fallbacks[static_cast<std::size_t>(step.fallback)]));
  to.set_version(step.version);
  to.set_drain_within_ms(ms(step.drain_within)), to.set_up_within_ms(ms(step.up_within));
  return to;
}

fleet::Step from_wire(const v1::Step& step) {
  fleet::Step to;
  to.operation = step.operation(), to.fence = step.fence();
  to.kind = among<fleet::StepKind>(kinds, step.kind());
  to.fallback = among<fleet::Fallback>(fallbacks, step.fallback());
  to.version = step.version();
  to.drain_within = span(step.drain_within_ms()), to.up_within = span(step.up_within_ms());
  return to;
}

v1::InstanceWord to_wire(const fleet::StatusReport& word) {
  v1::InstanceWord to;
  to.set_instance(word.instance), to.set_zone(word.zone);
  to.set_condition(std::string(name_of(word.state)));
  to.set_life(word.process_incarnation),
      to.set_lived_us(static_cast<std::uint64_t>(word.in_state_for.count()));
  to.set_traffic(word.traffic), to.set_done(word.done), to.set_open(word.open);
  return to;
}

v1::News to_wire(const fleet::ReportDelta& news) {
  v1::News to;
  to.set_agent(news.agent), to.set_incarnation(news.upto.incarnation), to.set_upto(news.upto.through);
  to.set_age_us(static_cast<std::uint64_t>(std::max<fleet::Duration::rep>(news.age.count(), 0)));
  to.set_age_known(news.age_known), to.set_since(news.since), to.set_through(news.through);
  for (const fleet::Entry& entry : news.entries) {
    v1::Entry& one = *to.add_entries();
    one.set_number(entry.number), one.set_instance(entry.instance);
    if (entry.report) *one.mutable_word() = to_wire(*entry.report);
  }
  return to;
}

std::optional<fleet::ReportDelta> from_wire(const v1::News& news) {
  // A month: beyond it nothing is worth an age, and sums of spans stay far from their end.
  constexpr std::uint64_t longest_us = 30ULL * 24 * 3600 * 1'000'000;
  fleet::ReportDelta to;
  to.agent = news.agent(), to.upto = {news.incarnation(), news.upto()};
  if (news.age_us() > longest_us) return std::nullopt;
  to.age = fleet::Duration(static_cast<fleet::Duration::rep>(news.age_us())), to.age_known = news.age_known();
  to.since = news.since(), to.through = news.through();
  for (const v1::Entry& entry : news.entries()) {
    fleet::Entry& one = to.entries.emplace_back();
    one.number = entry.number(), one.instance = entry.instance();
    if (!entry.has_word()) continue;
    const v1::InstanceWord& word = entry.word();
    if (word.instance() != entry.instance() || word.lived_us() > longest_us ||
        !std::isfinite(word.traffic()) || !std::isfinite(word.done()))
      return std::nullopt;
    one.report = {word.instance(),
                  word.zone(),
                  parse_instance_state(word.condition()),
                  word.life(),
                  fleet::Duration(static_cast<fleet::Duration::rep>(word.lived_us())),
                  word.traffic(),
                  word.done(),
                  word.open()};
  }
  return to;
}

v1::Ended to_wire(const fleet::InstanceLifecycle::CompletedStep& past) {
  v1::Ended to;
  *to.mutable_step() = to_wire(past.step);
  to.set_end(std::string(name_of(past.end))), to.set_word(past.detail);
  return to;
}

fleet::InstanceLifecycle::CompletedStep from_wire(const v1::Ended& ended) {
  return {from_wire(ended.step()), among<fleet::StepEnd>(ends, ended.end()), ended.word()};
}

v1::Plan to_wire(const fleet::RolloutPlan& plan) {
  v1::Plan to;
  to.set_id(plan.id), to.set_who(plan.who), to.set_kind(std::string(name_of(plan.kind)));
  to.set_fallback(std::string(fallbacks[static_cast<std::size_t>(plan.fallback)]));
  to.set_version(plan.version), to.set_version_before(plan.version_before);
  for (const fleet::Target& target : plan.targets) {
    v1::Target& one = *to.add_targets();
    one.set_instance(target.instance), one.set_agent(target.agent), one.set_zone(target.zone);
  }
  to.set_at_once(plan.max_concurrent), to.set_batch(plan.batch);
  for (const auto& [zone, least] : plan.min_serving) (*to.mutable_least_serving())[zone] = least;
  to.set_warm_ms(ms(plan.warm)), to.set_gate_ms(ms(plan.gate)), to.set_margin(plan.margin);
  to.set_failures(plan.failures), to.set_reverts(plan.reverts), to.set_take_over(plan.take_over),
      to.set_lease_ms(ms(plan.lease_duration));
  to.set_drain_within_ms(ms(plan.drain_within)), to.set_up_within_ms(ms(plan.up_within));
  return to;
}

fleet::RolloutPlan from_wire(const v1::Plan& plan) {
  fleet::RolloutPlan to;
  to.id = plan.id(), to.who = plan.who();
  to.kind = among<fleet::StepKind>(kinds, plan.kind());
  to.fallback = among<fleet::Fallback>(fallbacks, plan.fallback());
  to.version = plan.version(), to.version_before = plan.version_before();
  for (const v1::Target& target : plan.targets())
    to.targets.push_back({target.instance(), target.agent(), target.zone()});
  to.max_concurrent = plan.at_once(), to.batch = plan.batch();
  for (const auto& [zone, least] : plan.least_serving()) to.min_serving[zone] = least;
  to.warm = span(plan.warm_ms()), to.gate = span(plan.gate_ms()), to.margin = plan.margin();
  to.failures = plan.failures(), to.reverts = plan.reverts(), to.take_over = plan.take_over(),
  to.lease_duration = span(plan.lease_ms());
  to.drain_within = span(plan.drain_within_ms()), to.up_within = span(plan.up_within_ms());
  if (to.id.empty() || to.id.size() > 64 || to.who.empty() || to.who.size() > 128)
    throw MessageError("a rollout needs a short id and a name");
  if (to.max_concurrent < 1 || to.batch < 0 || to.failures < 0) throw MessageError("a limit out of bounds");
  if (to.targets.empty() || to.targets.size() > 5000) throw MessageError("no target, or too many");
  if (to.lease_duration < fleet::LeaseTable::min_lease || to.lease_duration > fleet::LeaseTable::max_lease)
    throw MessageError("a lease out of bounds");
  return to;
}

}  // namespace pearchute::agent

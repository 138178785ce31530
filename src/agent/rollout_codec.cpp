#include "agent/rollout_codec.h"

#include <algorithm>
#include <array>

namespace pearchute::agent {

using fleet::Duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr std::array<std::string_view, 4> step_kinds = {"drain", "resume", "restart", "change"};
constexpr std::array<std::string_view, 2> fallbacks = {"serve_again", "finish"};
constexpr std::array<std::string_view, 3> step_ends = {"done", "time_up", "fell_back"};

constexpr std::size_t max_rollout_id_length = 64;
constexpr std::size_t max_operator_name_length = 128;
constexpr int max_targets = 5000;
// One day: no lease, timeout or waiting period of a rollout may be longer.
constexpr std::uint64_t max_duration_ms = 24 * 3600 * 1000;

template <class Enum, std::size_t Size>
Enum parse(const std::array<std::string_view, Size>& names, const std::string& name) {
  const auto at = std::ranges::find(names, name);
  if (at != names.end()) return static_cast<Enum>(at - names.begin());
  std::string expected;
  for (const std::string_view one : names) expected += (expected.empty() ? "" : ", ") + std::string(one);
  throw MessageError("expected one of " + expected + ", got '" + name + "'");
}

std::string fallback_name(fleet::Fallback fallback) {
  return std::string(fallbacks[static_cast<std::size_t>(fallback)]);
}

Duration duration_from_ms(std::uint64_t duration_ms) {
  if (duration_ms > max_duration_ms)
    throw MessageError("expected a duration of at most " + std::to_string(max_duration_ms) + " ms, got " +
                       std::to_string(duration_ms) + " ms");
  return milliseconds(duration_ms);
}

std::uint64_t non_negative_ms(Duration duration) {
  return whole_milliseconds(std::max(duration, Duration::zero()));
}

std::string ms_text(Duration duration) { return std::to_string(whole_milliseconds(duration)); }

void check_bounds(const fleet::RolloutPlan& plan) {
  if (plan.id.empty() || plan.id.size() > max_rollout_id_length || plan.who.empty() ||
      plan.who.size() > max_operator_name_length)
    throw MessageError("a rollout needs an id of 1 to " + std::to_string(max_rollout_id_length) +
                       " characters and an operator's name of 1 to " +
                       std::to_string(max_operator_name_length) + " characters");
  if (plan.max_concurrent < 1 || plan.batch < 0 || plan.failures < 0)
    throw MessageError("expected at_once of at least 1, batch and failures of at least 0, got at_once " +
                       std::to_string(plan.max_concurrent) + ", batch " + std::to_string(plan.batch) +
                       ", failures " + std::to_string(plan.failures));
  if (plan.targets.empty() || plan.targets.size() > max_targets)
    throw MessageError("a rollout needs 1 to " + std::to_string(max_targets) + " target instances, got " +
                       std::to_string(plan.targets.size()));
  if (plan.lease_duration < fleet::LeaseTable::min_lease ||
      plan.lease_duration > fleet::LeaseTable::max_lease)
    throw MessageError("expected a lease duration of " + ms_text(fleet::LeaseTable::min_lease) + " to " +
                       ms_text(fleet::LeaseTable::max_lease) + " ms, got " + ms_text(plan.lease_duration) +
                       " ms");
}

}  // namespace

std::string_view name_of(fleet::StepKind kind) { return step_kinds[static_cast<std::size_t>(kind)]; }
std::string_view name_of(fleet::StepEnd end) { return step_ends[static_cast<std::size_t>(end)]; }

fleet::InstanceState parse_instance_state(const std::string& name) {
  for (int i = 0; i <= static_cast<int>(fleet::InstanceState::foreign); ++i) {
    const auto state = static_cast<fleet::InstanceState>(i);
    if (name_of(state) == name) return state;
  }
  return fleet::InstanceState::unseen;
}

std::uint64_t whole_milliseconds(Duration duration) {
  return static_cast<std::uint64_t>(duration_cast<milliseconds>(duration).count());
}

v1::Step to_wire(const fleet::Step& step) {
  v1::Step to;
  to.set_operation(step.operation);
  to.set_fence(step.fence);
  to.set_kind(std::string(name_of(step.kind)));
  to.set_fallback(fallback_name(step.fallback));
  to.set_version(step.version);
  to.set_drain_within_ms(whole_milliseconds(step.drain_within));
  to.set_up_within_ms(whole_milliseconds(step.up_within));
  return to;
}

fleet::Step from_wire(const v1::Step& step) {
  fleet::Step to;
  to.operation = step.operation();
  to.fence = step.fence();
  to.kind = parse<fleet::StepKind>(step_kinds, step.kind());
  to.fallback = parse<fleet::Fallback>(fallbacks, step.fallback());
  to.version = step.version();
  to.drain_within = duration_from_ms(step.drain_within_ms());
  to.up_within = duration_from_ms(step.up_within_ms());
  return to;
}

v1::Ended to_wire(const fleet::InstanceLifecycle::CompletedStep& completed) {
  v1::Ended to;
  *to.mutable_step() = to_wire(completed.step);
  to.set_end(std::string(name_of(completed.end)));
  to.set_word(completed.detail);
  return to;
}

fleet::InstanceLifecycle::CompletedStep from_wire(const v1::Ended& completed) {
  return {from_wire(completed.step()), parse<fleet::StepEnd>(step_ends, completed.end()), completed.word()};
}

v1::ClaimAsk to_wire(const fleet::LeaseRequest& request) {
  v1::ClaimAsk to;
  to.set_operation(request.operation);
  to.set_who(request.who);
  for (const std::string& instance : request.instances) to.add_instances(instance);
  to.set_lease_ms(whole_milliseconds(request.lease_duration));
  to.set_take_over(request.take_over);
  return to;
}

fleet::LeaseRequest from_wire(const v1::ClaimAsk& request) {
  fleet::LeaseRequest to;
  to.operation = request.operation();
  to.who = request.who();
  to.instances.assign(request.instances().begin(), request.instances().end());
  to.lease_duration = lease_duration_from_ms(request.lease_ms());
  to.take_over = request.take_over();
  return to;
}

milliseconds lease_duration_from_ms(std::uint64_t lease_ms) {
  if (lease_ms > max_duration_ms)
    throw MessageError("expected a lease duration of at most " + std::to_string(max_duration_ms) +
                       " ms, got " + std::to_string(lease_ms) + " ms");
  return milliseconds(lease_ms);
}

v1::Claim to_wire(const fleet::Lease& lease, fleet::TimePoint now) {
  v1::Claim to;
  to.set_operation(lease.operation);
  to.set_who(lease.who);
  to.set_fence(lease.fence);
  to.set_held_ms(non_negative_ms(now - lease.since));
  to.set_left_ms(non_negative_ms(lease.until - now));
  return to;
}

v1::ClaimAnswer to_wire(const fleet::LeaseTable::Answer& response, fleet::TimePoint now) {
  v1::ClaimAnswer to;
  to.set_granted(response.granted);
  to.set_fault(response.fault);
  for (const auto& [instance, fence] : response.fences) (*to.mutable_fences())[instance] = fence;
  for (const fleet::LeaseTable::Conflict& conflict : response.conflicts) {
    v1::ClaimAnswer::Held& one = *to.add_held();
    one.set_instance(conflict.instance);
    *one.mutable_claim() = to_wire(conflict.lease, now);
  }
  return to;
}

v1::Plan to_wire(const fleet::RolloutPlan& plan) {
  v1::Plan to;
  to.set_id(plan.id);
  to.set_who(plan.who);
  to.set_kind(std::string(name_of(plan.kind)));
  to.set_fallback(fallback_name(plan.fallback));
  to.set_version(plan.version);
  to.set_version_before(plan.version_before);
  for (const fleet::Target& target : plan.targets) {
    v1::Target& one = *to.add_targets();
    one.set_instance(target.instance);
    one.set_agent(target.agent);
    one.set_zone(target.zone);
  }
  to.set_at_once(plan.max_concurrent);
  to.set_batch(plan.batch);
  for (const auto& [zone, count] : plan.min_serving) (*to.mutable_least_serving())[zone] = count;
  to.set_warm_ms(whole_milliseconds(plan.warm));
  to.set_gate_ms(whole_milliseconds(plan.gate));
  to.set_margin(plan.margin);
  to.set_failures(plan.failures);
  to.set_reverts(plan.reverts);
  to.set_take_over(plan.take_over);
  to.set_lease_ms(whole_milliseconds(plan.lease_duration));
  to.set_drain_within_ms(whole_milliseconds(plan.drain_within));
  to.set_up_within_ms(whole_milliseconds(plan.up_within));
  return to;
}

fleet::RolloutPlan from_wire(const v1::Plan& plan) {
  fleet::RolloutPlan to;
  to.id = plan.id();
  to.who = plan.who();
  to.kind = parse<fleet::StepKind>(step_kinds, plan.kind());
  to.fallback = parse<fleet::Fallback>(fallbacks, plan.fallback());
  to.version = plan.version();
  to.version_before = plan.version_before();
  for (const v1::Target& target : plan.targets())
    to.targets.push_back({target.instance(), target.agent(), target.zone()});
  to.max_concurrent = plan.at_once();
  to.batch = plan.batch();
  for (const auto& [zone, count] : plan.least_serving()) to.min_serving[zone] = count;
  to.warm = duration_from_ms(plan.warm_ms());
  to.gate = duration_from_ms(plan.gate_ms());
  to.margin = plan.margin();
  to.failures = plan.failures();
  to.reverts = plan.reverts();
  to.take_over = plan.take_over();
  to.lease_duration = duration_from_ms(plan.lease_ms());
  to.drain_within = duration_from_ms(plan.drain_within_ms());
  to.up_within = duration_from_ms(plan.up_within_ms());
  check_bounds(to);
  return to;
}

}  // namespace pearchute::agent

#include "agent/rollout_driver.h"

#include "agent/loop_time.h"
#include "agent/rollout_codec.h"
#include "net/log.h"

namespace pearchute::agent {

using fleet::Rollout;
using fleet::TimePoint;
using std::chrono::milliseconds;

namespace {

// A healthy agent responds within milliseconds.
constexpr milliseconds response_timeout(1500);
constexpr milliseconds resend_delay(500);

constexpr std::uint64_t ms_per_second = 1000;

// Why a lease request was refused, for operators: its error, and the current holders of the requested leases.
std::string describe_conflicts(const v1::ClaimAnswer& response) {
  std::string text = response.fault();
  for (const v1::ClaimAnswer::Held& conflict : response.held()) {
    const v1::Claim& lease = conflict.claim();
    text += (text.empty() ? "" : "; ") + conflict.instance() + " is held by " + lease.who() + " for " +
            lease.operation() + " since " + std::to_string(lease.held_ms() / ms_per_second) + " s, for " +
            std::to_string(lease.left_ms() / ms_per_second) + " s more";
  }
  return text;
}

}  // namespace

RolloutDriver::RolloutDriver(net::EventLoopThread& loop_thread, Peers& peers, store::Store& store,
                             const fleet::RolloutPlan& plan, std::int64_t started_unix_ms)
    : loop_thread_(loop_thread),
      peers_(peers),
      store_(store),
      started_unix_ms_(started_unix_ms),
      rollout_(*this, plan) {}

TimePoint RolloutDriver::now() const { return fleet_now(loop_thread_.loop()); }

void RolloutDriver::resend_later(std::function<void()> send) {
  loop_thread_.loop().at(loop_time(now() + resend_delay), while_alive(std::move(send)));
}

bool RolloutDriver::persist(Rollout::State state) {
  return store_.write_rollout(
      {rollout_.plan(), state, rollout_.stages(), rollout_.detail(), started_unix_ms_});
}

void RolloutDriver::request_leases(const std::string& agent, const std::vector<std::string>& instances) {
  const fleet::RolloutPlan& plan = rollout_.plan();
  const fleet::LeaseRequest request = {plan.id, plan.who, instances, plan.lease_duration, plan.take_over};
  const auto on_response = [this, agent, instances, sent_at = now()](bool ok,
                                                                     const v1::ClaimAnswer& response) {
    if (ok) return on_lease_response(sent_at, agent, response);
    if (rollout_.state() == Rollout::State::acquiring_leases)
      resend_later([this, agent, instances] { request_leases(agent, instances); });
  };
  peers_.call(agent, rpc::acquire_leases, response_timeout, to_wire(request), while_alive(on_response));
}

void RolloutDriver::on_lease_response(TimePoint sent_at, const std::string& agent,
                                      const v1::ClaimAnswer& response) {
  const std::map<std::string, std::uint64_t> fences(response.fences().begin(), response.fences().end());
  rollout_.on_lease_response(now(), sent_at, agent, response.granted(), fences, describe_conflicts(response));
}

void RolloutDriver::renew(const std::string& agent, const std::vector<std::string>& instances) {
  v1::Renewal request;
  request.set_operation(rollout_.plan().id);
  for (const std::string& instance : instances) request.add_instances(instance);
  request.set_lease_ms(whole_milliseconds(rollout_.plan().lease_duration));
  const auto on_response = [this, agent, sent_at = now()](bool ok, const v1::Renewed& response) {
    if (ok) rollout_.on_renewal_response(now(), sent_at, agent, response.live());
  };
  peers_.call(agent, rpc::renew_leases, response_timeout, request, while_alive(on_response));
}

// Not resent: if the request is lost, the leases expire.
void RolloutDriver::release(const std::string& agent) {
  v1::Operation request;
  request.set_id(rollout_.plan().id);
  peers_.call(agent, rpc::release_leases, response_timeout, request, [](bool, const v1::Empty&) {});
}

void RolloutDriver::step(const std::string& agent, const std::string& instance, const fleet::Step& step) {
  v1::StepAsk request;
  request.set_instance(instance);
  *request.mutable_step() = to_wire(step);
  const auto on_response = [this, agent, instance, step](bool ok, const v1::StepAnswer& response) {
    if (ok) return rollout_.on_step_response(now(), instance, response.accepted(), response.fault());
    // Resends only while the lease is live; after that the agent would refuse the step.
    const std::optional<TimePoint> lease_until = rollout_.lease_until(agent);
    if (!lease_until || now() + resend_delay >= *lease_until) return;
    if (rollout_.stages().at(instance) == Rollout::Stage::requested)
      resend_later([this, agent, instance, step] { this->step(agent, instance, step); });
  };
  peers_.call(agent, rpc::start_step, response_timeout, request, while_alive(on_response));
}

void RolloutDriver::request_fleet_status() {
  const auto on_response = [this](bool ok, const v1::Shown& status) {
    if (ok) on_status(status);
  };
  for (const std::string& agent : peers_.names())
    peers_.call(agent, rpc::get_status, response_timeout, v1::Empty(), while_alive(on_response));
}

void RolloutDriver::on_status(const v1::Shown& status) {
  for (const v1::Instance& instance : status.instances()) {
    rollout_.on_instance_state(now(), instance.name(), instance.zone(),
                               parse_instance_state(instance.condition()));
    if (instance.has_last() && instance.last().step().operation() == rollout_.plan().id) {
      const fleet::InstanceLifecycle::CompletedStep completed = from_wire(instance.last());
      rollout_.on_step_ended(now(), instance.name(), completed.step, completed.end, completed.detail);
    }
    completion_rate_.add(instance.name(),
                         {instance.pid(), instance.life(), instance.done(), instance.answered()});
  }
  completion_rate_.decay();
  rollout_.on_service_level(now(), completion_rate_.value());
}

void RolloutDriver::on_event(std::string_view event) {
  spdlog::info("rollout {}: {}", rollout_.plan().id, event);
}

}  // namespace pearchute::agent

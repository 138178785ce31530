#include "agent/manager_client.h"

#include <nlohmann/json.hpp>

namespace pearchute::agent {

using admin::CallEnd;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// A healthy manager answers within a millisecond, on an overloaded machine within some tens of milliseconds.
constexpr milliseconds response_timeout(1000);
// A drained instance stays drained until an operator resumes it, but for a day at most.
constexpr milliseconds drain_lease = std::chrono::hours(24);

// Reads the counters of answered requests from `text`, the JSON object that GET /counters returns too.
void read_counters(const std::string& text, ManagerStatus& status) {
  const auto counters = nlohmann::json::parse(text, nullptr, false);
  if (!counters.is_object() || !counters.contains("answered")) return;
  const auto& answered = counters["answered"];
  const auto count = [&](const char* outcome) { return answered.value(outcome, std::uint64_t{0}); };
  status.done = count("done");
  status.answered_requests = status.done + count("throttled") + count("cancelled");
}

}  // namespace

void ManagerClient::poll(std::function<void()> on_status) {
  if (poll_pending_) return;
  poll_pending_ = true;
  admin::v1::Call call;
  call.mutable_status();
  caller_.call(call, response_timeout,
               [this, on_status = std::move(on_status)](CallEnd end, const admin::v1::Reply& reply) {
                 update(end, reply);
                 on_status();
               });
}

void ManagerClient::update(CallEnd end, const admin::v1::Reply& reply) {
  poll_pending_ = false;
  has_polled_ = true;
  const admin::v1::Identity& identity = reply.status().identity();
  status_.answered = end == CallEnd::answered && reply.outcome() == admin::v1::ok;
  status_.phase = identity.phase();
  status_.drain_state = identity.rest();
  status_.pid = static_cast<std::int64_t>(identity.pid());
  status_.started_unix_ms = identity.started_unix_ms();
  status_.open_requests = reply.status().open_jobs();
  read_counters(reply.status().counters(), status_);  // without a reply the counters keep their values
}

// A call that only the process of the last status executes: another one may have taken its address since.
admin::v1::Call ManagerClient::call_to_process() const {
  admin::v1::Call call;
  call.set_pid(static_cast<std::uint64_t>(status_.pid));
  return call;
}

void ManagerClient::request_shutdown(fleet::Duration within) {
  admin::v1::Call call = call_to_process();
  call.mutable_end()->set_within_ms(static_cast<std::uint64_t>(duration_cast<milliseconds>(within).count()));
  caller_.call(call, response_timeout, {});
}

void ManagerClient::cancel_shutdown() {
  admin::v1::Call call = call_to_process();
  call.mutable_end()->set_called_off(true);
  caller_.call(call, response_timeout, {});
}

// Sends the order with a generation above all that the manager knows, so that it supersedes them.
void ManagerClient::order_drain(const std::string& holder, bool drains, const fleet::Step& step) {
  admin::v1::Call known_orders;
  known_orders.mutable_orders();
  caller_.call(known_orders, response_timeout,
               [this, holder, drains, step](CallEnd end, const admin::v1::Reply& reply) {
                 if (end == CallEnd::answered)
                   send_drain(holder, drains, step, reply.orders().newest_generation() + 1);
               });
}

void ManagerClient::send_drain(const std::string& holder, bool drains, const fleet::Step& step,
                               std::uint64_t generation) {
  const std::string suffix = drains ? "-drain" : "-restore";
  admin::v1::Call call = call_to_process();
  admin::v1::Order& order = *call.mutable_order();
  order.set_id(step.operation + "-" + std::to_string(step.fence) + suffix);
  order.set_holder(holder);
  order.set_drains(drains);
  order.set_generation(generation);
  order.set_lease_ms(static_cast<std::uint64_t>(drain_lease.count()));
  order.set_reason("operation " + step.operation);
  caller_.call(call, response_timeout, {});
}

}  // namespace pearchute::agent

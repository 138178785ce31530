#include "ctl/instance_restart.h"

#include <chrono>
#include <iostream>
#include <utility>

#include "ctl/detached_process.h"
#include "ctl/requests.h"
#include "system/retries.h"

namespace pearchute::ctl {

using admin::CallEnd;
using admin::v1::Call;
using fleet::Restart;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

fleet::TimePoint steady_now() {
  return duration_cast<fleet::TimePoint>(std::chrono::steady_clock::now().time_since_epoch());
}

Restart::ProbeResult probe_result(const CallResult& result) {
  if (result.answered()) return Restart::ProbeResult::answered;
  return result.end == CallEnd::unreachable ? Restart::ProbeResult::gone : Restart::ProbeResult::silent;
}

Restart::Identity identity_in(const admin::v1::Identity& identity) {
  Restart::Identity result;
  result.started = identity.started_unix_ms();
  result.process = identity.pid();
  result.serves = identity.phase() == "serving";
  result.build = identity.build();
  result.digest = identity.digest();
  return result;
}

std::set<std::string> ids_of(const OrdersById& orders) {
  std::set<std::string> ids;
  for (const auto& [id, order] : orders) ids.insert(id);
  return ids;
}

}  // namespace

std::optional<OrdersById> read_orders(BatchExecutor& executor, const Instance& instance) {
  OrdersById orders;
  const std::vector<BatchExecutor::Pages> pages = executor.call_pages({&instance}, orders_request);
  for (const CallResult& page : pages.front()) {
    if (!page.ok()) return std::nullopt;
    for (const admin::v1::Order& order : page.reply.orders().orders()) orders[order.id()] = order;
  }
  return orders;
}

InstanceRestart::InstanceRestart(BatchExecutor& executor, const Instance& instance,
                                 const Restart::Limits& limits, const admin::v1::Identity& identity,
                                 OrdersById orders)
    : executor_(executor), instance_(instance), orders_before_(std::move(orders)), restart_(*this, limits) {
  restart_.begin(steady_now(), identity_in(identity), ids_of(orders_before_));
}

void InstanceRestart::advance() {
  if (shutdown_within_) return shut_down(*std::exchange(shutdown_within_, std::nullopt));
  if (std::exchange(start_requested_, false)) start();
  reissue_orders();
  if (std::exchange(orders_requested_, false)) return check_orders();
  probe();
}

void InstanceRestart::shut_down(fleet::Duration within) {
  Call call;
  call.mutable_end()->set_within_ms(static_cast<std::uint64_t>(duration_cast<milliseconds>(within).count()));
  const CallResult result = executor_.call_one(instance_, call);
  restart_.on_shutdown_response(steady_now(), probe_result(result), result.ok());
}

// Retries a shortage: a manager that was shut down for a restart must not stay down because a fork failed for
// a moment.
void InstanceRestart::start() {
  try {
    retry_while_short([&] { start_detached(instance_.start_command); }, [](const ResourceShortage&) {});
  } catch (const ResourceShortage& shortage) {
    std::cerr << instance_.facts.name << ": cannot run its start command: " << shortage.what() << "\n";
  }
}

void InstanceRestart::reissue_orders() {
  for (const std::string& id : std::exchange(reissued_ids_, {})) {
    Call call;
    *call.mutable_order() = orders_before_.at(id);
    executor_.call_one(instance_, call);
  }
}

void InstanceRestart::check_orders() {
  const std::optional<OrdersById> orders = read_orders(executor_, instance_);
  restart_.on_directives(steady_now(), orders ? std::optional(ids_of(*orders)) : std::nullopt);
}

void InstanceRestart::probe() {
  const CallResult result = executor_.call_one(instance_, identity_request());
  std::optional<Restart::Identity> identity;
  if (result.ok()) identity = identity_in(result.reply.identity());
  restart_.on_probe(steady_now(), probe_result(result), identity);
}

}  // namespace pearchute::ctl

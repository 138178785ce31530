// The agent's side of one manager's admin channel: what the manager says of itself, and the orders that it
// gets.
//
// Lives on the event loop. Destroying it drops what is pending: no handler is called any more.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "admin/caller.h"
#include "fleet/instance_lifecycle.h"

namespace pearchute::agent {

// As a manager answered last. Where it did not answer, the fields are empty or zero.
struct ManagerStatus {
  bool answered = false;
  std::string phase;        // see admin.proto, Identity
  std::string drain_state;  // serving, draining, drained
  std::int64_t pid = 0;
  std::uint64_t started_unix_ms = 0;  // by its own wall clock
  std::uint64_t open_requests = 0;
  std::uint64_t done = 0;               // requests, since it started
  std::uint64_t answered_requests = 0;  // the same; done, throttled and cancelled ones
};

// One manager.
class ManagerClient {
 public:
  ManagerClient(net::Loop& loop, const admin::Endpoint& place) : caller_(loop, place) {}

  // Asks for the status, and calls `on_status` once status() is up to date. Nothing happens while an earlier
  // poll is pending.
  void poll(std::function<void()> on_status);
  bool has_polled() const { return has_polled_; }
  const ManagerStatus& status() const { return status_; }

  // Orders. An order that is lost is not sent again: the lifecycle sees that nothing changes.

  // The manager ends once its open requests have ended, or after `within`.
  void request_shutdown(fleet::Duration within);
  void cancel_shutdown();
  // Drains the manager or restores it, as `holder`, on behalf of the step's operation.
  void order_drain(const std::string& holder, bool drains, const fleet::Step& step);

 private:
  void update(admin::CallEnd end, const admin::v1::Reply& reply);
  void send_drain(const std::string& holder, bool drains, const fleet::Step& step, std::uint64_t generation);

  admin::Caller caller_;
  ManagerStatus status_;
  bool poll_pending_ = false;
  bool has_polled_ = false;
};

}  // namespace pearchute::agent

// The agent's client for the admin channel of one manager: polls the manager's status and sends orders to it.
//
// Lives on the event loop. Destroying it drops pending replies: no handler runs after that.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "admin/admin_client.h"
#include "fleet/instance_lifecycle.h"

namespace pearchute::agent {

// The result of the last poll of a manager. If the manager didn't answer, `done` and `answered_requests` keep
// their last values and the other fields are empty or zero.
struct ManagerStatus {
  bool answered = false;
  std::string phase;        // Identity.phase of admin.proto
  std::string drain_state;  // serving, draining, drained
  std::int64_t pid = 0;
  std::uint64_t started_unix_ms = 0;  // by the manager's wall clock
  std::uint64_t open_requests = 0;
  std::uint64_t done = 0;               // requests done since the manager started
  std::uint64_t answered_requests = 0;  // requests done, throttled or cancelled since the manager started
};

class ManagerClient {
 public:
  ManagerClient(net::Loop& loop, const admin::Endpoint& place) : caller_(loop, place) {}

  // Requests the status. `on_status` runs once status() is updated, also if the manager didn't answer. Does
  // nothing while an earlier poll is pending.
  void poll(std::function<void()> on_status);
  bool has_polled() const { return has_polled_; }
  const ManagerStatus& status() const { return status_; }

  // Orders. A lost order is not sent again here: the instance's lifecycle notices that the manager's state
  // doesn't change.

  // The manager exits once its open requests have ended, or after `within`.
  void request_shutdown(fleet::Duration within);
  void cancel_shutdown();
  // Drains the manager, or restores it if `drains` is false. The order names `holder` and the step's
  // operation.
  void order_drain(const std::string& holder, bool drains, const fleet::Step& step);

 private:
  admin::v1::Call call_to_process() const;
  void update(admin::CallEnd end, const admin::v1::Reply& reply);
  void send_drain(const std::string& holder, bool drains, const fleet::Step& step, std::uint64_t generation);

  admin::Caller caller_;
  ManagerStatus status_;
  bool poll_pending_ = false;
  bool has_polled_ = false;
};

}  // namespace pearchute::agent

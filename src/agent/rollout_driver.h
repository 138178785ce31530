// Drives one rollout: executes the decisions of fleet::Rollout by RPCs to the agents concerned, passes the
// responses to it, and persists each of its states. Lease requests and steps are resent until an agent
// responds; both are idempotent.
//
// Lives on the event loop. Responses that arrive after its destruction are ignored.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "agent/completion_rate.h"
#include "agent/peers.h"
#include "fleet/rollout.h"
#include "store/store.h"

namespace pearchute::agent {

class RolloutDriver final : public fleet::Rollout::Host {
 public:
  // The references outlive the driver. Starts nothing: call begin() or restore() of rollout().
  RolloutDriver(net::EventLoopThread& loop_thread, Peers& peers, store::Store& store,
                const fleet::RolloutPlan& plan, std::int64_t started_unix_ms);

  fleet::Rollout& rollout() { return rollout_; }
  const fleet::Rollout& rollout() const { return rollout_; }

 private:
  bool persist(fleet::Rollout::State state) override;
  void request_leases(const std::string& agent, const std::vector<std::string>& instances) override;
  void renew(const std::string& agent, const std::vector<std::string>& instances) override;
  void release(const std::string& agent) override;
  void step(const std::string& agent, const std::string& instance, const fleet::Step& step) override;
  void request_fleet_status() override;
  void on_event(std::string_view event) override;

  void on_lease_response(fleet::TimePoint sent_at, const std::string& agent, const v1::ClaimAnswer& response);
  void on_status(const v1::Shown& status);
  void resend_later(std::function<void()> send);
  fleet::TimePoint now() const;
  // Wraps a handler so that it does nothing after this driver's destruction.
  template <class Handler>
  auto while_alive(Handler handler) const {
    return [alive = std::weak_ptr<bool>(alive_), handler](const auto&... arguments) {
      if (!alive.expired()) handler(arguments...);
    };
  }

  net::EventLoopThread& loop_thread_;
  Peers& peers_;
  store::Store& store_;
  const std::int64_t started_unix_ms_;
  CompletionRate completion_rate_;
  fleet::Rollout rollout_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent

// Restarts one manager from the command line: makes the calls that fleet::Restart requests, one at a time,
// and reports their results to it.
//
// Functions block for the duration of a call.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "ctl/batch_executor.h"
#include "fleet/restart.h"

namespace pearchute::ctl {

// Orders in force by their ids.
using OrdersById = std::map<std::string, admin::v1::Order>;

// Reads the orders in force at an instance. Returns nothing where a page could not be read.
std::optional<OrdersById> read_orders(BatchExecutor& executor, const Instance& instance);

// One restart. It begins with the constructor; call advance() until restart().over().
class InstanceRestart final : public fleet::Restart::Host {
 public:
  // `identity` and `orders` describe the instance before the restart. The references outlive the object.
  InstanceRestart(BatchExecutor& executor, const Instance& instance, const fleet::Restart::Limits& limits,
                  const admin::v1::Identity& identity, OrdersById orders);

  // Makes the next requested call, or probes the instance.
  void advance();
  const Instance& instance() const { return instance_; }
  const fleet::Restart& restart() const { return restart_; }

 private:
  // fleet::Restart::Host. Calls that are requested here are made by the next advance().
  void request_shutdown(fleet::Duration within) override { shutdown_within_ = within; }
  void start_program() override { start_requested_ = true; }
  void request_directives() override { orders_requested_ = true; }
  void reissue_directives(const std::set<std::string>& ids) override { reissued_ids_ = ids; }

  void shut_down(fleet::Duration within);
  void start();
  void reissue_orders();
  void check_orders();
  void probe();

  BatchExecutor& executor_;
  const Instance& instance_;
  const OrdersById orders_before_;
  std::optional<fleet::Duration> shutdown_within_;
  bool start_requested_ = false;
  bool orders_requested_ = false;
  std::set<std::string> reissued_ids_;
  fleet::Restart restart_;
};

}  // namespace pearchute::ctl

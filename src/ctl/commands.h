// The operators' commands over the chosen managers. Each asks them, prints every instance's own result, and
// returns the documented exit status. What a command would stop, how outcomes make a status, and the steps of
// a restart are fleet/'s to decide.
//
// Blocks until the command is over, or the operator interrupts it.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "ctl/batch_executor.h"
#include "ctl/fleet_file.h"
#include "ctl/output.h"
#include "fleet/command_outcome.h"
#include "fleet/zone_disruption.h"

namespace pearchute::ctl {

// How a change is to be made.
struct ChangeOptions {
  bool dry_run = false;
  bool yes = false;       // without a confirmation
  bool everyone = false;  // a restore ends other holders' orders, too
  std::string holder;     // on whose behalf
  std::string reason;
  std::chrono::seconds lease{3600};        // how long an order holds
  std::chrono::seconds drain_timeout{30};  // until nothing is open
  std::chrono::seconds start_timeout{30};  // from an end until it serves again
  std::size_t at_once = 1;                 // restarts under way at a time
};

// For one command over the chosen instances.
class Commands {
 public:
  // The references outlive it.
  Commands(const Fleet& fleet, std::vector<const Instance*> chosen, Output& output);

  int status();
  int engines();
  int jobs(std::uint32_t limit);
  // Status again and again; `rounds` 0: until interrupted.
  int top(std::chrono::milliseconds interval, int rounds);
  // Events for `time`; 0: until interrupted.
  int watch(std::chrono::milliseconds time);
  int orders();
  int drain(const ChangeOptions& options);
  int resume(const ChangeOptions& options);
  int restart(const ChangeOptions& options);
  // `drains`: else the engines are restored.
  int engine_orders(const std::vector<std::string>& engines, bool drains, const ChangeOptions& options);
  int engine_list();
  int log_level(const std::string& level);
  int check();

 private:
  using Outcomes = std::vector<fleet::CommandOutcome>;
  using Disruptions = std::vector<fleet::ZoneDisruption>;
  // By chosen instance, in their order.
  struct OrderResults {
    Rows rows;
    Outcomes outcomes;
  };
  using RowsOfReply = std::function<void(const Instance&, const admin::v1::Reply&, Rows&)>;

  int print_query(const std::vector<BatchExecutor::Pages>& answers, const std::vector<std::string>& columns,
                  const RowsOfReply& add_rows);
  Rows query_status(Outcomes& outcomes);

  OrderResults give_order(const std::string& subject, bool drains, const ChangeOptions& options);
  OrderResults would_order(const std::vector<CallResult>& known_orders, const std::string& subject,
                           bool drains) const;
  std::vector<CallResult> send_order(const admin::v1::Call& order);
  void await_drained(const ChangeOptions& options, OrderResults& results);
  bool confirmed(const Disruptions& disruptions, const std::string& command, const ChangeOptions& options);
  Disruptions disruptions_of_managers();
  Disruptions disruptions_of_engines(const std::vector<std::string>& engines);

  const Fleet& fleet_;
  const std::vector<const Instance*> chosen_;
  Output& output_;
  BatchExecutor executor_;
};

}  // namespace pearchute::ctl

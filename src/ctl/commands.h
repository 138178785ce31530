// The commands for the chosen managers. Each command calls the managers, prints one result per instance, and
// returns the exit status. The code in src/fleet decides which zones a command disrupts, how outcomes map to
// an exit status, and the steps of a restart.
//
// Commands block until they are complete or the operator interrupts them.
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

// Options of the commands that change something.
struct ChangeOptions {
  bool dry_run = false;
  bool yes = false;       // skips the confirmation
  bool everyone = false;  // a restore also ends the older orders of other holders
  std::string holder;     // the operator on whose behalf orders are given
  std::string reason;
  std::chrono::seconds lease{3600};        // of an order to drain
  std::chrono::seconds drain_timeout{30};  // until no request is open
  std::chrono::seconds start_timeout{30};  // from the end of a process until the next one serves
  std::size_t max_concurrent_restarts = 1;
};

// Runs one command for the chosen instances.
class Commands {
 public:
  // The references and the chosen instances outlive the object.
  Commands(const Fleet& fleet, std::vector<const Instance*> chosen, Output& output);

  int status();
  int engines();
  // Prints the oldest open requests, at most `limit` of each manager.
  int requests(std::uint32_t limit);
  // Prints the status every `interval`, `rounds` times; 0: until interrupted.
  int top(std::chrono::milliseconds interval, int rounds);
  // Prints events for `time`; 0: until interrupted.
  int watch(std::chrono::milliseconds time);
  int orders();
  int drain(const ChangeOptions& options);
  int resume(const ChangeOptions& options);
  int restart(const ChangeOptions& options);
  // Drains the engines or, where `drains` is false, restores them.
  int engine_orders(const std::vector<std::string>& engines, bool drains, const ChangeOptions& options);
  int engine_list();
  int log_level(const std::string& level);
  int check();

 private:
  using Outcomes = std::vector<fleet::CommandOutcome>;
  using Disruptions = std::vector<fleet::ZoneDisruption>;
  // One row and one outcome per chosen instance, in their order.
  struct OrderResults {
    Rows rows;
    Outcomes outcomes;
  };
  using RowsOfReply = std::function<void(const Instance&, const admin::v1::Reply&, Rows&)>;

  int print_query(const std::vector<BatchExecutor::Pages>& answers, const std::vector<std::string>& columns,
                  const RowsOfReply& add_rows);
  Rows query_status(Outcomes& outcomes);

  OrderResults issue_order(const std::string& subject, bool drains, const ChangeOptions& options);
  OrderResults preview_order(const std::vector<CallResult>& known_orders, const std::string& subject,
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

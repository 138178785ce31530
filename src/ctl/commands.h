// The operators' commands over the chosen instances. Each asks, tells every instance's own result, and ends
// with the documented status. It decides nothing that fleet/ decides: losses, statuses, a restart's steps.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "ctl/batch_executor.h"
#include "ctl/fleet_file.h"
#include "ctl/output.h"
#include "fleet/command_outcome.h"

namespace pearchute::ctl {

// How a change is to be made.
struct ChangeOptions {
  bool dry_run = false, yes = false, everyone = false;
  std::string holder, reason;
  std::chrono::seconds lease{3600};
  std::chrono::seconds within{30};     // to be drained
  std::chrono::seconds up_within{30};  // to serve again
  std::size_t at_once = 1;             // restarts
};

class Commands {
 public:
  Commands(const Fleet& fleet, std::vector<const Instance*> chosen, Output& output);

  int status();
  int engines();
  int jobs(std::uint32_t most);
  int top(std::chrono::milliseconds every, int rounds);
  int watch(std::chrono::milliseconds time);
  int orders();
  int drain(const ChangeOptions& options);
  int resume(const ChangeOptions& options);
  int restart(const ChangeOptions& options);
  int engine_orders(const std::vector<std::string>& engines, bool drains, const ChangeOptions& options);
  int engine_list();
  int log_level(const std::string& level);
  int check();

 private:
  struct OrderResults {
    Rows rows;
    std::vector<fleet::CommandOutcome> each;
  };
  int question(const std::vector<BatchExecutor::Pages>& answers, const std::vector<std::string>& columns,
               const std::function<void(const Instance&, const admin::v1::Reply&, Rows&)>& rows_of);
  Rows status_rows(std::vector<fleet::CommandOutcome>& each);
  // One order of `subject` to each chosen instance, with a generation over all that they know of.
  OrderResults give(const std::string& subject, bool drains, const ChangeOptions& options);
  bool confirmed(const std::vector<fleet::ZoneDisruption>& losses, const std::string& what,
                 const ChangeOptions& options);
  std::vector<fleet::ZoneDisruption> losses_of_managers();

  const Fleet& fleet_;
  const std::vector<const Instance*> chosen_;
  Output& output_;
  BatchExecutor executor_;
};

}  // namespace pearchute::ctl

// The command that restarts managers, some at a time.
#include <algorithm>
#include <map>
#include <memory>
#include <thread>

#include "ctl/commands.h"
#include "ctl/instance_restart.h"
#include "ctl/interrupt.h"
#include "ctl/requests.h"
#include "ctl/rows.h"

namespace pearchute::ctl {

using fleet::CommandOutcome;
using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds advance_interval(100);

// Restarts the chosen instances in their order. The first one that does not come back stops the rest: the
// fault may be everyone's. What has begun is seen to its end.
class RollingRestart {
 public:
  RollingRestart(BatchExecutor& executor, const std::vector<const Instance*>& instances,
                 const ChangeOptions& options, Rows& rows, std::vector<CommandOutcome>& outcomes)
      : executor_(executor), instances_(instances), options_(options), rows_(rows), outcomes_(outcomes) {}

  void run(Output& output) {
    while ((!stopped_ && next_ < instances_.size()) || !open_.empty()) {
      if (interrupted()) stopped_ = true;
      while (!stopped_ && next_ < instances_.size() && open_.size() < options_.at_once) begin_next();
      const std::string progress = advance_open();
      if (!progress.empty()) output.progress(progress);
      if (!open_.empty()) std::this_thread::sleep_for(advance_interval);
    }
  }

 private:
  void begin_next() {
    const std::size_t index = next_++;
    const Instance& instance = *instances_[index];
    const CallResult known = executor_.call_one(instance, identity_request());
    const std::optional<OrdersById> orders = read_orders(executor_, instance);
    if (!known.ok() || !orders) {
      outcomes_[index] = known.ok() ? CommandOutcome::unreachable : outcome_of(known);
      rows_[index]["result"] = known.ok() ? "its orders can't be read" : known.error();
      stopped_ = true;
      return;
    }
    fleet::Restart::Limits limits;
    limits.drain_within = options_.drain_timeout;
    limits.up_within = options_.start_timeout;
    limits.starts_program = !instance.start_command.empty();
    open_[index] =
        std::make_unique<InstanceRestart>(executor_, instance, limits, known.reply.identity(), *orders);
  }

  // Returns the progress of those that are still under way.
  std::string advance_open() {
    std::string progress;
    for (auto it = open_.begin(); it != open_.end();) {
      auto& [index, restart] = *it;
      restart->advance();
      if (restart->restart().over()) {
        finish(index, restart->restart());
        it = open_.erase(it);
        continue;
      }
      progress += (progress.empty() ? "" : ", ") + restart->instance().facts.name + " " +
                  std::string(fleet::name_of(restart->restart().state()));
      ++it;
    }
    return progress;
  }

  void finish(std::size_t index, const fleet::Restart& restart) {
    outcomes_[index] = restart.outcome();
    rows_[index]["result"] = restart.detail();
    rows_[index]["handed_over"] = restart.reissued_count();
    if (restart.outcome() != CommandOutcome::yes) stopped_ = true;
  }

  BatchExecutor& executor_;
  const std::vector<const Instance*>& instances_;
  const ChangeOptions& options_;
  Rows& rows_;                                                    // by instance
  std::vector<CommandOutcome>& outcomes_;                         // the same
  std::map<std::size_t, std::unique_ptr<InstanceRestart>> open_;  // by instance's index
  std::size_t next_ = 0;
  bool stopped_ = false;  // begins no further one
};

}  // namespace

int Commands::restart(const ChangeOptions& options) {
  // Only `at_once` of them stop at a time, not all that are chosen.
  if (options.at_once > 1 && !options.dry_run && !confirmed(disruptions_of_managers(), "restart", options))
    return fleet::not_confirmed;
  Rows rows;
  Outcomes outcomes(chosen_.size(), options.dry_run ? CommandOutcome::yes : CommandOutcome::not_begun);
  for (const Instance* instance : chosen_) {
    json row = instance_row(*instance);
    row["result"] = options.dry_run ? "would be restarted" : "not begun";
    if (options.dry_run)
      row["start"] = instance->start_command.empty() ? "by somebody else" : instance->start_command;
    rows.push_back(std::move(row));
  }
  if (!options.dry_run) RollingRestart(executor_, chosen_, options, rows, outcomes).run(output_);
  output_.progress_over();
  output_.rows(rows, {"instance", "zone", "result", "start"});
  return fleet::exit_status_of_change(outcomes);
}

}  // namespace pearchute::ctl

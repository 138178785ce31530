// The command that restarts managers, a limited number at a time.
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

// Restarts the chosen instances in order. After the first failure no further restart begins, since the cause
// may affect all instances; those under way are completed.
class RollingRestart {
 public:
  RollingRestart(BatchExecutor& executor, const std::vector<const Instance*>& instances,
                 const ChangeOptions& options, Rows& rows, std::vector<CommandOutcome>& outcomes)
      : executor_(executor), instances_(instances), options_(options), rows_(rows), outcomes_(outcomes) {}

  void run(Output& output) {
    while ((!stopping_ && next_ < instances_.size()) || !in_progress_.empty()) {
      if (interrupted()) stopping_ = true;
      while (!stopping_ && next_ < instances_.size() &&
             in_progress_.size() < options_.max_concurrent_restarts)
        begin_next();
      const std::string progress = advance_all();
      if (!progress.empty()) output.progress(progress);
      if (!in_progress_.empty()) std::this_thread::sleep_for(advance_interval);
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
      rows_[index]["result"] = known.ok() ? "cannot read its orders" : known.error();
      stopping_ = true;
      return;
    }
    fleet::Restart::Limits limits;
    limits.drain_within = options_.drain_timeout;
    limits.up_within = options_.start_timeout;
    limits.starts_program = !instance.start_command.empty();
    in_progress_[index] =
        std::make_unique<InstanceRestart>(executor_, instance, limits, known.reply.identity(), *orders);
  }

  // Advances the restarts under way. Returns the progress of those that are not over.
  std::string advance_all() {
    std::string progress;
    for (auto it = in_progress_.begin(); it != in_progress_.end();) {
      auto& [index, restart] = *it;
      restart->advance();
      if (restart->restart().over()) {
        finish(index, restart->restart());
        it = in_progress_.erase(it);
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
    if (restart.outcome() != CommandOutcome::yes) stopping_ = true;
  }

  BatchExecutor& executor_;
  const std::vector<const Instance*>& instances_;
  const ChangeOptions& options_;
  Rows& rows_;                                                           // by index of the instance
  std::vector<CommandOutcome>& outcomes_;                                // by index of the instance
  std::map<std::size_t, std::unique_ptr<InstanceRestart>> in_progress_;  // by index of the instance
  std::size_t next_ = 0;
  bool stopping_ = false;  // no further restart begins
};

}  // namespace

int Commands::restart(const ChangeOptions& options) {
  // A restart of one instance at a time needs no confirmation.
  if (options.max_concurrent_restarts > 1 && !options.dry_run &&
      !confirmed(disruptions_of_managers(), "restart", options))
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
  output_.clear_progress();
  output_.rows(rows, {"instance", "zone", "result", "start"});
  return fleet::exit_status_of_change(outcomes);
}

}  // namespace pearchute::ctl

// The commands that drain and restore managers, and engines at managers.
#include <map>
#include <thread>

#include "ctl/commands.h"
#include "ctl/interrupt.h"
#include "ctl/requests.h"
#include "ctl/rows.h"

namespace pearchute::ctl {

using admin::v1::Call;
using fleet::CommandOutcome;
using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds drain_poll_interval(200);

std::string describe(const fleet::ZoneDisruption& disruption, const std::string& what) {
  return "zone " + disruption.zone + ": " + std::to_string(disruption.stopping) + " of " +
         std::to_string(disruption.serving) + what + " would stop serving";
}

}  // namespace

int Commands::drain(const ChangeOptions& options) {
  if (!options.dry_run && !confirmed(disruptions_of_managers(), "drain", options))
    return fleet::not_confirmed;
  if (options.dry_run) {
    for (const fleet::ZoneDisruption& disruption : disruptions_of_managers())
      output_.line(describe(disruption, ""));
  }
  OrderResults results = issue_order("", true, options);
  if (!options.dry_run) await_drained(options, results);
  output_.clear_progress();
  output_.rows(results.rows, {"instance", "zone", "result", "state", "jobs", "also_held_by"});
  return fleet::exit_status_of_change(results.outcomes);
}

// Waits until the managers that accepted the order have no open requests, or until the drain timeout.
void Commands::await_drained(const ChangeOptions& options, OrderResults& results) {
  const auto deadline = std::chrono::steady_clock::now() + options.drain_timeout;
  std::vector<std::size_t> draining;
  for (std::size_t i = 0; i < results.outcomes.size(); ++i) {
    if (results.outcomes[i] == CommandOutcome::yes) draining.push_back(i);
  }
  while (!draining.empty() && !interrupted()) {
    BatchExecutor::Instances instances;
    for (const std::size_t i : draining) instances.push_back(chosen_[i]);
    const std::vector<CallResult> polled = executor_.call(instances, status_request());
    const bool has_timed_out = std::chrono::steady_clock::now() >= deadline;
    std::vector<std::size_t> still_draining;
    for (std::size_t i = 0; i < polled.size(); ++i) {
      json& row = results.rows[draining[i]];
      const admin::v1::Status& status = polled[i].reply.status();
      if (polled[i].ok()) {
        row["state"] = status.identity().rest();
        row["jobs"] = status.open_jobs();
        if (status.identity().rest() == "drained") continue;
      }
      if (!has_timed_out) {
        still_draining.push_back(draining[i]);
        continue;
      }
      results.outcomes[draining[i]] = polled[i].ok() ? CommandOutcome::time_up : CommandOutcome::unreachable;
      row["result"] = polled[i].ok() ? "drains, but not within the time" : polled[i].error();
    }
    draining = still_draining;
    if (draining.empty()) break;
    output_.progress(std::to_string(draining.size()) + " of " + std::to_string(chosen_.size()) +
                     " still drain");
    std::this_thread::sleep_for(drain_poll_interval);
  }
}

int Commands::resume(const ChangeOptions& options) {
  // A pending shutdown is cancelled, too.
  if (!options.dry_run) {
    Call call;
    call.mutable_end()->set_called_off(true);
    executor_.call(chosen_, call);
  }
  const OrderResults results = issue_order("", false, options);
  output_.rows(results.rows, {"instance", "zone", "result", "state", "also_held_by"});
  return fleet::exit_status_of_change(results.outcomes);
}

// Counts an engine as serving if any chosen manager has it up.
Commands::Disruptions Commands::disruptions_of_engines(const std::vector<std::string>& engines) {
  std::map<std::string, fleet::InstanceAvailability> engine_by_name;
  for (const BatchExecutor::Pages& pages : executor_.call_pages(chosen_, engines_request)) {
    for (const CallResult& page : pages) {
      for (const admin::v1::Engine& engine : page.reply.engines().engines()) {
        fleet::InstanceAvailability& known = engine_by_name[engine.name()];
        known.name = engine.name();
        known.zone = engine.zone();
        known.serves = known.serves || engine.state() == "up";
      }
    }
  }
  std::vector<fleet::InstanceAvailability> availability;
  for (const auto& [name, engine] : engine_by_name) availability.push_back(engine);
  return fleet::zone_disruptions(availability, engines);
}

int Commands::engine_orders(const std::vector<std::string>& engines, bool drains,
                            const ChangeOptions& options) {
  if (drains) {
    const Disruptions disruptions = disruptions_of_engines(engines);
    if (options.dry_run) {
      for (const fleet::ZoneDisruption& disruption : disruptions)
        output_.line(describe(disruption, " engines"));
    } else if (!confirmed(disruptions, "engine drain", options)) {
      return fleet::not_confirmed;
    }
  }
  OrderResults all;
  for (const std::string& engine : engines) {
    const OrderResults results = issue_order(engine, drains, options);
    all.rows.insert(all.rows.end(), results.rows.begin(), results.rows.end());
    all.outcomes.insert(all.outcomes.end(), results.outcomes.begin(), results.outcomes.end());
  }
  output_.rows(all.rows, {"instance", "zone", "subject", "result", "state", "also_held_by", "note"});
  return fleet::exit_status_of_change(all.outcomes);
}

}  // namespace pearchute::ctl

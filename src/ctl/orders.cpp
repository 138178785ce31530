// The confirmation of a change, and the call that gives one order to each chosen manager.
#include <unistd.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <random>

#include "ctl/commands.h"
#include "ctl/requests.h"
#include "ctl/rows.h"

namespace pearchute::ctl {

using admin::CallEnd;
using admin::v1::Call;
using fleet::CommandOutcome;
using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

namespace {

std::string random_id() {
  std::random_device device;
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", device(), device());
  return text.data();
}

std::string subject_text(const std::string& subject) { return subject.empty() ? "(manager)" : subject; }

Call order_call(const std::string& subject, bool drains, std::uint64_t generation,
                const ChangeOptions& options) {
  Call call;
  admin::v1::Order& order = *call.mutable_order();
  order.set_id(random_id());
  order.set_subject(subject);
  order.set_holder(options.holder);
  order.set_generation(generation);
  order.set_drains(drains);
  order.set_everyone(options.everyone && !drains);
  order.set_reason(options.reason);
  if (drains) order.set_lease_ms(static_cast<std::uint64_t>(milliseconds(options.lease).count()));
  return call;
}

// Returns a generation over all that the managers report, so that the order supersedes theirs.
std::uint64_t next_generation(const std::vector<CallResult>& known_orders) {
  std::uint64_t newest = 0;
  for (const CallResult& result : known_orders)
    newest = std::max<std::uint64_t>(newest, result.reply.orders().newest_generation());
  return newest + 1;
}

// Lists the orders that still drain the subject. After a drain, the orders of the same holder are left out,
// since the new order is among them.
std::string describe_other_orders(const admin::v1::Ordered& ordered, bool drains, const std::string& holder) {
  std::string text;
  for (const admin::v1::Order& order : ordered.in_force()) {
    if (order.holder() == holder && drains) continue;
    text += (text.empty() ? "" : ", ") + order.holder() + " for " + age_text(order.lease_ms()) +
            (order.reason().empty() ? "" : " (" + order.reason() + ")");
  }
  return text;
}

json order_result_row(const Instance& instance, const CallResult& result, const Call& call) {
  const admin::v1::Order& order = call.order();
  const admin::v1::Ordered& ordered = result.reply.ordered();
  json row = instance_row(instance);
  row["subject"] = subject_text(order.subject());
  row["result"] = result.ok() ? ordered.verdict() : result.error();
  row["state"] = ordered.standing();
  row["generation"] = order.generation();
  for (const admin::v1::Order& active : ordered.in_force()) row["in_force"].push_back(order_row(active));
  const std::string others = describe_other_orders(ordered, order.drains(), order.holder());
  if (!others.empty()) row["also_held_by"] = others;
  if (result.ok() && !ordered.listed()) row["note"] = "not in this manager's list; the order waits for it";
  return row;
}

CommandOutcome order_outcome(const CallResult& result, bool drains) {
  const CommandOutcome outcome = outcome_of(result);
  // The restore was accepted, but other orders still drain the subject.
  const bool still_drained = !drains && result.reply.ordered().in_force_size() > 0;
  return outcome == CommandOutcome::yes && still_drained ? CommandOutcome::conflict : outcome;
}

}  // namespace

bool Commands::confirmed(const Disruptions& disruptions, const std::string& command,
                         const ChangeOptions& options) {
  if (disruptions.empty() || options.yes) return true;
  for (const fleet::ZoneDisruption& zone : disruptions) {
    std::cerr << command << ": " << zone.stopping << " of " << zone.serving << " that serve in zone "
              << (zone.zone.empty() ? "(none)" : zone.zone) << " would stop serving" << std::endl;
  }
  if (!::isatty(STDIN_FILENO)) {
    std::cerr << "not done: pass --yes to skip the confirmation" << std::endl;
    return false;
  }
  std::cerr << "Type yes to continue: " << std::flush;
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "yes";
}

// Counts all instances of the fleet file: those that are not chosen go on serving.
Commands::Disruptions Commands::disruptions_of_managers() {
  BatchExecutor::Instances instances;
  for (const Instance& instance : fleet_.instances) instances.push_back(&instance);
  const std::vector<CallResult> results = executor_.call(instances, identity_request());
  std::vector<fleet::InstanceAvailability> availability;
  for (std::size_t i = 0; i < instances.size(); ++i) {
    const admin::v1::Identity& identity = results[i].reply.identity();
    const bool serves = results[i].ok() && identity.phase() == "serving" && identity.rest() == "serving";
    availability.push_back({instances[i]->facts.name, instances[i]->facts.zone, serves});
  }
  std::vector<std::string> stopped;
  for (const Instance* instance : chosen_) stopped.push_back(instance->facts.name);
  return fleet::zone_disruptions(availability, stopped);
}

// Gives one order to each chosen instance. `subject` is an engine; empty: the manager itself.
Commands::OrderResults Commands::issue_order(const std::string& subject, bool drains,
                                             const ChangeOptions& options) {
  const std::vector<CallResult> known_orders = executor_.call(chosen_, orders_request({}));
  if (options.dry_run) return preview_order(known_orders, subject, drains);
  const Call call = order_call(subject, drains, next_generation(known_orders), options);
  const std::vector<CallResult> results = send_order(call);
  OrderResults issued;
  for (std::size_t i = 0; i < results.size(); ++i) {
    issued.outcomes.push_back(order_outcome(results[i], drains));
    issued.rows.push_back(order_result_row(*chosen_[i], results[i], call));
  }
  return issued;
}

Commands::OrderResults Commands::preview_order(const std::vector<CallResult>& known_orders,
                                               const std::string& subject, bool drains) const {
  OrderResults results;
  for (std::size_t i = 0; i < chosen_.size(); ++i) {
    const std::string would_be = drains ? "would be drained" : "would be restored";
    json row = instance_row(*chosen_[i]);
    row["subject"] = subject_text(subject);
    row["result"] = known_orders[i].ok() ? would_be : known_orders[i].error();
    results.rows.push_back(std::move(row));
    results.outcomes.push_back(outcome_of(known_orders[i]));
  }
  return results;
}

// Sends the order, and repeats it once where the outcome is uncertain: a repeated order changes nothing, and
// its reply states the result.
std::vector<CallResult> Commands::send_order(const Call& order) {
  std::vector<CallResult> results = executor_.call(chosen_, order);
  BatchExecutor::Instances uncertain;
  std::vector<std::size_t> indices;
  for (std::size_t i = 0; i < results.size(); ++i) {
    if (results[i].end != CallEnd::broken && results[i].end != CallEnd::silent) continue;
    uncertain.push_back(chosen_[i]);
    indices.push_back(i);
  }
  const std::vector<CallResult> repeated = executor_.call(uncertain, order);
  for (std::size_t i = 0; i < repeated.size(); ++i) results[indices[i]] = repeated[i];
  return results;
}

}  // namespace pearchute::ctl

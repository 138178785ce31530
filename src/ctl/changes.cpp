#include <unistd.h>

#include <iostream>
#include <random>
#include <thread>

#include "ctl/commands.h"
#include "ctl/interrupt.h"
#include "ctl/requests.h"
#include "ctl/rows.h"

namespace pearchute::ctl {

using admin::CallEnd;
using admin::v1::Call;
using fleet::CommandOutcome;
using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

namespace {

std::string fresh_id() {
  std::random_device device;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", device(), device());
  return text;
}

}  // namespace

bool Commands::confirmed(const std::vector<fleet::ZoneDisruption>& losses, const std::string& what,
                         const ChangeOptions& options) {
  if (losses.empty() || options.yes) return true;
  for (const fleet::ZoneDisruption& loss : losses) {
    std::cerr << what << ": " << loss.stopping << " of the " << loss.serving << " that serve in zone "
              << (loss.zone.empty() ? "(none)" : loss.zone) << " would stop" << std::endl;
  }
  if (!::isatty(STDIN_FILENO)) {
    std::cerr << "not done: say --yes to do it all the same" << std::endl;
    return false;
  }
  std::cerr << "Type yes to go on: " << std::flush;
  std::string word;
  std::getline(std::cin, word);
  return word == "yes";
}

// Counted over the whole file: what is not chosen goes on serving.
std::vector<fleet::ZoneDisruption> Commands::losses_of_managers() {
  BatchExecutor::Instances all;
  for (const Instance& one : fleet_.instances) all.push_back(&one);
  const std::vector<CallResult> heard = executor_.ask(all, identity_request());
  std::vector<fleet::InstanceAvailability> serving;
  std::vector<std::string> stopped;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const admin::v1::Identity& identity = heard[i].reply.identity();
    serving.push_back({all[i]->facts.name, all[i]->facts.zone,
                       heard[i].ok() && identity.phase() == "serving" && identity.rest() == "serving"});
  }
  for (const Instance* one : chosen_) stopped.push_back(one->facts.name);
  return fleet::zone_disruptions(serving, stopped);
}

Commands::OrderResults Commands::give(const std::string& subject, bool drains, const ChangeOptions& options) {
  OrderResults told;
  const std::vector<CallResult> known = executor_.ask(chosen_, orders_request({}));
  std::uint64_t newest = 0;
  for (const CallResult& one : known)
    newest = std::max<std::uint64_t>(newest, one.reply.orders().newest_generation());
  Call call;
  admin::v1::Order& order = *call.mutable_order();
  order.set_id(fresh_id()), order.set_subject(subject), order.set_holder(options.holder);
  order.set_generation(newest + 1), order.set_drains(drains), order.set_everyone(options.everyone && !drains);
  order.set_reason(options.reason);
  if (drains) order.set_lease_ms(static_cast<std::uint64_t>(milliseconds(options.lease).count()));
  if (options.dry_run) {
    for (std::size_t i = 0; i < chosen_.size(); ++i) {
      json row = instance_row(*chosen_[i]);
      row["subject"] = subject.empty() ? "(manager)" : subject;
      row["result"] =
          known[i].ok() ? (drains ? "would be drained" : "would be restored") : known[i].trouble();
      told.rows.push_back(std::move(row));
      told.each.push_back(outcome_of(known[i]));
    }
    return told;
  }
  std::vector<CallResult> heard = executor_.ask(chosen_, call);
  // Where no answer came it may have been taken; the same order again does no harm and tells.
  BatchExecutor::Instances again;
  std::vector<std::size_t> places;
  for (std::size_t i = 0; i < heard.size(); ++i) {
    if (heard[i].end == CallEnd::broken || heard[i].end == CallEnd::silent)
      again.push_back(chosen_[i]), places.push_back(i);
  }
  const std::vector<CallResult> second = executor_.ask(again, call);
  for (std::size_t at = 0; at < second.size(); ++at) heard[places[at]] = second[at];

  for (std::size_t i = 0; i < heard.size(); ++i) {
    json row = instance_row(*chosen_[i]);
    const admin::v1::Ordered& ordered = heard[i].reply.ordered();
    row["subject"] = subject.empty() ? "(manager)" : subject;
    row["result"] = heard[i].ok() ? ordered.verdict() : heard[i].trouble();
    row["state"] = ordered.standing();
    row["generation"] = newest + 1;
    std::string holders;
    for (const auto& one : ordered.in_force()) {
      row["in_force"].push_back(order_row(one));
      if (one.holder() != options.holder || !drains)
        holders += (holders.empty() ? "" : ", ") + one.holder() + " for " + age_text(one.lease_ms()) +
                   (one.reason().empty() ? "" : " (" + one.reason() + ")");
    }
    if (!holders.empty()) row["also_held_by"] = holders;
    if (heard[i].ok() && !ordered.listed())
      row["note"] = "not in this manager's list; the order waits for it";
    CommandOutcome done = outcome_of(heard[i]);
    // A restore that was taken, and others still hold it.
    if (done == CommandOutcome::yes && !drains && ordered.in_force_size() > 0)
      done = CommandOutcome::conflict;
    told.each.push_back(done);
    told.rows.push_back(std::move(row));
  }
  return told;
}

int Commands::drain(const ChangeOptions& options) {
  if (!options.dry_run && !confirmed(losses_of_managers(), "drain", options)) return fleet::not_confirmed;
  if (options.dry_run) {
    for (const fleet::ZoneDisruption& loss : losses_of_managers())
      output_.line("zone " + loss.zone + ": " + std::to_string(loss.stopping) + " of " +
                   std::to_string(loss.serving) + " would stop serving");
  }
  OrderResults told = give("", true, options);
  // Until all that took the order have nothing open, or the time is up.
  const auto until = std::chrono::steady_clock::now() + options.within;
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < told.each.size() && !options.dry_run; ++i) {
    if (told.each[i] == CommandOutcome::yes) open.push_back(i);
  }
  while (!open.empty() && !interrupted()) {
    BatchExecutor::Instances instances;
    for (const std::size_t i : open) instances.push_back(chosen_[i]);
    const std::vector<CallResult> heard = executor_.ask(instances, status_request());
    const bool up = std::chrono::steady_clock::now() >= until;
    std::vector<std::size_t> left;
    for (std::size_t at = 0; at < heard.size(); ++at) {
      json& row = told.rows[open[at]];
      const admin::v1::Status& status = heard[at].reply.status();
      if (heard[at].ok()) row["state"] = status.identity().rest(), row["jobs"] = status.open_jobs();
      if (heard[at].ok() && status.identity().rest() == "drained") continue;
      if (!up) left.push_back(open[at]);
      else
        told.each[open[at]] = heard[at].ok() ? CommandOutcome::time_up : CommandOutcome::unreachable,
        row["result"] = heard[at].ok() ? "drains, but not within the time" : heard[at].trouble();
    }
    open = left;
    if (open.empty()) break;
    output_.progress(std::to_string(open.size()) + " of " + std::to_string(chosen_.size()) + " still drain");
    std::this_thread::sleep_for(milliseconds(200));
  }
  output_.progress_over();
  output_.rows(told.rows, {"instance", "zone", "result", "state", "jobs", "also_held_by"});
  return fleet::exit_status_of_change(told.each);
}

int Commands::resume(const ChangeOptions& options) {
  // An end that was asked for is called off, too.
  if (!options.dry_run) {
    Call call;
    call.mutable_end()->set_called_off(true);
    executor_.ask(chosen_, call);
  }
  const OrderResults told = give("", false, options);
  output_.rows(told.rows, {"instance", "zone", "result", "state", "also_held_by"});
  return fleet::exit_status_of_change(told.each);
}

int Commands::engine_orders(const std::vector<std::string>& engines, bool drains,
                            const ChangeOptions& options) {
  if (drains) {
    // What each zone has, by the managers' own lists.
    std::map<std::string, fleet::InstanceAvailability> seen;
    for (const BatchExecutor::Pages& pages : executor_.ask_pages(chosen_, engines_request)) {
      for (const CallResult& page : pages) {
        for (const admin::v1::Engine& engine : page.reply.engines().engines()) {
          fleet::InstanceAvailability& one = seen[engine.name()];
          one.name = engine.name(), one.zone = engine.zone();
          one.serves = one.serves || engine.state() == "up";
        }
      }
    }
    std::vector<fleet::InstanceAvailability> serving;
    std::vector<std::string> stopped;
    for (const auto& [name, one] : seen) serving.push_back(one);
    for (const std::string& name : engines) stopped.push_back(name);
    const auto losses = fleet::zone_disruptions(serving, stopped);
    if (options.dry_run) {
      for (const fleet::ZoneDisruption& loss : losses)
        output_.line("zone " + loss.zone + ": " + std::to_string(loss.stopping) + " of " +
                     std::to_string(loss.serving) + " engines would stop serving");
    } else if (!confirmed(losses, "engine drain", options)) {
      return fleet::not_confirmed;
    }
  }
  OrderResults all;
  for (const std::string& engine : engines) {
    OrderResults told = give(engine, drains, options);
    all.rows.insert(all.rows.end(), told.rows.begin(), told.rows.end());
    all.each.insert(all.each.end(), told.each.begin(), told.each.end());
  }
  output_.rows(all.rows, {"instance", "zone", "subject", "result", "state", "also_held_by", "note"});
  return fleet::exit_status_of_change(all.each);
}

}  // namespace pearchute::ctl

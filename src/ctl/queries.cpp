// The commands that query managers, and the one that sets the log level.
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
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

constexpr const char* clear_screen = "\033[H\033[2J";
constexpr double milliseconds_per_second = 1000.0;

void add_status(const admin::v1::Status& status, json& row) {
  const admin::v1::Identity& identity = status.identity();
  row["state"] = identity.phase() == "serving" ? identity.rest() : identity.phase();
  row["phase"] = identity.phase();
  row["rest"] = identity.rest();
  row["up"] = age_text(unix_milliseconds() - std::min(unix_milliseconds(), identity.started_unix_ms()));
  row["jobs"] = status.open_jobs();
  row["held"] = status.held_jobs();
  row["engines"] = std::to_string(status.engines_up()) + " up, " + std::to_string(status.engines_draining()) +
                   " draining, " + std::to_string(status.engines_left_out()) + " left out";
  row["orders"] = status.orders();
  row["build"] = identity.build();
  row["digest"] = identity.digest();
  row["started_unix_ms"] = identity.started_unix_ms();
  row["pid"] = identity.pid();
  row["memory_kb"] = status.memory_kb();
  row["descriptors"] = status.descriptors();
  row["ending"] = status.ending();
  for (const auto& [reason, count] : status.held_by_reason()) row["held_by_reason"][reason] = count;
  if (!status.trouble().empty()) row["trouble"] = status.trouble();
  row["counters"] = json::parse(status.counters(), nullptr, false);
}

json engine_row(const Instance& instance, const admin::v1::Engine& engine) {
  json row = instance_row(instance);
  row["engine"] = engine.name();
  row["address"] = engine.address();
  row["engine_zone"] = engine.zone();
  row["kind"] = engine.kind();
  row["state"] = engine.state();
  row["said"] = engine.said();
  row["live_mb"] = engine.live_mb();
  row["capacity_mb"] = engine.capacity_mb();
  row["threads"] = engine.live_threads();
  row["slots"] = engine.slots();
  row["pace"] = engine.pace();
  row["errors"] = engine.error_rate();
  row["cold"] = engine.cold();
  if (engine.closed_for_ms() > 0)
    row["closed"] = age_text(engine.closed_for_ms()) + " " + engine.closed_why();
  else if (engine.on_trial()) row["closed"] = "on trial, " + engine.closed_why();
  row["connections"] = engine.connections();
  row["out"] = engine.dispatches();
  row["kept_back"] = engine.kept_back();
  row["oldest"] = age_text(engine.oldest_ms());
  for (const admin::v1::Order& order : engine.orders()) row["orders"].push_back(order_row(order));
  return row;
}

json request_row(const Instance& instance, const admin::v1::Job& request) {
  std::string engines;
  for (const std::string& engine : request.out()) engines += (engines.empty() ? "" : ",") + engine;
  json row = instance_row(instance);
  row["job"] = request.id();
  row["type"] = request.type();
  row["age"] = age_text(request.age_ms());
  row["left_ms"] = request.left_ms();
  row["dispatches"] = request.dispatches();
  row["out"] = engines;
  row["waits_for"] = request.waits_for();
  return row;
}

json event_row(const Instance& instance, const admin::v1::Event& event) {
  json row = instance_row(instance);
  row["number"] = event.number();
  row["unix_ms"] = event.unix_ms();
  row["kind"] = event.kind();
  row["subject"] = event.subject();
  row["text"] = event.text();
  if (event.lost() > 0) row["lost"] = event.lost();
  return row;
}

void print_event(const Instance& instance, const admin::v1::Event& event) {
  const std::string& name = instance.facts.name;
  if (event.lost() > 0) std::cout << name << "  (" << event.lost() << " events lost)\n";
  std::cout << name << "  " << event.number() << "  " << event.kind() << "  " << event.subject()
            << (event.subject().empty() ? "" : ": ") << event.text() << std::endl;
}

// The count of requests that a manager has accepted, and when it was read.
struct RequestCount {
  std::uint64_t requests = 0;
  std::uint64_t unix_ms = 0;
};

// Adds columns from the counters, and the request rate since the previous round.
void add_rates(std::uint64_t now_unix_ms, std::map<std::string, RequestCount>& last_counts, json& row) {
  if (!row.contains("counters") || !row["counters"].is_object()) return;
  const json& counters = row["counters"];
  const auto requests = counters["taken_in"].value("jobs", std::uint64_t{0});
  const std::string name = row["instance"].get<std::string>();
  const auto last = last_counts.find(name);
  if (last != last_counts.end() && now_unix_ms > last->second.unix_ms && requests >= last->second.requests)
    row["jobs_a_second"] = milliseconds_per_second * static_cast<double>(requests - last->second.requests) /
                           static_cast<double>(now_unix_ms - last->second.unix_ms);
  last_counts[name] = {requests, now_unix_ms};
  row["done"] = counters["answered"].value("done", std::uint64_t{0});
  row["throttled"] = counters["answered"].value("throttled", std::uint64_t{0});
  row["failed"] = counters["answered"].value("cancelled", std::uint64_t{0});
}

// One engine as seen by all chosen managers.
struct EngineSummary {
  std::string zone;
  std::string address;
  std::map<std::string, int> states;  // the count of managers by state
  std::set<std::string> holders;      // of the orders that drain it
};

using EngineSummaries = std::map<std::string, EngineSummary>;

void add_to_summaries(const admin::v1::Engine& engine, EngineSummaries& summaries) {
  EngineSummary& summary = summaries[engine.name()];
  summary.zone = engine.zone();
  summary.address = engine.address();
  ++summary.states[engine.state() + (engine.closed_for_ms() > 0 ? ", left out" : "")];
  for (const admin::v1::Order& order : engine.orders()) summary.holders.insert(order.holder());
}

json summary_row(const std::string& name, const EngineSummary& summary) {
  std::string states;
  for (const auto& [state, count] : summary.states)
    states += (states.empty() ? "" : "; ") + state + " at " + std::to_string(count);
  std::string holders;
  for (const std::string& holder : summary.holders) holders += (holders.empty() ? "" : ",") + holder;
  return {{"engine", name},
          {"zone", summary.zone},
          {"address", summary.address},
          {"states", states},
          {"one_mind", summary.states.size() == 1},
          {"held_by", holders}};
}

}  // namespace

Commands::Commands(const Fleet& fleet, std::vector<const Instance*> chosen, Output& output)
    : fleet_(fleet),
      chosen_(std::move(chosen)),
      output_(output),
      executor_(fleet.max_parallel_calls, fleet.call_timeout) {
  watch_for_interrupt();
}

Rows Commands::query_status(Outcomes& outcomes) {
  const std::vector<CallResult> results = executor_.call(chosen_, status_request());
  Rows rows;
  for (std::size_t i = 0; i < results.size(); ++i) {
    outcomes.push_back(outcome_of(results[i]));
    json row = instance_row(*chosen_[i]);
    if (results[i].ok()) add_status(results[i].reply.status(), row);
    else row["state"] = results[i].error();
    rows.push_back(std::move(row));
  }
  return rows;
}

int Commands::status() {
  Outcomes outcomes;
  const Rows rows = query_status(outcomes);
  output_.rows(rows,
               {"instance", "zone", "state", "up", "jobs", "held", "engines", "orders", "build", "trouble"});
  return fleet::exit_status_of_query(outcomes);
}

// Prints the rows of all replies. An instance that failed gets a row with the error in the second column.
int Commands::print_query(const std::vector<BatchExecutor::Pages>& answers,
                          const std::vector<std::string>& columns, const RowsOfReply& add_rows) {
  Outcomes outcomes;
  Rows rows;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    for (const CallResult& page : answers[i]) {
      if (page.ok()) add_rows(*chosen_[i], page.reply, rows);
    }
    const CallResult& last = answers[i].back();
    outcomes.push_back(outcome_of(last));
    if (last.ok()) continue;
    json row = instance_row(*chosen_[i]);
    row[columns[1]] = last.error();
    rows.push_back(std::move(row));
  }
  output_.rows(rows, columns);
  return fleet::exit_status_of_query(outcomes);
}

int Commands::engines() {
  const auto add_rows = [](const Instance& instance, const admin::v1::Reply& reply, Rows& rows) {
    for (const admin::v1::Engine& engine : reply.engines().engines())
      rows.push_back(engine_row(instance, engine));
  };
  return print_query(executor_.call_pages(chosen_, engines_request),
                     {"instance", "engine", "engine_zone", "state", "said", "live_mb", "threads", "slots",
                      "pace", "errors", "closed", "connections", "out", "kept_back", "oldest"},
                     add_rows);
}

int Commands::requests(std::uint32_t limit) {
  Call call;
  call.mutable_jobs()->set_most(limit);
  const auto add_rows = [](const Instance& instance, const admin::v1::Reply& reply, Rows& rows) {
    for (const admin::v1::Job& request : reply.jobs().jobs()) rows.push_back(request_row(instance, request));
  };
  return print_query(executor_.call_pages(chosen_, [&](const auto&) { return call; }),
                     {"instance", "job", "type", "age", "left_ms", "dispatches", "out", "waits_for"},
                     add_rows);
}

int Commands::orders() {
  const auto add_rows = [](const Instance& instance, const admin::v1::Reply& reply, Rows& rows) {
    for (const admin::v1::Order& order : reply.orders().orders()) {
      json row = instance_row(instance);
      row.update(order_row(order));
      rows.push_back(std::move(row));
    }
  };
  return print_query(executor_.call_pages(chosen_, orders_request),
                     {"instance", "subject", "holder", "generation", "left", "reason", "id"}, add_rows);
}

int Commands::top(milliseconds interval, int rounds) {
  const bool clears_screen = ::isatty(STDOUT_FILENO) && !output_.json();
  int status = 0;
  std::map<std::string, RequestCount> last_counts;  // by instance
  for (int round = 0; !interrupted() && (rounds == 0 || round < rounds); ++round) {
    if (round > 0) std::this_thread::sleep_for(interval);
    Outcomes outcomes;
    Rows rows = query_status(outcomes);
    status = fleet::exit_status_of_query(outcomes);
    const std::uint64_t now = unix_milliseconds();
    for (json& row : rows) add_rates(now, last_counts, row);
    if (clears_screen) std::cout << clear_screen;
    output_.rows(rows, {"instance", "zone", "state", "jobs", "held", "jobs_a_second", "done", "throttled",
                        "failed", "engines", "memory_kb", "trouble"});
  }
  return status;
}

int Commands::watch(milliseconds time) {
  Outcomes outcomes(chosen_.size(), CommandOutcome::yes);
  std::mutex mutex;
  const auto on_event = [&](const Instance& instance, const admin::v1::Event& event) {
    const std::lock_guard lock(mutex);
    if (output_.json()) std::cout << event_row(instance, event).dump() << std::endl;
    else print_event(instance, event);
  };
  const auto on_end = [&](const Instance& instance, const std::string& reason) {
    const std::lock_guard lock(mutex);
    for (std::size_t i = 0; i < chosen_.size(); ++i) {
      if (chosen_[i] == &instance) outcomes[i] = CommandOutcome::unreachable;
    }
    std::cerr << instance.facts.name << ": the watch ended: " << reason << std::endl;
  };
  executor_.watch(chosen_, time, on_event, on_end, [] { return interrupted(); });
  return fleet::exit_status_of_query(outcomes);
}

int Commands::engine_list() {
  const std::vector<BatchExecutor::Pages> answers = executor_.call_pages(chosen_, engines_request);
  Outcomes outcomes;
  EngineSummaries summaries;
  for (const BatchExecutor::Pages& pages : answers) {
    outcomes.push_back(outcome_of(pages.back()));
    for (const CallResult& page : pages) {
      for (const admin::v1::Engine& engine : page.reply.engines().engines())
        add_to_summaries(engine, summaries);
    }
  }
  Rows rows;
  for (const auto& [name, summary] : summaries) rows.push_back(summary_row(name, summary));
  for (std::size_t i = 0; i < answers.size(); ++i) {
    if (outcomes[i] != CommandOutcome::yes)
      std::cerr << chosen_[i]->facts.name << ": " << answers[i].back().error() << std::endl;
  }
  output_.rows(rows, {"engine", "zone", "address", "states", "held_by"});
  return fleet::exit_status_of_query(outcomes);
}

int Commands::log_level(const std::string& level) {
  Call call;
  call.mutable_log_level()->set_level(level);
  const std::vector<CallResult> results = executor_.call(chosen_, call);
  Outcomes outcomes;
  Rows rows;
  for (std::size_t i = 0; i < results.size(); ++i) {
    outcomes.push_back(outcome_of(results[i]));
    json row = instance_row(*chosen_[i]);
    row["result"] = results[i].ok() ? "done" : results[i].error();
    rows.push_back(std::move(row));
  }
  output_.rows(rows, {"instance", "result"});
  return fleet::exit_status_of_change(outcomes);
}

int Commands::check() {
  const std::vector<CallResult> results = executor_.call(chosen_, identity_request());
  Outcomes outcomes;
  Rows rows;
  for (std::size_t i = 0; i < results.size(); ++i) {
    outcomes.push_back(outcome_of(results[i]));
    json row = instance_row(*chosen_[i]);
    row["admin"] = chosen_[i]->facts.admin;
    row["result"] = results[i].ok() ? "answers" : results[i].error();
    // With a wrong name in the fleet file, a drain would hit the wrong manager.
    const std::string& name = results[i].reply.identity().name();
    if (results[i].ok() && name != chosen_[i]->facts.name) {
      row["result"] = "calls itself " + name;
      outcomes.back() = CommandOutcome::refused;
    }
    rows.push_back(std::move(row));
  }
  output_.rows(rows, {"instance", "zone", "admin", "result"});
  return fleet::exit_status_of_query(outcomes);
}

}  // namespace pearchute::ctl

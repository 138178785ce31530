#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <mutex>
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

Commands::Commands(const Fleet& fleet, std::vector<const Instance*> chosen, Output& output)
    : fleet_(fleet),
      chosen_(std::move(chosen)),
      output_(output),
      executor_(fleet.at_once, fleet.answers_within) {
  watch_for_interrupt();
}

Rows Commands::status_rows(std::vector<CommandOutcome>& each) {
  const std::vector<CallResult> heard = executor_.ask(chosen_, status_request());
  Rows rows;
  for (std::size_t i = 0; i < heard.size(); ++i) {
    json row = instance_row(*chosen_[i]);
    each.push_back(outcome_of(heard[i]));
    if (!heard[i].ok()) {
      row["state"] = heard[i].trouble();
    } else {
      const admin::v1::Status& status = heard[i].reply.status();
      const admin::v1::Identity& identity = status.identity();
      row["state"] = identity.phase() == "serving" ? identity.rest() : identity.phase();
      row["phase"] = identity.phase();
      row["rest"] = identity.rest();
      row["up"] = age_text(unix_milliseconds() - std::min(unix_milliseconds(), identity.started_unix_ms()));
      row["jobs"] = status.open_jobs();
      row["held"] = status.held_jobs();
      row["engines"] = std::to_string(status.engines_up()) + " up, " +
                       std::to_string(status.engines_draining()) + " draining, " +
                       std::to_string(status.engines_left_out()) + " left out";
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
    rows.push_back(std::move(row));
  }
  return rows;
}

int Commands::status() {
  std::vector<CommandOutcome> each;
  const Rows rows = status_rows(each);
  output_.rows(rows,
               {"instance", "zone", "state", "up", "jobs", "held", "engines", "orders", "build", "trouble"});
  return fleet::exit_status_of_query(each);
}

// Rows of what each tells; where one did not answer, a row with the trouble behind its name.
int Commands::question(const std::vector<BatchExecutor::Pages>& answers,
                       const std::vector<std::string>& columns,
                       const std::function<void(const Instance&, const admin::v1::Reply&, Rows&)>& rows_of) {
  std::vector<CommandOutcome> each;
  Rows rows;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    for (const CallResult& heard : answers[i]) {
      if (heard.ok()) rows_of(*chosen_[i], heard.reply, rows);
    }
    each.push_back(outcome_of(answers[i].back()));
    if (answers[i].back().ok()) continue;
    json row = instance_row(*chosen_[i]);
    row[columns[1]] = answers[i].back().trouble();
    rows.push_back(std::move(row));
  }
  output_.rows(rows, columns);
  return fleet::exit_status_of_query(each);
}

int Commands::engines() {
  return question(executor_.ask_pages(chosen_, engines_request),
                  {"instance", "engine", "engine_zone", "state", "said", "live_mb", "threads", "slots",
                   "pace", "errors", "closed", "connections", "out", "kept_back", "oldest"},
                  [](const Instance& instance, const admin::v1::Reply& reply, Rows& rows) {
                    for (const admin::v1::Engine& engine : reply.engines().engines()) {
                      json row = instance_row(instance);
                      row["engine"] = engine.name(), row["address"] = engine.address();
                      row["engine_zone"] = engine.zone(), row["kind"] = engine.kind();
                      row["state"] = engine.state(), row["said"] = engine.said();
                      row["live_mb"] = engine.live_mb(), row["capacity_mb"] = engine.capacity_mb();
                      row["threads"] = engine.live_threads(), row["slots"] = engine.slots();
                      row["pace"] = engine.pace(), row["errors"] = engine.error_rate();
                      row["cold"] = engine.cold();
                      if (engine.closed_for_ms() > 0)
                        row["closed"] = age_text(engine.closed_for_ms()) + " " + engine.closed_why();
                      else if (engine.on_trial()) row["closed"] = "on trial, " + engine.closed_why();
                      row["connections"] = engine.connections(), row["out"] = engine.dispatches();
                      row["kept_back"] = engine.kept_back(), row["oldest"] = age_text(engine.oldest_ms());
                      for (const auto& order : engine.orders()) row["orders"].push_back(order_row(order));
                      rows.push_back(std::move(row));
                    }
                  });
}

int Commands::jobs(std::uint32_t most) {
  Call call;
  call.mutable_jobs()->set_most(most);
  return question(executor_.ask_pages(chosen_, [&](const auto&) { return call; }),
                  {"instance", "job", "type", "age", "left_ms", "dispatches", "out", "waits_for"},
                  [](const Instance& instance, const admin::v1::Reply& reply, Rows& rows) {
                    for (const admin::v1::Job& job : reply.jobs().jobs()) {
                      json row = instance_row(instance);
                      row["job"] = job.id(), row["type"] = job.type(), row["age"] = age_text(job.age_ms());
                      row["left_ms"] = job.left_ms(), row["dispatches"] = job.dispatches();
                      std::string out;
                      for (const std::string& engine : job.out()) out += (out.empty() ? "" : ",") + engine;
                      row["out"] = out, row["waits_for"] = job.waits_for();
                      rows.push_back(std::move(row));
                    }
                  });
}

int Commands::orders() {
  return question(executor_.ask_pages(chosen_, orders_request),
                  {"instance", "subject", "holder", "generation", "left", "reason", "id"},
                  [](const Instance& instance, const admin::v1::Reply& reply, Rows& rows) {
                    for (const admin::v1::Order& order : reply.orders().orders()) {
                      json row = instance_row(instance);
                      row.update(order_row(order));
                      rows.push_back(std::move(row));
                    }
                  });
}

int Commands::top(milliseconds every, int rounds) {
  const bool terminal = ::isatty(STDOUT_FILENO);
  int status = 0;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> before;  // jobs taken, when
  for (int round = 0; !interrupted() && (rounds == 0 || round < rounds); ++round) {
    if (round > 0) std::this_thread::sleep_for(every);
    std::vector<CommandOutcome> each;
    Rows rows = status_rows(each);
    status = fleet::exit_status_of_query(each);
    const std::uint64_t now = unix_milliseconds();
    for (json& row : rows) {
      if (!row.contains("counters") || !row["counters"].is_object()) continue;
      const json& counters = row["counters"];
      const auto jobs = counters["taken_in"].value("jobs", std::uint64_t{0});
      const auto last = before.find(row["instance"].get<std::string>());
      if (last != before.end() && now > last->second.second && jobs >= last->second.first)
        row["jobs_a_second"] = 1000.0 * static_cast<double>(jobs - last->second.first) /
                               static_cast<double>(now - last->second.second);
      before[row["instance"].get<std::string>()] = {jobs, now};
      row["done"] = counters["answered"].value("done", std::uint64_t{0});
      row["throttled"] = counters["answered"].value("throttled", std::uint64_t{0});
      row["failed"] = counters["answered"].value("cancelled", std::uint64_t{0});
    }
    if (terminal && !output_.json()) std::cout << "\033[H\033[2J";
    output_.rows(rows, {"instance", "zone", "state", "jobs", "held", "jobs_a_second", "done", "throttled",
                        "failed", "engines", "memory_kb", "trouble"});
  }
  return status;
}

int Commands::watch(milliseconds time) {
  std::vector<CommandOutcome> each(chosen_.size(), CommandOutcome::yes);
  std::mutex mutex;
  executor_.watch(
      chosen_, time,
      [&](const Instance& instance, const admin::v1::Event& event) {
        const std::lock_guard lock(mutex);
        json row = instance_row(instance);
        row["number"] = event.number(), row["unix_ms"] = event.unix_ms(), row["kind"] = event.kind();
        row["subject"] = event.subject(), row["text"] = event.text();
        if (event.lost() > 0) row["lost"] = event.lost();
        if (output_.json()) {
          std::cout << row.dump() << std::endl;
          return;
        }
        if (event.lost() > 0) std::cout << instance.facts.name << "  (" << event.lost() << " events lost)\n";
        std::cout << instance.facts.name << "  " << event.number() << "  " << event.kind() << "  "
                  << event.subject() << (event.subject().empty() ? "" : ": ") << event.text() << std::endl;
      },
      [&](const Instance& instance, const std::string& why) {
        const std::lock_guard lock(mutex);
        for (std::size_t i = 0; i < chosen_.size(); ++i) {
          if (chosen_[i] == &instance) each[i] = CommandOutcome::unreachable;
        }
        std::cerr << instance.facts.name << ": the watch has ended: " << why << std::endl;
      },
      [] { return interrupted(); });
  return fleet::exit_status_of_query(each);
}

int Commands::engine_list() {
  const std::vector<BatchExecutor::Pages> heard = executor_.ask_pages(chosen_, engines_request);
  std::vector<CommandOutcome> each;
  struct Seen {
    std::string zone, address;
    std::map<std::string, int> states;
    std::set<std::string> holders;
  };
  std::map<std::string, Seen> engines;
  Rows rows;
  for (const BatchExecutor::Pages& pages : heard) {
    each.push_back(outcome_of(pages.back()));
    for (const CallResult& page : pages) {
      for (const admin::v1::Engine& engine : page.reply.engines().engines()) {
        Seen& seen = engines[engine.name()];
        seen.zone = engine.zone(), seen.address = engine.address();
        ++seen.states[engine.state() + (engine.closed_for_ms() > 0 ? ", left out" : "")];
        for (const auto& order : engine.orders()) seen.holders.insert(order.holder());
      }
    }
  }
  for (const auto& [name, seen] : engines) {
    std::string states, holders;
    for (const auto& [state, count] : seen.states)
      states += (states.empty() ? "" : "; ") + state + " at " + std::to_string(count);
    for (const std::string& holder : seen.holders) holders += (holders.empty() ? "" : ",") + holder;
    rows.push_back({{"engine", name},
                    {"zone", seen.zone},
                    {"address", seen.address},
                    {"states", states},
                    {"one_mind", seen.states.size() == 1},
                    {"held_by", holders}});
  }
  for (std::size_t i = 0; i < heard.size(); ++i) {
    if (each[i] != CommandOutcome::yes)
      std::cerr << chosen_[i]->facts.name << ": " << heard[i].back().trouble() << std::endl;
  }
  output_.rows(rows, {"engine", "zone", "address", "states", "held_by"});
  return fleet::exit_status_of_query(each);
}

int Commands::log_level(const std::string& level) {
  Call call;
  call.mutable_log_level()->set_level(level);
  const std::vector<CallResult> heard = executor_.ask(chosen_, call);
  std::vector<CommandOutcome> each;
  Rows rows;
  for (std::size_t i = 0; i < heard.size(); ++i) {
    each.push_back(outcome_of(heard[i]));
    json row = instance_row(*chosen_[i]);
    row["result"] = heard[i].ok() ? "done" : heard[i].trouble();
    rows.push_back(std::move(row));
  }
  output_.rows(rows, {"instance", "result"});
  return fleet::exit_status_of_change(each);
}

int Commands::check() {
  const std::vector<CallResult> heard = executor_.ask(chosen_, identity_request());
  std::vector<CommandOutcome> each;
  Rows rows;
  for (std::size_t i = 0; i < heard.size(); ++i) {
    each.push_back(outcome_of(heard[i]));
    json row = instance_row(*chosen_[i]);
    row["admin"] = chosen_[i]->facts.admin;
    row["result"] = heard[i].ok() ? "answers" : heard[i].trouble();
    // A file that names one manager's channel under another's name would drain the wrong one.
    const std::string& name = heard[i].reply.identity().name();
    if (heard[i].ok() && name != chosen_[i]->facts.name) {
      row["result"] = "calls itself " + name;
      each.back() = CommandOutcome::refused;
    }
    rows.push_back(std::move(row));
  }
  output_.rows(rows, {"instance", "zone", "admin", "result"});
  return fleet::exit_status_of_query(each);
}

}  // namespace pearchute::ctl

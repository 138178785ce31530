#include "ctl/commands.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

#include "fleet/restart.h"

namespace pearchute::ctl {

using admin::CallEnd;
using admin::v1::Call;
using fleet::Done;
using json = nlohmann::ordered_json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

volatile std::sig_atomic_t interrupted = 0;

Call question(void (*set)(Call&)) {
  Call call;
  set(call);
  return call;
}
const Call who = question([](Call& call) { call.mutable_who(); });
const Call status_call = question([](Call& call) { call.mutable_status(); });

Call engines_page(const Rounds::Pages& before) {
  Call call;
  call.mutable_engines();
  if (!before.empty())
    call.mutable_engines()->set_after(before.back().reply.engines().engines().rbegin()->name());
  return call;
}
Call orders_page(const Rounds::Pages& before) {
  Call call;
  std::uint32_t told = 0;
  for (const Heard& heard : before) told += static_cast<std::uint32_t>(heard.reply.orders().orders_size());
  call.mutable_orders()->set_orders(told);
  return call;
}

std::string fresh_id() {
  std::random_device device;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", device(), device());
  return text;
}

json base(const Instance& instance) {
  json row = {{"instance", instance.facts.name}};
  if (!instance.facts.zone.empty()) row["zone"] = instance.facts.zone;
  return row;
}

Done done_of(const Heard& heard) {
  if (heard.ok()) return Done::yes;
  if (!heard.answered()) return Done::unreachable;
  const std::string& verdict = heard.reply.ordered().verdict();
  return verdict == "conflict" || verdict == "stale" ? Done::conflict : Done::refused;
}

std::string age(std::uint64_t ms) {
  char text[32];
  if (ms < 10'000) std::snprintf(text, sizeof text, "%.1fs", static_cast<double>(ms) / 1000);
  else if (ms < 600'000)
    std::snprintf(text, sizeof text, "%llus", static_cast<unsigned long long>(ms / 1000));
  else
    std::snprintf(text, sizeof text, "%lluh%02llum", static_cast<unsigned long long>(ms / 3'600'000),
                  static_cast<unsigned long long>(ms / 60'000 % 60));
  return text;
}

std::uint64_t unix_ms() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

json order_row(const admin::v1::Order& order) {
  return {{"subject", order.subject().empty() ? "(manager)" : order.subject()},
          {"holder", order.holder()},
          {"generation", order.generation()},
          {"left", age(order.lease_ms())},
          {"reason", order.reason()},
          {"id", order.id()}};
}

pearchute::Span steady() {
  return std::chrono::duration_cast<pearchute::Span>(std::chrono::steady_clock::now().time_since_epoch());
}

// Starts a program that outlives this one: in a session of its own, with nothing open.
void start_detached(const std::string& command) {
  const pid_t child = ::fork();
  if (child != 0) {
    ::waitpid(child, nullptr, 0);
    return;
  }
  ::setsid();
  if (::fork() != 0) ::_exit(0);
  const int nothing = ::open("/dev/null", O_RDWR);
  ::dup2(nothing, 0), ::dup2(nothing, 1), ::dup2(nothing, 2);
  for (int fd = 3; fd < 1024; ++fd) ::close(fd);
  ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
  ::_exit(127);
}

}  // namespace

Commands::Commands(const Fleet& fleet, std::vector<const Instance*> chosen, Output& output)
    : fleet_(fleet),
      chosen_(std::move(chosen)),
      output_(output),
      rounds_(fleet.at_once, fleet.answers_within) {
  std::signal(SIGINT, [](int) { interrupted = 1; });
}

// ---- Questions ----

Rows Commands::status_rows(std::vector<Done>& each) {
  const std::vector<Heard> heard = rounds_.ask(chosen_, status_call);
  Rows rows;
  for (std::size_t i = 0; i < heard.size(); ++i) {
    json row = base(*chosen_[i]);
    each.push_back(done_of(heard[i]));
    if (!heard[i].ok()) {
      row["state"] = heard[i].trouble();
    } else {
      const admin::v1::Status& status = heard[i].reply.status();
      const admin::v1::Identity& identity = status.identity();
      row["state"] = identity.phase() == "serving" ? identity.rest() : identity.phase();
      row["phase"] = identity.phase();
      row["rest"] = identity.rest();
      row["up"] = age(unix_ms() - std::min(unix_ms(), identity.started_unix_ms()));
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
  std::vector<Done> each;
  const Rows rows = status_rows(each);
  output_.rows(rows,
               {"instance", "zone", "state", "up", "jobs", "held", "engines", "orders", "build", "trouble"});
  return fleet::status_of_question(each);
}

// Rows of what each tells; where one did not answer, a row with the trouble behind its name.
int Commands::question(const std::vector<Rounds::Pages>& answers, const std::vector<std::string>& columns,
                       const std::function<void(const Instance&, const admin::v1::Reply&, Rows&)>& rows_of) {
  std::vector<Done> each;
  Rows rows;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    for (const Heard& heard : answers[i]) {
      if (heard.ok()) rows_of(*chosen_[i], heard.reply, rows);
    }
    each.push_back(done_of(answers[i].back()));
    if (answers[i].back().ok()) continue;
    json row = base(*chosen_[i]);
    row[columns[1]] = answers[i].back().trouble();
    rows.push_back(std::move(row));
  }
  output_.rows(rows, columns);
  return fleet::status_of_question(each);
}

int Commands::engines() {
  return question(rounds_.ask_pages(chosen_, engines_page),
                  {"instance", "engine", "engine_zone", "state", "said", "live_mb", "threads", "slots",
                   "pace", "errors", "closed", "connections", "out", "kept_back", "oldest"},
                  [](const Instance& instance, const admin::v1::Reply& reply, Rows& rows) {
                    for (const admin::v1::Engine& engine : reply.engines().engines()) {
                      json row = base(instance);
                      row["engine"] = engine.name(), row["address"] = engine.address();
                      row["engine_zone"] = engine.zone(), row["kind"] = engine.kind();
                      row["state"] = engine.state(), row["said"] = engine.said();
                      row["live_mb"] = engine.live_mb(), row["capacity_mb"] = engine.capacity_mb();
                      row["threads"] = engine.live_threads(), row["slots"] = engine.slots();
                      row["pace"] = engine.pace(), row["errors"] = engine.error_rate();
                      row["cold"] = engine.cold();
                      if (engine.closed_for_ms() > 0)
                        row["closed"] = age(engine.closed_for_ms()) + " " + engine.closed_why();
                      else if (engine.on_trial()) row["closed"] = "on trial, " + engine.closed_why();
                      row["connections"] = engine.connections(), row["out"] = engine.dispatches();
                      row["kept_back"] = engine.kept_back(), row["oldest"] = age(engine.oldest_ms());
                      for (const auto& order : engine.orders()) row["orders"].push_back(order_row(order));
                      rows.push_back(std::move(row));
                    }
                  });
}

int Commands::jobs(std::uint32_t most) {
  Call call;
  call.mutable_jobs()->set_most(most);
  return question(rounds_.ask_pages(chosen_, [&](const auto&) { return call; }),
                  {"instance", "job", "type", "age", "left_ms", "dispatches", "out", "waits_for"},
                  [](const Instance& instance, const admin::v1::Reply& reply, Rows& rows) {
                    for (const admin::v1::Job& job : reply.jobs().jobs()) {
                      json row = base(instance);
                      row["job"] = job.id(), row["type"] = job.type(), row["age"] = age(job.age_ms());
                      row["left_ms"] = job.left_ms(), row["dispatches"] = job.dispatches();
                      std::string out;
                      for (const std::string& engine : job.out()) out += (out.empty() ? "" : ",") + engine;
                      row["out"] = out, row["waits_for"] = job.waits_for();
                      rows.push_back(std::move(row));
                    }
                  });
}

int Commands::orders() {
  return question(rounds_.ask_pages(chosen_, orders_page),
                  {"instance", "subject", "holder", "generation", "left", "reason", "id"},
                  [](const Instance& instance, const admin::v1::Reply& reply, Rows& rows) {
                    for (const admin::v1::Order& order : reply.orders().orders()) {
                      json row = base(instance);
                      row.update(order_row(order));
                      rows.push_back(std::move(row));
                    }
                  });
}

int Commands::top(milliseconds every, int rounds) {
  const bool terminal = ::isatty(STDOUT_FILENO);
  int status = 0;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> before;  // jobs taken, when
  for (int round = 0; !interrupted && (rounds == 0 || round < rounds); ++round) {
    if (round > 0) std::this_thread::sleep_for(every);
    std::vector<Done> each;
    Rows rows = status_rows(each);
    status = fleet::status_of_question(each);
    const std::uint64_t now = unix_ms();
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
  std::vector<Done> each(chosen_.size(), Done::yes);
  std::mutex mutex;
  rounds_.watch(
      chosen_, time,
      [&](const Instance& instance, const admin::v1::Event& event) {
        const std::lock_guard lock(mutex);
        json row = base(instance);
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
          if (chosen_[i] == &instance) each[i] = Done::unreachable;
        }
        std::cerr << instance.facts.name << ": the watch has ended: " << why << std::endl;
      },
      [] { return interrupted != 0; });
  return fleet::status_of_question(each);
}

int Commands::engine_list() {
  const std::vector<Rounds::Pages> heard = rounds_.ask_pages(chosen_, engines_page);
  std::vector<Done> each;
  struct Seen {
    std::string zone, address;
    std::map<std::string, int> states;
    std::set<std::string> holders;
  };
  std::map<std::string, Seen> engines;
  Rows rows;
  for (const Rounds::Pages& pages : heard) {
    each.push_back(done_of(pages.back()));
    for (const Heard& page : pages) {
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
    if (each[i] != Done::yes)
      std::cerr << chosen_[i]->facts.name << ": " << heard[i].back().trouble() << std::endl;
  }
  output_.rows(rows, {"engine", "zone", "address", "states", "held_by"});
  return fleet::status_of_question(each);
}

int Commands::log_level(const std::string& level) {
  Call call;
  call.mutable_log_level()->set_level(level);
  const std::vector<Heard> heard = rounds_.ask(chosen_, call);
  std::vector<Done> each;
  Rows rows;
  for (std::size_t i = 0; i < heard.size(); ++i) {
    each.push_back(done_of(heard[i]));
    json row = base(*chosen_[i]);
    row["result"] = heard[i].ok() ? "done" : heard[i].trouble();
    rows.push_back(std::move(row));
  }
  output_.rows(rows, {"instance", "result"});
  return fleet::status_of_change(each);
}

int Commands::check() {
  const std::vector<Heard> heard = rounds_.ask(chosen_, who);
  std::vector<Done> each;
  Rows rows;
  for (std::size_t i = 0; i < heard.size(); ++i) {
    each.push_back(done_of(heard[i]));
    json row = base(*chosen_[i]);
    row["admin"] = chosen_[i]->facts.admin;
    row["result"] = heard[i].ok() ? "answers" : heard[i].trouble();
    // A file that names one manager's channel under another's name would drain the wrong one.
    const std::string& name = heard[i].reply.identity().name();
    if (heard[i].ok() && name != chosen_[i]->facts.name) {
      row["result"] = "calls itself " + name;
      each.back() = Done::refused;
    }
    rows.push_back(std::move(row));
  }
  output_.rows(rows, {"instance", "zone", "admin", "result"});
  return fleet::status_of_question(each);
}

// ---- Changes ----

bool Commands::confirmed(const std::vector<fleet::Loss>& losses, const std::string& what,
                         const Manner& manner) {
  if (losses.empty() || manner.yes) return true;
  for (const fleet::Loss& loss : losses) {
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
std::vector<fleet::Loss> Commands::losses_of_managers() {
  Rounds::Instances all;
  for (const Instance& one : fleet_.instances) all.push_back(&one);
  const std::vector<Heard> heard = rounds_.ask(all, who);
  std::vector<fleet::Serving> serving;
  std::vector<std::string> stopped;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const admin::v1::Identity& identity = heard[i].reply.identity();
    serving.push_back({all[i]->facts.name, all[i]->facts.zone,
                       heard[i].ok() && identity.phase() == "serving" && identity.rest() == "serving"});
  }
  for (const Instance* one : chosen_) stopped.push_back(one->facts.name);
  return fleet::losses(serving, stopped);
}

Commands::Told Commands::give(const std::string& subject, bool drains, const Manner& manner) {
  Told told;
  const std::vector<Heard> known = rounds_.ask(chosen_, orders_page({}));
  std::uint64_t newest = 0;
  for (const Heard& one : known)
    newest = std::max<std::uint64_t>(newest, one.reply.orders().newest_generation());
  Call call;
  admin::v1::Order& order = *call.mutable_order();
  order.set_id(fresh_id()), order.set_subject(subject), order.set_holder(manner.holder);
  order.set_generation(newest + 1), order.set_drains(drains), order.set_everyone(manner.everyone && !drains);
  order.set_reason(manner.reason);
  if (drains) order.set_lease_ms(static_cast<std::uint64_t>(milliseconds(manner.lease).count()));
  if (manner.dry_run) {
    for (std::size_t i = 0; i < chosen_.size(); ++i) {
      json row = base(*chosen_[i]);
      row["subject"] = subject.empty() ? "(manager)" : subject;
      row["result"] =
          known[i].ok() ? (drains ? "would be drained" : "would be restored") : known[i].trouble();
      told.rows.push_back(std::move(row));
      told.each.push_back(done_of(known[i]));
    }
    return told;
  }
  std::vector<Heard> heard = rounds_.ask(chosen_, call);
  // Where no answer came it may have been taken; the same order again does no harm and tells.
  Rounds::Instances again;
  std::vector<std::size_t> places;
  for (std::size_t i = 0; i < heard.size(); ++i) {
    if (heard[i].end == CallEnd::broken || heard[i].end == CallEnd::silent)
      again.push_back(chosen_[i]), places.push_back(i);
  }
  const std::vector<Heard> second = rounds_.ask(again, call);
  for (std::size_t at = 0; at < second.size(); ++at) heard[places[at]] = second[at];

  for (std::size_t i = 0; i < heard.size(); ++i) {
    json row = base(*chosen_[i]);
    const admin::v1::Ordered& ordered = heard[i].reply.ordered();
    row["subject"] = subject.empty() ? "(manager)" : subject;
    row["result"] = heard[i].ok() ? ordered.verdict() : heard[i].trouble();
    row["state"] = ordered.standing();
    row["generation"] = newest + 1;
    std::string holders;
    for (const auto& one : ordered.in_force()) {
      row["in_force"].push_back(order_row(one));
      if (one.holder() != manner.holder || !drains)
        holders += (holders.empty() ? "" : ", ") + one.holder() + " for " + age(one.lease_ms()) +
                   (one.reason().empty() ? "" : " (" + one.reason() + ")");
    }
    if (!holders.empty()) row["also_held_by"] = holders;
    if (heard[i].ok() && !ordered.listed())
      row["note"] = "not in this manager's list; the order waits for it";
    Done done = done_of(heard[i]);
    // A restore that was taken, and others still hold it.
    if (done == Done::yes && !drains && ordered.in_force_size() > 0) done = Done::conflict;
    told.each.push_back(done);
    told.rows.push_back(std::move(row));
  }
  return told;
}

int Commands::drain(const Manner& manner) {
  if (!manner.dry_run && !confirmed(losses_of_managers(), "drain", manner)) return fleet::not_confirmed;
  if (manner.dry_run) {
    for (const fleet::Loss& loss : losses_of_managers())
      output_.line("zone " + loss.zone + ": " + std::to_string(loss.stopping) + " of " +
                   std::to_string(loss.serving) + " would stop serving");
  }
  Told told = give("", true, manner);
  // Until all that took the order have nothing open, or the time is up.
  const auto until = std::chrono::steady_clock::now() + manner.within;
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < told.each.size() && !manner.dry_run; ++i) {
    if (told.each[i] == Done::yes) open.push_back(i);
  }
  while (!open.empty() && !interrupted) {
    Rounds::Instances instances;
    for (const std::size_t i : open) instances.push_back(chosen_[i]);
    const std::vector<Heard> heard = rounds_.ask(instances, status_call);
    const bool up = std::chrono::steady_clock::now() >= until;
    std::vector<std::size_t> left;
    for (std::size_t at = 0; at < heard.size(); ++at) {
      json& row = told.rows[open[at]];
      const admin::v1::Status& status = heard[at].reply.status();
      if (heard[at].ok()) row["state"] = status.identity().rest(), row["jobs"] = status.open_jobs();
      if (heard[at].ok() && status.identity().rest() == "drained") continue;
      if (!up) left.push_back(open[at]);
      else
        told.each[open[at]] = heard[at].ok() ? Done::time_up : Done::unreachable,
        row["result"] = heard[at].ok() ? "drains, but not within the time" : heard[at].trouble();
    }
    open = left;
    if (open.empty()) break;
    output_.progress(std::to_string(open.size()) + " of " + std::to_string(chosen_.size()) + " still drain");
    std::this_thread::sleep_for(milliseconds(200));
  }
  output_.progress_over();
  output_.rows(told.rows, {"instance", "zone", "result", "state", "jobs", "also_held_by"});
  return fleet::status_of_change(told.each);
}

int Commands::resume(const Manner& manner) {
  // An end that was asked for is called off, too.
  if (!manner.dry_run) {
    Call call;
    call.mutable_end()->set_called_off(true);
    rounds_.ask(chosen_, call);
  }
  const Told told = give("", false, manner);
  output_.rows(told.rows, {"instance", "zone", "result", "state", "also_held_by"});
  return fleet::status_of_change(told.each);
}

int Commands::engine_orders(const std::vector<std::string>& engines, bool drains, const Manner& manner) {
  if (drains) {
    // What each zone has, by the managers' own lists.
    std::map<std::string, fleet::Serving> seen;
    for (const Rounds::Pages& pages : rounds_.ask_pages(chosen_, engines_page)) {
      for (const Heard& page : pages) {
        for (const admin::v1::Engine& engine : page.reply.engines().engines()) {
          fleet::Serving& one = seen[engine.name()];
          one.name = engine.name(), one.zone = engine.zone();
          one.serves = one.serves || engine.state() == "up";
        }
      }
    }
    std::vector<fleet::Serving> serving;
    std::vector<std::string> stopped;
    for (const auto& [name, one] : seen) serving.push_back(one);
    for (const std::string& name : engines) stopped.push_back(name);
    const auto losses = fleet::losses(serving, stopped);
    if (manner.dry_run) {
      for (const fleet::Loss& loss : losses)
        output_.line("zone " + loss.zone + ": " + std::to_string(loss.stopping) + " of " +
                     std::to_string(loss.serving) + " engines would stop serving");
    } else if (!confirmed(losses, "engine drain", manner)) {
      return fleet::not_confirmed;
    }
  }
  Told all;
  for (const std::string& engine : engines) {
    Told told = give(engine, drains, manner);
    all.rows.insert(all.rows.end(), told.rows.begin(), told.rows.end());
    all.each.insert(all.each.end(), told.each.begin(), told.each.end());
  }
  output_.rows(all.rows, {"instance", "zone", "subject", "result", "state", "also_held_by", "note"});
  return fleet::status_of_change(all.each);
}

// ---- Restarts ----

namespace {

// One instance's restart, with its calls kept until the next step carries them out.
struct OneRestart final : fleet::Restart::Host {
  OneRestart(const Instance& which, const fleet::Restart::Limits& limits)
      : instance(which), steps(*this, limits) {}
  void ask_to_end(Span within) override { end_within = within; }
  void start_program() override { start = true; }
  void ask_orders() override { orders = true; }
  void give_orders(const std::set<std::string>& ids) override { give = ids; }
  using Span = fleet::Restart::Span;

  const Instance& instance;
  std::optional<Span> end_within;
  bool start = false, orders = false;
  std::set<std::string> give;
  std::map<std::string, admin::v1::Order> kept;  // the open orders of before
  fleet::Restart steps;
};

fleet::Restart::Seen seen_by(const Heard& heard) {
  if (heard.answered()) return fleet::Restart::Seen::answered;
  return heard.end == CallEnd::unreachable ? fleet::Restart::Seen::gone : fleet::Restart::Seen::silent;
}

fleet::Restart::Identity identity_in(const admin::v1::Identity& told) {
  return {told.started_unix_ms(), told.pid(), told.phase() == "serving", told.build(), told.digest()};
}

// The open orders of one instance by their ids, or nothing where not all could be read.
std::optional<std::map<std::string, admin::v1::Order>> orders_at(Rounds& rounds, const Instance& instance) {
  std::map<std::string, admin::v1::Order> orders;
  const std::vector<Rounds::Pages> pages = rounds.ask_pages({&instance}, orders_page);
  for (const Heard& page : pages.front()) {
    if (!page.ok()) return std::nullopt;
    for (const auto& order : page.reply.orders().orders()) orders[order.id()] = order;
  }
  return orders;
}

std::set<std::string> ids_of(const std::map<std::string, admin::v1::Order>& orders) {
  std::set<std::string> ids;
  for (const auto& [id, order] : orders) ids.insert(id);
  return ids;
}

void step(OneRestart& one, Rounds& rounds) {
  if (one.end_within) {
    Call call;
    call.mutable_end()->set_within_ms(
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(*one.end_within).count()));
    one.end_within.reset();
    const Heard heard = rounds.ask_one(one.instance, call);
    return one.steps.end_answered(steady(), seen_by(heard), heard.ok());
  }
  if (std::exchange(one.start, false)) start_detached(one.instance.start);
  if (!one.give.empty()) {
    for (const std::string& id : one.give) {
      Call call;
      *call.mutable_order() = one.kept[id];
      rounds.ask_one(one.instance, call);
    }
    one.give.clear();
  }
  if (std::exchange(one.orders, false)) {
    const auto orders = orders_at(rounds, one.instance);
    return one.steps.orders_told(steady(), orders ? std::optional(ids_of(*orders)) : std::nullopt);
  }
  const Heard heard = rounds.ask_one(one.instance, who);
  one.steps.seen(steady(), seen_by(heard),
                 heard.ok() ? std::optional(identity_in(heard.reply.identity())) : std::nullopt);
}

}  // namespace

int Commands::restart(const Manner& manner) {
  // So many stop at once, not all that are chosen.
  if (manner.at_once > 1 && !manner.dry_run && !confirmed(losses_of_managers(), "restart", manner))
    return fleet::not_confirmed;
  std::vector<json> rows;
  std::vector<Done> each(chosen_.size(), Done::not_begun);
  for (const Instance* instance : chosen_) {
    rows.push_back(base(*instance));
    rows.back()["result"] = manner.dry_run ? "would be restarted" : "not begun";
    if (manner.dry_run) rows.back()["start"] = instance->start.empty() ? "by somebody else" : instance->start;
  }
  bool stopped = manner.dry_run;
  std::size_t next = 0;
  std::map<std::size_t, std::unique_ptr<OneRestart>> open;
  while ((!stopped && next < chosen_.size()) || !open.empty()) {
    if (interrupted) stopped = true;  // what has begun is seen to its end
    while (!stopped && next < chosen_.size() && open.size() < manner.at_once) {
      const Instance& instance = *chosen_[next];
      const Heard known = rounds_.ask_one(instance, who);
      const auto orders = orders_at(rounds_, instance);
      if (!known.ok() || !orders) {
        each[next] = known.ok() ? Done::unreachable : done_of(known);
        rows[next]["result"] = known.ok() ? "its orders can't be read" : known.trouble();
        stopped = true;
        ++next;
        break;
      }
      auto one = std::make_unique<OneRestart>(
          instance, fleet::Restart::Limits{manner.within, manner.up_within, !instance.start.empty()});
      one->kept = *orders;
      one->steps.begin(steady(), identity_in(known.reply.identity()), ids_of(*orders));
      open[next++] = std::move(one);
    }
    std::string progress;
    for (auto it = open.begin(); it != open.end();) {
      auto& [number, one] = *it;
      step(*one, rounds_);
      if (!one->steps.over()) {
        progress += (progress.empty() ? "" : ", ") + one->instance.facts.name + " " +
                    std::string(fleet::word_for(one->steps.state()));
        ++it;
        continue;
      }
      each[number] = one->steps.outcome();
      rows[number]["result"] = one->steps.word();
      rows[number]["handed_over"] = one->steps.handed_over();
      // One that does not come back stops the rest: the fault may be everyone's.
      if (one->steps.outcome() != Done::yes) stopped = true;
      it = open.erase(it);
    }
    if (!progress.empty()) output_.progress(progress);
    if (!open.empty()) std::this_thread::sleep_for(milliseconds(100));
  }
  output_.progress_over();
  if (manner.dry_run) std::ranges::fill(each, Done::yes);
  output_.rows(rows, {"instance", "zone", "result", "start"});
  return fleet::status_of_change(each);
}

}  // namespace pearchute::ctl

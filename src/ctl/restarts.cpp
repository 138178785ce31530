#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <thread>

#include "ctl/commands.h"
#include "ctl/interrupt.h"
#include "ctl/requests.h"
#include "ctl/rows.h"
#include "fleet/restart.h"
#include "system/retries.h"

namespace pearchute::ctl {

using admin::CallEnd;
using admin::v1::Call;
using fleet::CommandOutcome;
using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

namespace {

pearchute::Duration steady() {
  return std::chrono::duration_cast<pearchute::Duration>(std::chrono::steady_clock::now().time_since_epoch());
}

constexpr int status_no_process = 1;

// The forked child's part: a process of its own session, which is nobody's child, becomes the command.
[[noreturn]] void become_detached(const std::string& command) {
  ::setsid();
  const pid_t grandchild = ::fork();
  if (grandchild != 0) ::_exit(grandchild > 0 ? 0 : status_no_process);
  const int nothing = ::open("/dev/null", O_RDWR);
  ::dup2(nothing, STDIN_FILENO), ::dup2(nothing, STDOUT_FILENO), ::dup2(nothing, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
  ::_exit(127);
}

// Starts a program that outlives this one. Throws ResourceShortage where no process can be had for it.
void start_detached(const std::string& command) {
  const pid_t child = ::fork();
  if (child == 0) become_detached(command);
  if (child < 0) throw ResourceShortage("no process: " + text_of_last_error());
  int status = 0;
  uninterrupted([&] { return ::waitpid(child, &status, 0); });
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) throw ResourceShortage("no process");
}

// Guards against a manager that has ended by order and is not started, because no process can be had at once.
void start_again(const Instance& instance) {
  try {
    retry_while_short([&] { start_detached(instance.start); }, [](const ResourceShortage&) {});
  } catch (const ResourceShortage& shortage) {
    std::cerr << instance.facts.name << " can't be started: " << shortage.what() << "\n";
  }
}

// One instance's restart, with its calls kept until the next step carries them out.
struct OneRestart final : fleet::Restart::Host {
  OneRestart(const Instance& which, const fleet::Restart::Limits& limits)
      : instance(which), steps(*this, limits) {}
  void request_shutdown(fleet::Duration within) override { end_within = within; }
  void start_program() override { start = true; }
  void request_directives() override { orders = true; }
  void reissue_directives(const std::set<std::string>& ids) override { give = ids; }

  const Instance& instance;
  std::optional<fleet::Duration> end_within;
  bool start = false, orders = false;
  std::set<std::string> give;
  std::map<std::string, admin::v1::Order> kept;  // the open orders of before
  fleet::Restart steps;
};

fleet::Restart::ProbeResult seen_by(const CallResult& heard) {
  if (heard.answered()) return fleet::Restart::ProbeResult::answered;
  return heard.end == CallEnd::unreachable ? fleet::Restart::ProbeResult::gone
                                           : fleet::Restart::ProbeResult::silent;
}

fleet::Restart::Identity identity_in(const admin::v1::Identity& told) {
  return {told.started_unix_ms(), told.pid(), told.phase() == "serving", told.build(), told.digest()};
}

// The open orders of one instance by their ids, or nothing where not all could be read.
std::optional<std::map<std::string, admin::v1::Order>> orders_at(BatchExecutor& executor,
                                                                 const Instance& instance) {
  std::map<std::string, admin::v1::Order> orders;
  const std::vector<BatchExecutor::Pages> pages = executor.ask_pages({&instance}, orders_request);
  for (const CallResult& page : pages.front()) {
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

void step(OneRestart& one, BatchExecutor& executor) {
  if (one.end_within) {
    Call call;
    call.mutable_end()->set_within_ms(
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(*one.end_within).count()));
    one.end_within.reset();
    const CallResult heard = executor.ask_one(one.instance, call);
    return one.steps.on_shutdown_response(steady(), seen_by(heard), heard.ok());
  }
  if (std::exchange(one.start, false)) start_again(one.instance);
  if (!one.give.empty()) {
    for (const std::string& id : one.give) {
      Call call;
      *call.mutable_order() = one.kept[id];
      executor.ask_one(one.instance, call);
    }
    one.give.clear();
  }
  if (std::exchange(one.orders, false)) {
    const auto orders = orders_at(executor, one.instance);
    return one.steps.on_directives(steady(), orders ? std::optional(ids_of(*orders)) : std::nullopt);
  }
  const CallResult heard = executor.ask_one(one.instance, identity_request());
  one.steps.on_probe(steady(), seen_by(heard),
                     heard.ok() ? std::optional(identity_in(heard.reply.identity())) : std::nullopt);
}

}  // namespace

int Commands::restart(const ChangeOptions& options) {
  // So many stop at once, not all that are chosen.
  if (options.at_once > 1 && !options.dry_run && !confirmed(losses_of_managers(), "restart", options))
    return fleet::not_confirmed;
  std::vector<json> rows;
  std::vector<CommandOutcome> each(chosen_.size(), CommandOutcome::not_begun);
  for (const Instance* instance : chosen_) {
    rows.push_back(instance_row(*instance));
    rows.back()["result"] = options.dry_run ? "would be restarted" : "not begun";
    if (options.dry_run)
      rows.back()["start"] = instance->start.empty() ? "by somebody else" : instance->start;
  }
  bool stopped = options.dry_run;
  std::size_t next = 0;
  std::map<std::size_t, std::unique_ptr<OneRestart>> open;
  while ((!stopped && next < chosen_.size()) || !open.empty()) {
    if (interrupted()) stopped = true;  // what has begun is seen to its end
    while (!stopped && next < chosen_.size() && open.size() < options.at_once) {
      const Instance& instance = *chosen_[next];
      const CallResult known = executor_.ask_one(instance, identity_request());
      const auto orders = orders_at(executor_, instance);
      if (!known.ok() || !orders) {
        each[next] = known.ok() ? CommandOutcome::unreachable : outcome_of(known);
        rows[next]["result"] = known.ok() ? "its orders can't be read" : known.trouble();
        stopped = true;
        ++next;
        break;
      }
      auto one = std::make_unique<OneRestart>(
          instance, fleet::Restart::Limits{options.within, options.up_within, !instance.start.empty()});
      one->kept = *orders;
      one->steps.begin(steady(), identity_in(known.reply.identity()), ids_of(*orders));
      open[next++] = std::move(one);
    }
    std::string progress;
    for (auto it = open.begin(); it != open.end();) {
      auto& [number, one] = *it;
      step(*one, executor_);
      if (!one->steps.over()) {
        progress += (progress.empty() ? "" : ", ") + one->instance.facts.name + " " +
                    std::string(fleet::name_of(one->steps.state()));
        ++it;
        continue;
      }
      each[number] = one->steps.outcome();
      rows[number]["result"] = one->steps.detail();
      rows[number]["handed_over"] = one->steps.reissued_count();
      // One that does not come back stops the rest: the fault may be everyone's.
      if (one->steps.outcome() != CommandOutcome::yes) stopped = true;
      it = open.erase(it);
    }
    if (!progress.empty()) output_.progress(progress);
    if (!open.empty()) std::this_thread::sleep_for(milliseconds(100));
  }
  output_.progress_over();
  if (options.dry_run) std::ranges::fill(each, CommandOutcome::yes);
  output_.rows(rows, {"instance", "zone", "result", "start"});
  return fleet::exit_status_of_change(each);
}

}  // namespace pearchute::ctl

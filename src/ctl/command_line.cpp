#include "ctl/command_line.h"

#include <algorithm>
#include <cstdlib>

#include "errors/error.h"
#include "ini/reader.h"

namespace pearchute::ctl {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int max_lease_s = 7 * 24 * 3600;
constexpr int max_instances = 5000;
constexpr int max_rollout_wait_s = 3600;

std::string environment_value(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value ? value : fallback;
}

fleet::StepKind step_kind_in(const std::string& name) {
  if (name == "drain") return fleet::StepKind::drain;
  if (name == "resume") return fleet::StepKind::resume;
  return name == "change" ? fleet::StepKind::change : fleet::StepKind::restart;
}

// Returns the branches of a shell `case` statement that list the words which may follow the command `path`,
// with a branch for each of its subcommands.
std::string completion_cases(const CLI::App& command, const std::string& path) {
  std::string words;
  for (const CLI::App* subcommand : command.get_subcommands({})) words += subcommand->get_name() + " ";
  for (const CLI::Option* option : command.get_options()) {
    for (const std::string& name : option->get_lnames()) words += "--" + name + " ";
  }
  std::string cases = "    \"" + path + "\") words=\"" + words + "\" ;;\n";
  for (const CLI::App* subcommand : command.get_subcommands({})) {
    const std::string& name = subcommand->get_name();
    std::string subcommand_path = path;
    if (!path.empty()) subcommand_path += ' ';
    subcommand_path += name;
    cases += completion_cases(*subcommand, subcommand_path);
  }
  return cases;
}

}  // namespace

CommandLine::CommandLine() : app_("pearchutectl: sees and governs many managers at once") {
  app_.require_subcommand(1);
  app_.fallthrough();  // common options may follow the command
  app_.set_version_flag("--version", "pearchutectl " PEARCHUTE_VERSION);
  common_.fleet_file = environment_value("PEARCHUTE_FLEET", "/etc/pearchute/fleet.ini");
  change_.holder = environment_value("USER", "");
  if (change_.holder.empty()) change_.holder = "operator";
  // The order of these calls is the order of commands and options in --help and in the completion.
  add_common_options();
  add_queries();
  add_manager_changes();
  add_engine_commands();
  add_agent_commands();
  add_rollout_commands();
  add_key_commands();
  completion_ = app_.add_subcommand("completion", "a completion script for bash");
}

CLI::App* CommandLine::add(CLI::App& group, const std::string& name, const std::string& description,
                           Action action) {
  CLI::App* command = group.add_subcommand(name, description);
  commands_.push_back({command, std::move(action)});
  return command;
}

void CommandLine::add_common_options() {
  app_.add_option("--fleet", common_.fleet_file, "the list of instances, INI (or PEARCHUTE_FLEET names it)")
      ->type_name("FILE");
  app_.add_option("--on", common_.selector, "which instances, e.g. 'zone = hall-a and not name ~ n3*'")
      ->type_name("SELECTOR");
  app_.add_option("--output", common_.output_format, "table or json")
      ->check(CLI::IsMember({"table", "json"}));
  app_.add_option("--timeout", common_.timeout_ms, "how long one may take to answer")
      ->type_name("MS")
      ->check(CLI::Range(10, 60000));
  app_.add_option("--parallel", common_.parallel, "how many are asked at once")->check(CLI::Range(1, 500));
}

void CommandLine::add_change_options(CLI::App& command) {
  command.add_flag("--dry-run", change_.dry_run, "says what would be done, and does nothing");
  command.add_flag("--yes", change_.yes, "without asking, though over half of a zone would stop");
  command.add_option("--as", change_.holder, "who answers for the order")->type_name("NAME");
}

void CommandLine::add_drain_options(CLI::App& command) {
  command.add_option("--lease", order_lease_s_, "how long the order holds")
      ->type_name("S")
      ->check(CLI::Range(1, max_lease_s));
  command.add_option("--reason", change_.reason, "what others are told");
  add_change_options(command);
}

void CommandLine::add_restore_options(CLI::App& command) {
  command.add_flag("--everyone", change_.everyone, "ends the older orders of other holders, too");
  add_change_options(command);
}

void CommandLine::add_queries() {
  add(app_, "status", "each manager's state", [](Commands& managers) { return managers.status(); });
  add(app_, "engines", "what each manager believes of its engines",
      [](Commands& managers) { return managers.engines(); });
  CLI::App* requests = add(app_, "jobs", "the oldest open jobs", [this](Commands& managers) {
    return managers.requests(static_cast<std::uint32_t>(max_requests_));
  });
  requests->add_option("--most", max_requests_, "of each manager")->check(CLI::Range(1, 200));
  CLI::App* top = add(app_, "top", "status again and again, with rates", [this](Commands& managers) {
    return managers.top(milliseconds(top_interval_ms_), top_rounds_);
  });
  top->add_option("--every", top_interval_ms_)->type_name("MS")->check(CLI::Range(100, 60000));
  top->add_option("--rounds", top_rounds_, "0: until interrupted");
  CLI::App* watch = add(app_, "watch", "events as they happen",
                        [this](Commands& managers) { return managers.watch(milliseconds(watch_ms_)); });
  watch->add_option("--for", watch_ms_, "0: until interrupted")->type_name("MS");
  add(app_, "orders", "the open orders of operators", [](Commands& managers) { return managers.orders(); });
}

void CommandLine::add_manager_changes() {
  CLI::App* drain = add(app_, "drain", "managers take no new calls; what is open ends",
                        [this](Commands& managers) { return managers.drain(change_options()); });
  add_drain_options(*drain);
  drain->add_option("--within", drain_timeout_s_, "how long to wait until nothing is open")->type_name("S");
  CLI::App* resume = add(app_, "resume", "drained managers take calls again",
                         [this](Commands& managers) { return managers.resume(change_options()); });
  add_restore_options(*resume);
  CLI::App* restart = add(app_, "restart", "drain, end, start again, one after the other",
                          [this](Commands& managers) { return managers.restart(change_options()); });
  add_change_options(*restart);
  restart->add_option("--within", drain_timeout_s_, "how long to wait until nothing is open")->type_name("S");
  restart->add_option("--up-within", start_timeout_s_, "how long one may take to serve again")
      ->type_name("S");
  restart->add_option("--at-once", max_concurrent_restarts_, "so many at a time")->check(CLI::Range(1, 100));
}

void CommandLine::add_engine_commands() {
  CLI::App& engine = *app_.add_subcommand("engine", "engines, at all chosen managers");
  engine.require_subcommand(1);
  CLI::App* drain = add(engine, "drain", "nothing new goes to these engines", [this](Commands& managers) {
    return managers.engine_orders(engines_, true, change_options());
  });
  add_drain_options(*drain);
  drain->add_option("names", engines_, "names, or @ADDRESS: whatever engine is there")->required();
  CLI::App* restore = add(engine, "restore", "back to the channel's word", [this](Commands& managers) {
    return managers.engine_orders(engines_, false, change_options());
  });
  add_restore_options(*restore);
  restore->add_option("names", engines_, "names or @ADDRESS")->required();
  add(engine, "list", "how each engine stands, over all managers",
      [](Commands& managers) { return managers.engine_list(); });
  CLI::App* log_level = add(app_, "log-level", "of the managers' logs, until their next start",
                            [this](Commands& managers) { return managers.log_level(log_level_); });
  log_level->add_option("level", log_level_)->required();
  add(app_, "check", "the fleet file, and who answers under which name",
      [](Commands& managers) { return managers.check(); });
}

void CommandLine::add_agent_commands() {
  add(app_, "agents", "what each agent sees of its instances",
      [](AgentCommands& agents) { return agents.agents(); });
  add(app_, "claims", "who works on which instance, since when, for how long",
      [](AgentCommands& agents) { return agents.leases(); });
}

void CommandLine::add_rollout_commands() {
  CLI::App& rollout = *app_.add_subcommand("rollout", "steps over many instances, within limits");
  rollout.require_subcommand(1);
  const auto run = [this](AgentCommands& agents, bool start) {
    return agents.rollout(rollout_plan(), rollout_.coordinator, start, rollout_.follow);
  };
  CLI::App* plan = add(rollout, "plan", "says what would be done",
                       [run](AgentCommands& agents) { return run(agents, false); });
  add_rollout_limits(*plan);
  add_rollout_times(*plan);
  CLI::App* start =
      add(rollout, "start", "begins it", [run](AgentCommands& agents) { return run(agents, true); });
  add_rollout_limits(*start);
  add_rollout_times(*start);
  start->add_option("--coordinator", rollout_.coordinator, "the agent that is asked; else the first")
      ->type_name("AGENT");
  start->add_option("--id", rollout_.id, "the same id again is the same rollout");
  start->add_flag("--follow", rollout_.follow, "until it is over or paused");
  add_rollout_control(rollout);
}

// The options for the step, and for how many instances it may affect at a time.
void CommandLine::add_rollout_limits(CLI::App& command) {
  fleet::RolloutPlan& plan = rollout_.plan;
  command.add_option("--kind", rollout_.kind)->check(CLI::IsMember({"drain", "resume", "restart", "change"}));
  command.add_option("--fallback", rollout_.fallback, "what a half-done step becomes when its claim ends")
      ->check(CLI::IsMember({"serve_again", "finish"}));
  command.add_option("--version-to", plan.version, "of the command, for a change");
  command.add_option("--version-from", plan.version_before, "to which a rollback goes");
  command.add_option("--at-once", plan.max_concurrent, "so many under way at a time")
      ->check(CLI::Range(1, max_instances));
  command.add_option("--batch", rollout_.batch, "so many between two gates; 0: no gate")
      ->check(CLI::Range(0, max_instances));
  command.add_option("--gate", rollout_.gate_s, "how long service is looked at")
      ->type_name("S")
      ->check(CLI::Range(0, max_rollout_wait_s));
  command.add_option("--margin", plan.margin, "how far the share done may fall")->check(CLI::Range(0.0, 1.0));
  command.add_option("--least", rollout_.min_serving, "that are to stay serving in a zone")
      ->type_name("ZONE=N");
}

// The options for timeouts, failures and the holder.
void CommandLine::add_rollout_times(CLI::App& command) {
  fleet::RolloutPlan& plan = rollout_.plan;
  command.add_option("--warm", rollout_.warm_s, "one that came back counts after this")
      ->type_name("S")
      ->check(CLI::Range(0, max_rollout_wait_s));
  command.add_option("--failures", plan.failures, "that are borne")->check(CLI::Range(0, max_instances));
  command.add_option("--lease", rollout_.lease_s, "of the claims")
      ->type_name("S")
      ->check(CLI::Range(1, max_rollout_wait_s));
  command.add_option("--within", drain_timeout_s_, "until what is open has ended")
      ->type_name("S")
      ->check(CLI::Range(0, max_rollout_wait_s));
  command.add_option("--up-within", start_timeout_s_, "until one serves again")
      ->type_name("S")
      ->check(CLI::Range(1, max_rollout_wait_s));
  command.add_flag("--revert", plan.reverts, "a change that fails goes back by itself");
  command.add_flag("--take-over", plan.take_over, "ends other operations' claims");
  command.add_option("--as", change_.holder, "who answers for it")->type_name("NAME");
}

void CommandLine::add_rollout_control(CLI::App& rollout) {
  add(rollout, "list", "those under way", [](AgentCommands& agents) { return agents.rollouts(false); });
  add(rollout, "history", "those that are over, too",
      [](AgentCommands& agents) { return agents.rollouts(true); });
  CLI::App* status = add(rollout, "status", "each instance's stage", [this](AgentCommands& agents) {
    return agents.status(rollout_.id, rollout_.follow);
  });
  status->add_option("id", rollout_.id)->required();
  status->add_flag("--follow", rollout_.follow, "until it is over or paused");
  for (const std::string name : {"pause", "resume", "abort", "back"}) {
    const std::string description = name == "back" ? "what was changed goes back" : "";
    CLI::App* control = add(rollout, name, description, [this, name](AgentCommands& agents) {
      return agents.control(rollout_.id, name);
    });
    control->add_option("id", rollout_.id)->required();
  }
}

void CommandLine::add_key_commands() {
  CLI::App& keys = *app_.add_subcommand("keys", "the certificates of agents and operators");
  keys.require_subcommand(1);
  keys.add_option("--folder", key_.folder, "of the authority")->type_name("FOLDER");
  CLI::App* init = add(keys, "init", "makes the authority of a site",
                       [this](Output& output) { return keys_init(key_, output); });
  init->add_option("site", key_.name)->required();
  CLI::App* issue = add(keys, "issue", "a key and a certificate; again renews it",
                        [this](Output& output) { return keys_issue(key_, output); });
  issue->add_option("name", key_.name, "an agent's as in its charter, or an operator's")->required();
  issue->add_option("--role", key_.role)
      ->required()
      ->check(CLI::IsMember({"read", "operate", "admin", "agent"}));
  issue->add_option("--days", key_.days)->check(CLI::Range(1, 3650));
  CLI::App* revoke = add(keys, "revoke", "the certificate in the folder",
                         [this](Output& output) { return keys_revoke(key_, output); });
  revoke->add_option("name", key_.name)->required();
  CLI::App* show = add(keys, "show", "one file, or all of the folder",
                       [this](Output& output) { return keys_show(key_, output); });
  show->add_option("file", key_.file);
}

void CommandLine::parse(int argc, const char* const* argv) { app_.parse(argc, argv); }

const CommandLine::Action* CommandLine::action() const {
  const auto named =
      std::ranges::find_if(commands_, [](const Command& command) { return command.parser->parsed(); });
  return named == commands_.end() ? nullptr : &named->action;
}

ChangeOptions CommandLine::change_options() const {
  ChangeOptions options = change_;
  options.lease = seconds(order_lease_s_);
  options.drain_timeout = seconds(drain_timeout_s_);
  options.start_timeout = seconds(start_timeout_s_);
  options.max_concurrent_restarts = static_cast<std::size_t>(max_concurrent_restarts_);
  return options;
}

// Throws UsageError where options are missing or invalid.
fleet::RolloutPlan CommandLine::rollout_plan() const {
  fleet::RolloutPlan plan = rollout_.plan;
  plan.id = rollout_.id;
  plan.who = change_.holder;
  plan.kind = step_kind_in(rollout_.kind);
  plan.fallback = rollout_.fallback == "finish" ? fleet::Fallback::finish : fleet::Fallback::serve_again;
  plan.batch = rollout_.batch;
  plan.warm = seconds(rollout_.warm_s);
  plan.gate = seconds(rollout_.gate_s);
  plan.lease_duration = seconds(rollout_.lease_s);
  plan.drain_within = seconds(drain_timeout_s_);
  plan.up_within = seconds(start_timeout_s_);
  if (plan.kind == fleet::StepKind::change && (plan.version < 1 || plan.version_before < 1))
    throw UsageError("--kind change requires --version-to and --version-from, each at least 1");
  for (const std::string& text : rollout_.min_serving) {
    const std::size_t equal = text.find('=');
    if (equal == std::string::npos) throw UsageError("--least expects ZONE=N, got '" + text + "'");
    plan.min_serving[text.substr(0, equal)] =
        static_cast<int>(ini::whole("--least", text.substr(equal + 1), 0, max_instances));
  }
  return plan;
}

std::string CommandLine::completion_script() const {
  return "_pearchutectl() {\n  local path=\"\" word words=\"\" i\n"
         "  for ((i = 1; i < COMP_CWORD; i++)); do\n    word=\"${COMP_WORDS[i]}\"\n"
         "    case \"$word\" in -*) ;; *) [[ \"${COMP_WORDS[i-1]}\" == -* ]] || path=\"${path:+$path "
         "}$word\" ;; esac\n"
         "  done\n  case \"$path\" in\n" +
         completion_cases(app_, "") +
         "  esac\n  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
         "complete -F _pearchutectl pearchutectl\n";
}

}  // namespace pearchute::ctl

// The operators' command line: arguments, the choice of instances, and the exit status.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "ctl/agents.h"
#include "ctl/commands.h"
#include "ctl/keys.h"
#include "ini/reader.h"
#include "net/log.h"

using namespace pearchute;
using namespace pearchute::ctl;

namespace {

// For bash: the names of commands and options at each place, as the parser knows them.
std::string completion(const CLI::App& app) {
  std::string cases;
  const std::function<void(const CLI::App&, const std::string&)> add = [&](const CLI::App& at,
                                                                           const std::string& path) {
    std::string words;
    for (const CLI::App* sub : at.get_subcommands({})) words += sub->get_name() + " ";
    for (const CLI::Option* option : at.get_options()) {
      for (const std::string& name : option->get_lnames()) words += "--" + name + " ";
    }
    cases += "    \"" + path + "\") words=\"" + words + "\" ;;\n";
    for (const CLI::App* sub : at.get_subcommands({}))
      add(*sub, path.empty() ? sub->get_name() : path + " " + sub->get_name());
  };
  add(app, "");
  return "_pearchutectl() {\n  local path=\"\" word words=\"\" i\n"
         "  for ((i = 1; i < COMP_CWORD; i++)); do\n    word=\"${COMP_WORDS[i]}\"\n"
         "    case \"$word\" in -*) ;; *) [[ \"${COMP_WORDS[i-1]}\" == -* ]] || path=\"${path:+$path "
         "}$word\" ;; esac\n"
         "  done\n  case \"$path\" in\n" +
         cases +
         "  esac\n  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
         "complete -F _pearchutectl pearchutectl\n";
}

int run(int argc, char** argv) {
  CLI::App app("pearchutectl: sees and governs many managers at once");
  app.require_subcommand(1);
  app.fallthrough();  // what holds for all commands may stand behind them
  app.set_version_flag("--version", "pearchutectl " PEARCHUTE_VERSION);
  const char* told = std::getenv("PEARCHUTE_FLEET");
  std::string file = told ? told : "/etc/pearchute/fleet.ini", on, form = "table";
  int timeout = 0, parallel = 0;
  app.add_option("--fleet", file, "the list of instances, INI (or PEARCHUTE_FLEET names it)")
      ->type_name("FILE");
  app.add_option("--on", on, "which instances, e.g. 'zone = hall-a and not name ~ n3*'")
      ->type_name("SELECTOR");
  app.add_option("--output", form, "table or json")->check(CLI::IsMember({"table", "json"}));
  app.add_option("--timeout", timeout, "how long one may take to answer")
      ->type_name("MS")
      ->check(CLI::Range(10, 60000));
  app.add_option("--parallel", parallel, "how many are asked at once")->check(CLI::Range(1, 500));

  ChangeOptions options;
  const char* user = std::getenv("USER");
  options.holder = user && *user ? user : "operator";
  int lease = 3600, within = 30, up_within = 30, at_once = 1, most = 50, rounds = 0, every = 2000,
      watched = 0;
  std::vector<std::string> engines;
  std::string level;
  const auto changes = [&](CLI::App* command) {
    command->add_flag("--dry-run", options.dry_run, "says what would be done, and does nothing");
    command->add_flag("--yes", options.yes, "without asking, though over half of a zone would stop");
    command->add_option("--as", options.holder, "who answers for the order")->type_name("NAME");
    return command;
  };
  const auto drains = [&](CLI::App* command) {
    command->add_option("--lease", lease, "how long the order holds")
        ->type_name("S")
        ->check(CLI::Range(1, 604800));
    command->add_option("--reason", options.reason, "what others are told");
    return changes(command);
  };
  const auto restores = [&](CLI::App* command) {
    command->add_flag("--everyone", options.everyone, "ends the older orders of other holders, too");
    return changes(command);
  };
  CLI::App* status = app.add_subcommand("status", "each manager's state");
  CLI::App* engine_table = app.add_subcommand("engines", "what each manager believes of its engines");
  CLI::App* jobs = app.add_subcommand("jobs", "the oldest open jobs");
  jobs->add_option("--most", most, "of each manager")->check(CLI::Range(1, 200));
  CLI::App* top = app.add_subcommand("top", "status again and again, with rates");
  top->add_option("--every", every)->type_name("MS")->check(CLI::Range(100, 60000));
  top->add_option("--rounds", rounds, "0: until interrupted");
  CLI::App* watch = app.add_subcommand("watch", "events as they happen");
  watch->add_option("--for", watched, "0: until interrupted")->type_name("MS");
  CLI::App* orders = app.add_subcommand("orders", "the open orders of operators");
  CLI::App* drain = drains(app.add_subcommand("drain", "managers take no new calls; what is open ends"));
  drain->add_option("--within", within, "how long to wait until nothing is open")->type_name("S");
  CLI::App* resume = restores(app.add_subcommand("resume", "drained managers take calls again"));
  CLI::App* restart = changes(app.add_subcommand("restart", "drain, end, start again, one after the other"));
  restart->add_option("--within", within, "how long to wait until nothing is open")->type_name("S");
  restart->add_option("--up-within", up_within, "how long one may take to serve again")->type_name("S");
  restart->add_option("--at-once", at_once, "so many at a time")->check(CLI::Range(1, 100));
  CLI::App* engine = app.add_subcommand("engine", "engines, at all chosen managers");
  engine->require_subcommand(1);
  CLI::App* engine_drain = drains(engine->add_subcommand("drain", "nothing new goes to these engines"));
  engine_drain->add_option("names", engines, "names, or @ADDRESS: whatever engine is there")->required();
  CLI::App* engine_restore = restores(engine->add_subcommand("restore", "back to the channel's word"));
  engine_restore->add_option("names", engines, "names or @ADDRESS")->required();
  CLI::App* engine_list = engine->add_subcommand("list", "how each engine stands, over all managers");
  CLI::App* log_level = app.add_subcommand("log-level", "of the managers' logs, until their next start");
  log_level->add_option("level", level)->required();
  CLI::App* check = app.add_subcommand("check", "the fleet file, and who answers under which name");
  CLI::App* agents = app.add_subcommand("agents", "what each agent sees of its instances");
  CLI::App* claims = app.add_subcommand("claims", "who works on which instance, since when, for how long");
  CLI::App* rollout = app.add_subcommand("rollout", "steps over many instances, within limits");
  rollout->require_subcommand(1);
  fleet::RolloutPlan plan;
  std::string kind = "restart", fallback = "serve_again", coordinator, id;
  std::vector<std::string> least;
  int batch = 0, warm = 5, gate = 10, roll_lease = 30;
  bool follow = false;
  const auto planned = [&](CLI::App* command) {
    command->add_option("--kind", kind)->check(CLI::IsMember({"drain", "resume", "restart", "change"}));
    command->add_option("--fallback", fallback, "what a half-done step becomes when its claim ends")
        ->check(CLI::IsMember({"serve_again", "finish"}));
    command->add_option("--version-to", plan.version, "of the command, for a change");
    command->add_option("--version-from", plan.version_before, "to which a rollback goes");
    command->add_option("--at-once", plan.max_concurrent, "so many under way at a time")
        ->check(CLI::Range(1, 5000));
    command->add_option("--batch", batch, "so many between two gates; 0: no gate")
        ->check(CLI::Range(0, 5000));
    command->add_option("--gate", gate, "how long service is looked at")
        ->type_name("S")
        ->check(CLI::Range(0, 3600));
    command->add_option("--margin", plan.margin, "how far the share done may fall")
        ->check(CLI::Range(0.0, 1.0));
    command->add_option("--least", least, "that are to stay serving in a zone")->type_name("ZONE=N");
    command->add_option("--warm", warm, "one that came back counts after this")
        ->type_name("S")
        ->check(CLI::Range(0, 3600));
    command->add_option("--failures", plan.failures, "that are borne")->check(CLI::Range(0, 5000));
    command->add_option("--lease", roll_lease, "of the claims")->type_name("S")->check(CLI::Range(1, 3600));
    command->add_option("--within", within, "until what is open has ended")
        ->type_name("S")
        ->check(CLI::Range(0, 3600));
    command->add_option("--up-within", up_within, "until one serves again")
        ->type_name("S")
        ->check(CLI::Range(1, 3600));
    command->add_flag("--revert", plan.reverts, "a change that fails goes back by itself");
    command->add_flag("--take-over", plan.take_over, "ends other operations' claims");
    command->add_option("--as", options.holder, "who answers for it")->type_name("NAME");
    return command;
  };
  planned(rollout->add_subcommand("plan", "says what would be done"));
  CLI::App* roll_start = planned(rollout->add_subcommand("start", "begins it"));
  roll_start->add_option("--coordinator", coordinator, "the agent that is asked; else the first")
      ->type_name("AGENT");
  roll_start->add_option("--id", id, "the same id again is the same rollout");
  roll_start->add_flag("--follow", follow, "until it is over or paused");
  CLI::App* roll_list = rollout->add_subcommand("list", "those under way");
  CLI::App* roll_history = rollout->add_subcommand("history", "those that are over, too");
  CLI::App* roll_status = rollout->add_subcommand("status", "each instance's stage");
  roll_status->add_option("id", id)->required();
  roll_status->add_flag("--follow", follow, "until it is over or paused");
  std::map<std::string, CLI::App*> words;
  for (const char* word : {"pause", "resume", "abort", "back"}) {
    words[word] =
        rollout->add_subcommand(word, std::string(word) == "back" ? "what was changed goes back" : "");
    words[word]->add_option("id", id)->required();
  }
  CLI::App* key_commands = app.add_subcommand("keys", "the certificates of agents and operators");
  key_commands->require_subcommand(1);
  KeyAsk key;
  key_commands->add_option("--folder", key.folder, "of the authority")->type_name("FOLDER");
  CLI::App* key_init = key_commands->add_subcommand("init", "makes the authority of a site");
  key_init->add_option("site", key.name)->required();
  CLI::App* key_issue = key_commands->add_subcommand("issue", "a key and a certificate; again renews it");
  key_issue->add_option("name", key.name, "an agent's as in its charter, or an operator's")->required();
  key_issue->add_option("--role", key.role)
      ->required()
      ->check(CLI::IsMember({"read", "operate", "admin", "agent"}));
  key_issue->add_option("--days", key.days)->check(CLI::Range(1, 3650));
  CLI::App* key_revoke = key_commands->add_subcommand("revoke", "the certificate in the folder");
  key_revoke->add_option("name", key.name)->required();
  CLI::App* key_show = key_commands->add_subcommand("show", "one file, or all of the folder");
  key_show->add_option("file", key.file);
  CLI::App* completions = app.add_subcommand("completion", "a completion script for bash");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : fleet::usage;
  }
  if (completions->parsed()) {
    std::cout << completion(app);
    return 0;
  }
  options.lease = std::chrono::seconds(lease), options.within = std::chrono::seconds(within);
  options.up_within = std::chrono::seconds(up_within), options.at_once = static_cast<std::size_t>(at_once);

  Output output(form == "json");
  if (key_init->parsed()) return keys_init(key, output);
  if (key_issue->parsed()) return keys_issue(key, output);
  if (key_revoke->parsed()) return keys_revoke(key, output);
  if (key_show->parsed()) return keys_show(key, output);

  Fleet known;
  std::vector<const Instance*> chosen;
  try {
    known = read_fleet(file);
    const Selector selector = selector_in(on);
    for (const Instance& one : known.instances) {
      if (selector(one.facts)) chosen.push_back(&one);
    }
  } catch (const SelectorError& fault) {
    std::cerr << "  " << on << "\n  " << std::string(fault.column - 1, ' ') << "^\n";
    throw;
  }
  if (chosen.empty())
    throw UsageError("no instance is chosen", file, "see what --on picks: pearchutectl status");
  if (timeout > 0) known.answers_within = std::chrono::milliseconds(timeout);
  if (parallel > 0) known.at_once = static_cast<std::size_t>(parallel);
  if (agents->parsed() || claims->parsed() || rollout->parsed()) {
    if (known.agents.empty())
      throw SettingsError("names no [agent NAME]", file, "add one for each agent: docs/operating.md");
    AgentCommands of_agents(known, chosen, output);
    if (agents->parsed()) return of_agents.agents();
    if (claims->parsed()) return of_agents.claims();
    if (roll_list->parsed() || roll_history->parsed()) return of_agents.rollouts(roll_history->parsed());
    if (roll_status->parsed()) return of_agents.status(id, follow);
    for (const auto& [word, command] : words) {
      if (command->parsed()) return of_agents.say(id, word);
    }
    plan.id = id, plan.who = options.holder;
    plan.kind = kind == "drain"    ? fleet::StepKind::drain
                : kind == "resume" ? fleet::StepKind::resume
                : kind == "change" ? fleet::StepKind::change
                                   : fleet::StepKind::restart;
    plan.fallback = fallback == "finish" ? fleet::Fallback::finish : fleet::Fallback::serve_again;
    plan.batch = batch, plan.warm = std::chrono::seconds(warm), plan.gate = std::chrono::seconds(gate);
    plan.lease_duration = std::chrono::seconds(roll_lease);
    plan.drain_within = std::chrono::seconds(within), plan.up_within = std::chrono::seconds(up_within);
    if (plan.kind == fleet::StepKind::change && (plan.version < 1 || plan.version_before < 1))
      throw UsageError("a change needs --version-to and --version-from");
    for (const std::string& one : least) {
      const std::size_t equal = one.find('=');
      if (equal == std::string::npos) throw UsageError("--least is ZONE=N, not " + one);
      plan.min_serving[one.substr(0, equal)] =
          static_cast<int>(ini::whole("--least", one.substr(equal + 1), 0, 5000));
    }
    return of_agents.rollout(plan, coordinator, roll_start->parsed(), follow);
  }
  Commands commands(known, chosen, output);
  if (status->parsed()) return commands.status();
  if (engine_table->parsed()) return commands.engines();
  if (jobs->parsed()) return commands.jobs(static_cast<std::uint32_t>(most));
  if (top->parsed()) return commands.top(std::chrono::milliseconds(every), rounds);
  if (watch->parsed()) return commands.watch(std::chrono::milliseconds(watched));
  if (orders->parsed()) return commands.orders();
  if (drain->parsed()) return commands.drain(options);
  if (resume->parsed()) return commands.resume(options);
  if (restart->parsed()) return commands.restart(options);
  if (engine_drain->parsed()) return commands.engine_orders(engines, true, options);
  if (engine_restore->parsed()) return commands.engine_orders(engines, false, options);
  if (engine_list->parsed()) return commands.engine_list();
  if (log_level->parsed()) return commands.log_level(level);
  if (check->parsed()) return commands.check();
  return fleet::usage;
}

}  // namespace

int main(int argc, char** argv) {
  net::start_log("pearchutectl");
  spdlog::set_level(spdlog::level::off);  // what there is to say comes with the results
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    print_error(std::cerr, "pearchutectl", error);
    // What was asked can't be done as it stands in the words or the files: nothing was tried.
    const auto* fault = dynamic_cast<const Error*>(&error);
    constexpr ErrorKind of_the_asker[] = {ErrorKind::usage, ErrorKind::settings, ErrorKind::selector};
    return fault && std::ranges::find(of_the_asker, fault->kind()) != std::end(of_the_asker) ? fleet::usage
                                                                                             : 1;
  }
}

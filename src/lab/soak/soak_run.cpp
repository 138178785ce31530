#include "lab/soak/soak_run.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>

#include "core/rule_guard.h"
#include "lab/soak/idle_connections.h"
#include "lab/stand_ins/log_tail.h"

namespace pearchute::lab {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The system calls that pearchuted makes. The other kinds are calls that only the agent makes.
constexpr std::array manager_call_kinds = {
    FaultKind::receive_interrupted, FaultKind::receive_short, FaultKind::receive_broken,
    FaultKind::send_interrupted,    FaultKind::send_short,    FaultKind::accept_fails,
    FaultKind::accept_odd,          FaultKind::socket_fails,  FaultKind::connect_fails,
    FaultKind::connect_interrupted, FaultKind::watch_fails,   FaultKind::wait_interrupted,
    FaultKind::open_fails};

constexpr milliseconds startup_timeout(10'000), shutdown_timeout(8'000);

// Every third seed has short request timeouts, with which the platform's kill follows soon after SIGTERM.
constexpr milliseconds long_timeout(4000), short_timeout(1500);
constexpr std::uint64_t short_timeout_seed_interval = 3, idle_connections_seed_interval = 4;

milliseconds max_request_timeout(const SoakSpec& spec) {
  return spec.has_disruptions && spec.seed % short_timeout_seed_interval == 0 ? short_timeout : long_timeout;
}

// The earliest time after SIGTERM at which the platform may kill a manager: 0.7 s after the longest request
// timeout, which counts at most 3 s.
milliseconds kill_delay(const SoakSpec& spec) {
  constexpr milliseconds max_counted_timeout(3000), margin(700);
  return std::min(max_request_timeout(spec), max_counted_timeout) + margin;
}

constexpr std::uint64_t request_pairs_per_stall = 4;

// More than the places for clients of a manager with 512 descriptors.
constexpr std::size_t idle_connection_count = 260;

std::vector<Ask> request_mix(const SoakSpec& spec) {
  std::vector<Ask> mix = {{"quick", "SELECT work=4 FROM a_1.t", milliseconds(1500), 0, 4, 8},
                          {"quick", "SELECT work=12 FROM a_2.t", milliseconds(2000), 0, 12, 16},
                          {"report", "SELECT work=60 pages=2 FROM a_3.t", milliseconds(3500), 0, 60, 64},
                          {"report", "SELECT work=900 FROM a_6.t", milliseconds(3800), 0, 900, 64},
                          {"once", "UPDATE work=8 a_4.t", milliseconds(2000), 0, 8, 8},
                          {"local", "SELECT work=8 FROM a_7.t", milliseconds(2000), 0, 8, 8},
                          {"load", "INSERT work=10 INTO a_5.t", milliseconds(2500), 7, 10, 16},
                          {"load", "INSERT work=10 INTO a_5.t", milliseconds(2500), 8, 10, 16},
                          {"load", "INSERT work=120 INTO a_5.t", milliseconds(2500), 8, 120, 16}};
  for (Ask& request : mix)
    request.patience = request.patience * max_request_timeout(spec).count() / long_timeout.count();
  return mix;
}

ClusterSpec cluster_spec(const SoakSpec& spec) {
  ClusterSpec cluster;
  cluster.managers = spec.managers, cluster.engines = spec.engines, cluster.seed = spec.seed;
  cluster.pearchuted = spec.programs + "/pearchuted";
  cluster.relayed = true;
  cluster.starts_managers = false;
  cluster.slowest = max_request_timeout(spec);
  cluster.order_rest = milliseconds(300);
  cluster.ration = RationTerms{milliseconds(3000), 10, 0.2};
  cluster.cold = {milliseconds(3000), milliseconds(1000), 0.4, 2.5};
  return cluster;
}

class SoakRun {
 public:
  explicit SoakRun(const SoakSpec& spec);
  SoakResult run();

 private:
  enum class ManagerPhase { down, starting, serving, stalled, ending };
  struct ManagerState {
    ManagerPhase phase = ManagerPhase::down;
    Time since{};
    std::size_t channel = 0;        // index of the command channel's relay that it uses
    std::optional<Time> kill_at{};  // only of one that is ending
  };
  struct ActiveDisruption {
    Disruption disruption;
    std::size_t target = 0;
    FaultKind call{};  // only of calls_fail
  };

  void start(std::size_t manager);
  void supervise_managers();
  void terminate(std::size_t manager, std::uint64_t draw);
  void open_idle_connections();
  void remark(const std::string& what);
  std::string last_log_lines(std::size_t manager) const;
  std::optional<std::size_t> pick_serving_manager(std::uint64_t draw) const;
  void reload(std::size_t manager);
  bool begin(ActiveDisruption& active);
  void end(const ActiveDisruption& active);
  void drain(std::size_t engine, bool drains);
  void set_engine_faults(std::size_t engine, Faults faults);
  void play_disruptions(const std::vector<Disruption>& disruptions);
  void restart_one_by_one();
  void stop_all();
  void read_logs();
  void keep_logs();
  bool wait_for(ManagerPhase phase, std::size_t manager, milliseconds timeout);

  const SoakSpec spec_;
  std::vector<std::unique_ptr<FaultInjection>> faults_;
  std::unique_ptr<TestCluster> cluster_;
  std::vector<ManagerState> managers_;
  Time channel_disrupted_until_{};
  std::unique_ptr<IdleConnections> temporary_idle_connections_;
  std::vector<std::unique_ptr<IdleConnections>> permanent_idle_connections_;  // until the run ends
  std::set<std::size_t> draining_;                                            // indices of engines
  std::uint64_t next_pair_key_ = 1'000'000;  // larger than the keys of the request mix
  SoakResult result_;
};

SoakRun::SoakRun(const SoakSpec& spec) : spec_(spec), managers_(static_cast<std::size_t>(spec.managers)) {
  ClusterSpec cluster = cluster_spec(spec);
  cluster.environment = [this](std::size_t manager) { return faults_[manager]->environment(); };
  cluster_ = std::make_unique<TestCluster>(cluster);
  for (std::size_t i = 0; i < managers_.size(); ++i) {
    faults_.push_back(std::make_unique<FaultInjection>(spec.programs + "/libpearchute-faults.so",
                                                       cluster_->folder() + "/faults" + std::to_string(i),
                                                       "pearchuted", spec.seed * 1000 + i));
    if (spec.failing_calls)
      for (const FaultKind kind : spec.failing_calls->kinds) faults_[i]->set(kind, spec.failing_calls->share);
  }
}

void SoakRun::remark(const std::string& what) {
  constexpr std::size_t max_remarks = 20;
  if (result_.remarks.size() < max_remarks) result_.remarks.push_back(what);
}

// The last three lines of a manager's log, without the lines of counters.
std::string SoakRun::last_log_lines(std::size_t manager) const {
  constexpr std::size_t max_lines = 3;
  const std::vector<std::string> lines =
      last_lines(cluster_->managers()[manager].log, max_lines, "counters {");
  return std::accumulate(lines.begin(), lines.end(), std::string(),
                         [](const std::string& text, const std::string& line) { return text + line + "; "; });
}

void SoakRun::start(std::size_t manager) {
  cluster_->on([&] { cluster_->crowd().manager_starts(static_cast<int>(manager)); });
  cluster_->start(manager);
  managers_[manager].phase = ManagerPhase::starting, managers_[manager].since = steady_now();
}

// Starts each manager again that has exited, kills those that exit too late, and notes when a started one
// serves.
void SoakRun::supervise_managers() {
  for (std::size_t i = 0; i < managers_.size(); ++i) {
    ManagerState& state = managers_[i];
    const std::string name = cluster_->managers()[i].name;
    if (state.phase == ManagerPhase::starting) {
      const bool is_serving = cluster_->on([&] { return cluster_->crowd().up(static_cast<int>(i)); });
      if (is_serving) {
        cluster_->on([&] { cluster_->record().manager_lives(static_cast<int>(i)); });
        state.phase = ManagerPhase::serving;
        continue;
      }
      const bool has_ended = cluster_->ended(i) != -1;
      if (!has_ended && steady_now() - state.since < startup_timeout) continue;
      ++result_.failed_starts;
      remark(name + (has_ended ? " exited during startup: " : " does not serve in time: ") +
             last_log_lines(i));
      if (!has_ended) state.since = steady_now();
      else start(i);
    } else if (state.phase == ManagerPhase::ending) {
      int status = cluster_->ended(i);
      if (status == -1 && steady_now() < *state.kill_at) continue;
      // Requests that it has not answered by then count as lost.
      const bool is_killed = status == -1;
      if (is_killed) {
        cluster_->signal(i, SIGKILL);
        while ((status = cluster_->ended(i)) == -1) cluster_->rest(milliseconds(1));
      }
      result_.killed_during_shutdown += is_killed;
      if (!is_killed && status != 0)
        ++result_.failed_exits, remark(name + " exited with status " + std::to_string(status));
      cluster_->on([&] { cluster_->crowd().use_open_lines(static_cast<int>(i), false); });
      start(i);
    } else if (state.phase == ManagerPhase::serving && cluster_->ended(i) != -1) {
      ++result_.failed_exits, remark(name + " has crashed: " + last_log_lines(i));
      start(i);
    }
  }
}

// Ends a manager as the platform does. Clients keep using connections that are open, until the kill. Further
// signals arrive meanwhile, and with one draw in four the process is stopped for 150 ms.
void SoakRun::terminate(std::size_t manager, std::uint64_t draw) {
  ManagerState& state = managers_[manager];
  state.phase = ManagerPhase::ending, state.since = steady_now();
  state.kill_at = state.since + Time(kill_delay(spec_));
  cluster_->on([&] { cluster_->crowd().use_open_lines(static_cast<int>(manager), true); });
  cluster_->signal(manager, SIGTERM);
  ++result_.restarts;
  constexpr std::array further_signals = {SIGHUP, SIGTERM, SIGUSR1};
  for (const int signal : further_signals) {
    cluster_->rest(milliseconds(10));
    cluster_->signal(manager, signal);
  }
  if (draw / 8 % 4 != 0) return;
  cluster_->signal(manager, SIGSTOP);
  cluster_->rest(milliseconds(150));
  cluster_->signal(manager, SIGCONT);
}

// Returns nothing while fewer than two thirds of the managers serve.
std::optional<std::size_t> SoakRun::pick_serving_manager(std::uint64_t draw) const {
  const auto serving = std::ranges::count(managers_, ManagerPhase::serving, &ManagerState::phase);
  if (3 * serving < 2 * static_cast<std::ptrdiff_t>(managers_.size())) return std::nullopt;
  for (std::size_t i = 0; i < managers_.size(); ++i) {
    const std::size_t candidate = (draw + i) % managers_.size();
    if (managers_[candidate].phase == ManagerPhase::serving) return candidate;
  }
  return std::nullopt;
}

// Changes the command channel's address three times, 30 ms apart, so that a new configuration arrives while
// the previous one is being applied.
void SoakRun::reload(std::size_t manager) {
  ManagerState& state = managers_[manager];
  const auto move_to = [&](std::size_t which) {
    state.channel = which;
    const std::string address = cluster_->on([&] { return cluster_->channel_relay(which).address(); });
    cluster_->move_channel(manager, address);
    cluster_->signal(manager, SIGHUP);
  };
  move_to(1 - state.channel);
  cluster_->rest(milliseconds(30));
  move_to(1 - state.channel);
  cluster_->rest(milliseconds(30));
  move_to(1 - state.channel);
}

void SoakRun::drain(std::size_t engine, bool drains) {
  cluster_->on([&] {
    const std::string name = cluster_->engines()[engine]->name();
    // While the command channel is disrupted, managers may learn of the change up to four seconds later.
    const Time known_at =
        steady_now() + (steady_now() < channel_disrupted_until_ ? Time(seconds(4)) : Time(0));
    for (std::size_t i = 0; i < managers_.size(); ++i) {
      const int manager = static_cast<int>(i);
      if (!drains) cluster_->record().drain_over(name, manager);
      else if (managers_[i].phase == ManagerPhase::serving)
        cluster_->record().drain_came(name, manager, known_at);
    }
    if (drains) draining_.insert(engine);
    else draining_.erase(engine);
    cluster_->channel().tell({cluster_->member(engine, drains ? "leaving" : "active")}, false);
  });
}

// Whatever its other faults, an engine answers half of the cancellations as if it had not read them yet.
void SoakRun::set_engine_faults(std::size_t engine, Faults faults) {
  constexpr double crossing_share = 0.5;
  faults.crossing = crossing_share;
  cluster_->on([&] { cluster_->engines()[engine]->set(faults); });
}

// Idle connections occupy the places for clients of two managers until the run ends.
void SoakRun::open_idle_connections() {
  constexpr std::size_t managers_with_idle_connections = 2;
  for (std::size_t i = 0; i < std::min(managers_with_idle_connections, managers_.size()); ++i)
    permanent_idle_connections_.push_back(
        std::make_unique<IdleConnections>(cluster_->managers()[i].listen, idle_connection_count));
}

// Returns false if the disruption can't start now, because too few managers serve.
bool SoakRun::begin(ActiveDisruption& active) {
  const std::uint64_t draw = active.disruption.draw;
  const auto engine = static_cast<std::size_t>(draw) % static_cast<std::size_t>(spec_.engines);
  active.target = engine;
  const auto manager = pick_serving_manager(draw);
  const auto set_phase = [&](ManagerPhase phase) {
    managers_[*manager].phase = phase, managers_[*manager].since = steady_now();
    active.target = *manager;
  };
  switch (active.disruption.kind) {
    case DisruptionKind::manager_restarts:
      if (!manager) return false;
      active.target = *manager;
      terminate(*manager, draw);
      return true;
    case DisruptionKind::manager_killed:
      if (!manager) return false;
      cluster_->on([&] {
        cluster_->signal(*manager, SIGKILL);
        cluster_->record().manager_died(static_cast<int>(*manager));
      });
      while (cluster_->ended(*manager) == -1) cluster_->rest(milliseconds(1));
      ++result_.kills;
      start(*manager);
      return true;
    case DisruptionKind::manager_stalls:
      if (!manager) return false;
      set_phase(ManagerPhase::stalled);
      cluster_->signal(*manager, SIGSTOP);
      // The pairs of requests that arrive while it is stopped are then read together.
      cluster_->on([&] {
        for (std::uint64_t i = 0; i < request_pairs_per_stall; ++i) {
          Ask request{
              "load", "INSERT work=10 INTO a_5.t", max_request_timeout(spec_) / 2, next_pair_key_++, 10, 16};
          cluster_->crowd().ask_pair(static_cast<int>(*manager), request);
        }
      });
      return true;
    case DisruptionKind::manager_reloads:
      if (!manager) return false;
      channel_disrupted_until_ = std::max(channel_disrupted_until_, steady_now() + Time(seconds(1)));
      reload(*manager);
      return true;
    case DisruptionKind::clock_steps: {
      if (!manager) return false;
      active.target = *manager;
      constexpr std::array<std::chrono::seconds, 4> steps = {seconds(5), seconds(-5), seconds(3600),
                                                             seconds(-3600)};
      faults_[*manager]->step_wall_clock(steps[draw / 64 % steps.size()]);
      return true;
    }
    case DisruptionKind::calls_fail: {
      if (!manager) return false;
      active.target = *manager;
      constexpr std::array shares = {0.02, 0.08, 0.2};
      active.call = manager_call_kinds[draw / 64 % manager_call_kinds.size()];
      faults_[*manager]->set(active.call, shares[draw / 1024 % shares.size()]);
      return true;
    }
    case DisruptionKind::engine_drains:
      return drain(engine, true), true;
    case DisruptionKind::engine_dies:
      return cluster_->on([&] { cluster_->engines()[engine]->die(); }), true;
    case DisruptionKind::engine_hangs:
      return set_engine_faults(engine, {.hangs = true}), true;
    case DisruptionKind::engine_errs:
      return set_engine_faults(engine,
                               {.error = 0.2, .reset = 0.1, .hang = 0.05, .cut = 0.1, .turn_away = 0.1}),
             true;
    case DisruptionKind::engine_slow:
      return set_engine_faults(engine, {.slow = 4}), true;
    case DisruptionKind::engine_connects_late:
      // Only the bytes from the engine are held back. The relay must not delay an attempt, which would reach
      // the engine too late without a fault of the manager.
      cluster_->on([&] { cluster_->engine_relay(engine).set(Relay::back, {.held = true}); });
      return true;
    case DisruptionKind::engine_resets:
      return cluster_->on([&] { cluster_->engine_relay(engine).reset(); }), true;
    case DisruptionKind::channel_silent:
      cluster_->on([&] { cluster_->channel().fall_silent(true); });
      channel_disrupted_until_ = steady_now() + active.disruption.duration + Time(seconds(2));
      return true;
    case DisruptionKind::channel_breaks:
      cluster_->on([&] { cluster_->channel().cut_streams(); });
      channel_disrupted_until_ = std::max(channel_disrupted_until_, steady_now() + Time(seconds(1)));
      return true;
    case DisruptionKind::clients_leave:
      cluster_->on([&] { cluster_->crowd().withdraw_some(1 + draw % 20); });
      return true;
    case DisruptionKind::clients_idle:
      if (!manager) return false;
      temporary_idle_connections_ =
          std::make_unique<IdleConnections>(cluster_->managers()[*manager].listen, idle_connection_count);
      return true;
    case DisruptionKind::count:
      break;
  }
  return false;
}

void SoakRun::end(const ActiveDisruption& active) {
  switch (active.disruption.kind) {
    case DisruptionKind::manager_stalls:
      cluster_->signal(active.target, SIGCONT);
      managers_[active.target].phase = ManagerPhase::serving;
      break;
    case DisruptionKind::clock_steps:
      faults_[active.target]->step_wall_clock({});
      break;
    case DisruptionKind::calls_fail:
      faults_[active.target]->set(active.call, 0);
      break;
    case DisruptionKind::engine_drains:
      drain(active.target, false);
      break;
    case DisruptionKind::engine_dies:
      cluster_->on([&] {
        // Managers need to slow-start the engine only if the endpoint list announces its start to them.
        const bool is_announced =
            steady_now() >= channel_disrupted_until_ && !draining_.contains(active.target);
        if (is_announced) cluster_->start_anew(active.target);
        else cluster_->engines()[active.target]->live();
      });
      break;
    case DisruptionKind::engine_hangs:
    case DisruptionKind::engine_errs:
    case DisruptionKind::engine_slow:
      set_engine_faults(active.target, {});
      break;
    case DisruptionKind::engine_connects_late:
      cluster_->on([&] { cluster_->engine_relay(active.target).set(Relay::back, {}); });
      break;
    case DisruptionKind::channel_silent:
      cluster_->on([&] { cluster_->channel().fall_silent(false); });
      break;
    case DisruptionKind::clients_idle:
      temporary_idle_connections_.reset();
      break;
    default:
      break;
  }
}

// A manager is stopped for less than the half second by which answers may be late, since its open requests
// would be lost otherwise. A drain takes a second more, so that it is long enough to be judged.
milliseconds duration_of(const Disruption& disruption) {
  if (disruption.kind == DisruptionKind::manager_stalls)
    return std::clamp(disruption.duration, milliseconds(300), milliseconds(350));
  if (disruption.kind == DisruptionKind::engine_drains) return disruption.duration + seconds(1);
  return disruption.duration;
}

void SoakRun::play_disruptions(const std::vector<Disruption>& disruptions) {
  const Time start = steady_now();
  auto next = disruptions.begin();
  std::vector<ActiveDisruption> active;
  while (next != disruptions.end() || !active.empty()) {
    const Time now = steady_now() - start;
    for (; next != disruptions.end() && next->at <= now; ++next) {
      ActiveDisruption started{*next, 0, {}};
      // The end of a disruption would also end another of its kind, so one of a kind is active at a time.
      const bool is_kind_active = std::ranges::any_of(active, [&](const ActiveDisruption& other) {
        return other.disruption.kind == started.disruption.kind;
      });
      if (is_kind_active || !begin(started)) continue;
      ++result_.disruptions[static_cast<std::size_t>(started.disruption.kind)];
      started.disruption.at = std::chrono::duration_cast<milliseconds>(now);
      active.push_back(started);
    }
    std::erase_if(active, [&](const ActiveDisruption& candidate) {
      if (now < candidate.disruption.at + duration_of(candidate.disruption)) return false;
      end(candidate);
      return true;
    });
    supervise_managers();
    cluster_->rest(milliseconds(5));
  }
}

bool SoakRun::wait_for(ManagerPhase phase, std::size_t manager, milliseconds timeout) {
  const Time until = steady_now() + timeout;
  while (managers_[manager].phase != phase && steady_now() < until) {
    supervise_managers();
    cluster_->rest(milliseconds(5));
  }
  return managers_[manager].phase == phase;
}

// The run without disruptions: reloads and then restarts each manager, one after another.
void SoakRun::restart_one_by_one() {
  for (std::size_t i = 0; i < managers_.size(); ++i) {
    if (!wait_for(ManagerPhase::serving, i, startup_timeout)) continue;
    reload(i);
    cluster_->rest(spec_.lasts / static_cast<int>(2 * managers_.size()));
    terminate(i, 0);
    const Time until = steady_now() + spec_.lasts / static_cast<int>(2 * managers_.size());
    while (steady_now() < until) supervise_managers(), cluster_->rest(milliseconds(5));
  }
}

void SoakRun::stop_all() {
  for (std::size_t i = 0; i < managers_.size(); ++i) wait_for(ManagerPhase::serving, i, startup_timeout);
  cluster_->on([&] { cluster_->crowd().offer(0, {}); });
  cluster_->quiet();
  for (std::size_t i = 0; i < managers_.size(); ++i) cluster_->signal(i, SIGTERM);
  const Time until = steady_now() + shutdown_timeout;
  for (std::size_t i = 0; i < managers_.size(); ++i) {
    int status = -1;
    while ((status = cluster_->ended(i)) == -1 && steady_now() < until) cluster_->rest(milliseconds(5));
    if (status == 0) continue;
    ++result_.failed_exits;
    remark(cluster_->managers()[i].name + " exited with status " + std::to_string(status) +
           " at the end of the run");
  }
}

// Adds up the rule guards' counts of each process of a manager: those that it logs at its exit, or the last
// ones that it logged before it was killed.
void SoakRun::read_logs() {
  const std::string counters_mark = "counters {";
  for (const TestCluster::Manager& manager : cluster_->managers()) {
    std::ifstream log(manager.log);
    json last;  // counters of the current process
    const auto add_to_result = [&] {
      if (last.is_null()) return;
      for (const auto& [rule, count] : last["rules"]["broken"].items())
        result_.rules_broken[rule] += count.get<std::uint64_t>();
      for (const auto& [rule, count] : last["rules"]["held_back"].items())
        result_.rules_suppressed[rule] += count.get<std::uint64_t>();
      result_.failed_events += last["rules"]["failed_events"].get<std::uint64_t>();
      last = nullptr;
    };
    for (std::string line; std::getline(log, line);) {
      if (line.find("starting ->") != std::string::npos) add_to_result();
      const std::size_t at = line.find(counters_mark);
      if (at == std::string::npos) continue;
      json counters = json::parse(line.substr(at + counters_mark.size() - 1), nullptr, false);
      if (counters.is_discarded()) remark(manager.name + " logged counters that are no valid JSON");
      else last = std::move(counters);
    }
    add_to_result();
  }
}

void SoakRun::keep_logs() {
  if (spec_.logs.empty()) return;
  const std::filesystem::path folder =
      std::filesystem::path(spec_.logs) / ("seed" + std::to_string(spec_.seed));
  std::filesystem::create_directories(folder);
  for (const TestCluster::Manager& manager : cluster_->managers())
    std::filesystem::copy_file(manager.log, folder / (manager.name + ".log"),
                               std::filesystem::copy_options::overwrite_existing);
}

SoakResult SoakRun::run() {
  for (std::size_t i = 0; i < managers_.size(); ++i) start(i);
  for (std::size_t i = 0; i < managers_.size(); ++i) wait_for(ManagerPhase::serving, i, startup_timeout);
  for (std::size_t i = 0; i < static_cast<std::size_t>(spec_.engines); ++i) set_engine_faults(i, {});
  if (spec_.has_disruptions && spec_.seed % idle_connections_seed_interval == 0) open_idle_connections();
  cluster_->on([&] {
    constexpr double withdrawn_share = 0.05;
    cluster_->crowd().leave_early(spec_.has_disruptions ? withdrawn_share : 0);
    cluster_->crowd().offer(spec_.rate, request_mix(spec_));
  });
  if (spec_.has_disruptions) play_disruptions(schedule_disruptions(spec_.seed, spec_.lasts));
  else restart_one_by_one();
  stop_all();
  result_.verdict = cluster_->verdict();
  for (const auto& injection : faults_) {
    for (std::size_t kind = 0; kind < fault_kinds; ++kind)
      result_.calls_failed[kind] += injection->struck(static_cast<FaultKind>(kind));
    result_.clock_reads += injection->wall_clock_reads();
  }
  cluster_->on([&] {
    for (const auto& engine : cluster_->engines()) result_.crossing_answers += engine->crossed();
  });
  read_logs();
  if (!result_.is_sound()) keep_logs();
  return std::move(result_);
}

}  // namespace

bool SoakResult::is_sound() const {
  // An action that one of these rules suppresses can't follow from messages that crossed on the network: the
  // manager's decision was wrong.
  constexpr std::array never_suppressed = {Rule::order_by_key, Rule::key_rests, Rule::placement,
                                           Rule::repeat_group};
  const bool decides_well = std::ranges::none_of(never_suppressed, [this](Rule rule) {
    return rules_suppressed.contains(std::string(rule_names[static_cast<std::size_t>(rule)]));
  });
  return verdict.keeps_rules() && failed_starts == 0 && failed_exits == 0 && rules_broken.empty() &&
         failed_events == 0 && decides_well;
}

json SoakResult::as_json() const {
  json values = {{"sent", verdict.sent},
                 {"done", verdict.done},
                 {"refused", verdict.refused},
                 {"failed", verdict.failed},
                 {"withdrawn", verdict.withdrawn},
                 {"unreached", verdict.unreached},
                 {"excused", verdict.excused},
                 {"lost", verdict.lost},
                 {"answered_twice", verdict.doubled},
                 {"run_twice", verdict.twice_run + verdict.overlaps},
                 {"out_of_order", verdict.disorder},
                 {"sent_to_draining", verdict.late_over_500ms},
                 {"begun_after_leaving", verdict.after_leaving},
                 {"waits_too_long", verdict.waits_too_long},
                 {"begun_before_rest", verdict.unrested},
                 {"misplaced", verdict.misplaced},
                 {"over_ration", verdict.over_ration},
                 {"over_cold_budget", verdict.over_cold_budget},
                 {"put_to_the_test",
                  {{"rests", verdict.rests_seen},
                   {"further_attempts", verdict.further_seen},
                   {"cold_attempts", verdict.cold_seen},
                   {"words_across_give_ups", crossing_answers}}},
                 {"killed_at_the_end", killed_during_shutdown},
                 {"answered_late", verdict.late},
                 {"restarts", restarts},
                 {"kills", kills},
                 {"failed_starts", failed_starts},
                 {"bad_ends", failed_exits},
                 {"rules_broken", rules_broken},
                 {"rules_held_back", rules_suppressed},
                 {"failed_events", failed_events},
                 {"clock_reads", clock_reads}};
  for (std::size_t i = 0; i < disruption_kinds; ++i) values["troubles"][disruption_names[i]] = disruptions[i];
  for (std::size_t i = 0; i < fault_kinds; ++i) {
    if (calls_failed[i] > 0) values["calls_failed"][fault_kind_names[i]] = calls_failed[i];
  }
  return values;
}

SoakResult run_soak(const SoakSpec& spec) { return SoakRun(spec).run(); }

}  // namespace pearchute::lab

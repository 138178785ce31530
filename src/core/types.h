// What the module and its callers share: ids, spans, outcomes, and the service as it is defined at start.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace pearchute {

// All times are spans since the instance started; one that lies before the start is negative.
using Span = std::chrono::microseconds;

template <class Tag, class Number>
struct Id {
  Number value{};
  auto operator<=>(const Id&) const = default;
};

using JobId = Id<struct JobTag, std::uint64_t>;
using EngineId = Id<struct EngineTag, std::uint32_t>;
using OrderKey = Id<struct OrderKeyTag, std::uint64_t>;
using DataSetId = Id<struct DataSetTag, std::int64_t>;
// Positions in the lists of the ServiceDefinition; -1 where a name is not in its list.
using TypeId = Id<struct TypeTag, int>;
using CustomerId = Id<struct CustomerTag, int>;
using ZoneId = Id<struct ZoneTag, int>;
using KindId = Id<struct KindTag, int>;
using CellId = Id<struct CellTag, std::int64_t>;

enum class Outcome {
  done,         // answered, and the answer is with the client
  error,        // the engine said it failed; it may have run
  full,         // turned away unseen
  timed_out,    // no answer in time; it may have run or be running
  unreachable,  // no connection
  reset,        // the connection broke; it may have run
  stopped,      // called off; it may have run
  never_sent,   // did not leave: the job was over or the dispatches used up
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(Outcome::count)> outcome_names = {
    "done", "error", "full", "timed_out", "unreachable", "reset", "stopped", "never_sent"};

// Whether the engine surely never ran it.
constexpr bool proves_not_run(Outcome end) {
  return end == Outcome::full || end == Outcome::unreachable || end == Outcome::never_sent;
}

// Why a job gets its final answer without a result.
enum class GiveUpReason {
  costly,      // asks more of the engines than it earns, under overload
  hopeless,    // can't be done in its SLA time
  queue_full,  // too many wait already
  time_is_up,  // its job timeout, or nearly
  too_late,    // held, and can no longer make its SLA time
  spent,       // its attempts are used up, or a further one might run it twice
  not_taken,   // its attempt could not leave
  client_gone,
  crammed,        // near the most jobs that may be open, it made room
  ending,         // the manager ends
  order_unknown,  // whether it came before or after another one of its key can't be told
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(GiveUpReason::count)> give_up_names = {
    "costly",    "hopeless",    "queue_full", "time_is_up", "too_late",     "spent",
    "not_taken", "client_gone", "crammed",    "ending",     "order_unknown"};

enum class Effect { restartable, keyed, run_once };
enum class Reach { all, zone, cell };  // which engines drop a repeat of a keyed job
enum class EngineState { up, draining, gone };
enum class ListNews { changes, complete, remembered };
enum class Wait { memory, load };
enum class OutOfMemory { line_up, cut, overcommit };

struct ReservationType {
  Effect effect = Effect::restartable;
  Reach reach = Reach::all;
  Span repeat_window{};    // how long a keyed job's repeats are known
  Span sla_time{};         // answered within this, it earns the whole billed value
  double sla_stretch = 0;  // the SLA time grows by this multiple of the job's work over its threads
  Span job_timeout{};      // the client's whole patience
  double billed_value = 1;
  double late_share = 0;  // what an answer after the SLA time still earns
  int threads = 1;
  bool in_order = false;    // jobs with one key run one at a time, as taken
  bool holds_data = false;  // a load, which holds its data set while it runs
  bool waits_for_load = false;
  std::optional<std::vector<ZoneId>> zones = std::nullopt;  // where bound: nowhere else
  std::optional<std::vector<KindId>> kinds = std::nullopt;
};

struct Customer {
  double jobs_per_second = 0;  // within its share, over all managers
};

struct MachineKind {
  int cores = 1;
  double memory_mb = 0;
};

struct ServiceDefinition {
  std::vector<ReservationType> types;
  std::vector<Customer> customers;
  std::vector<MachineKind> kinds;
  ZoneId zone{-1};
  int own_number = 0;
  int managers = 1;
  bool list_on_request = false;
  Span ask_within{};
  Span round{};  // least time between two deliveries of events
  Span drain_grace{};
  Span cold_lasts{};
  double cold_from = 1;
  double tip_multiple = 0;  // 0: engines cannot be pushed over
  Span tip_window{};
  Span order_rest{};
  std::optional<Span> ration_window;
  double ration_few = 0;
  double ration_share = 0;
  int most_dispatches = 1;
  std::int64_t most_open = 0;  // jobs at once; 0: no limit told
  bool second_copies = false;
  bool may_stop = false;
  bool may_probe = false;
  bool reports_in_probes = false;
  bool takes_grants = false;
  bool takes_priority = false;
  bool takes_retry_advice = false;
  Span longest_retry_advice{};
  double grant_cap = 1;  // most of an engine's memory that one job gets
  OutOfMemory out_of_memory = OutOfMemory::line_up;
  Span tells_every{};  // 0: nothing tells how far a dispatch is
  double over_share_value = 1;
  double crossing_price = 0;
  double probe_price = 0;
};

struct ListedEngine {
  EngineId id;
  EngineState state = EngineState::up;
  ZoneId zone{-1};
  KindId kind{-1};
  CellId cell{};
  std::optional<Span> online_since;
};

struct Job {
  JobId id;
  TypeId type;
  CustomerId customer{-1};
  std::optional<OrderKey> key;
  bool order_is_known = true;  // among the jobs of its key
  Span time_left{};
  std::optional<double> work_ms;    // estimated, as time on one thread
  std::optional<double> memory_mb;  // estimated
  DataSetId data_set;
};

// What an engine tells of its load, as far as it does.
struct LoadReport {
  std::optional<double> outstanding;
  std::optional<double> backlog;
  std::optional<double> memory_share;
  std::optional<double> disk_share;
};

}  // namespace pearchute

template <class Tag, class Number>
struct std::hash<pearchute::Id<Tag, Number>> {
  std::size_t operator()(const pearchute::Id<Tag, Number>& id) const { return std::hash<Number>{}(id.value); }
};

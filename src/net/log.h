// Log lines and counters. Lines go to standard error through spdlog and never hold up the program: what the
// reader does not take is dropped and counted, and each kind of line has a ration. Lines are gathered for a
// few milliseconds, but for warnings and errors; `flush_log` writes what is gathered. It never ends the
// program.
#pragma once

#include <spdlog/formatter.h>
#include <spdlog/spdlog.h>

#include <cstdint>
#include <memory>
#include <string>

#include "core/rule_guard.h"
#include "core/types.h"
#include "net/reasons.h"

namespace pearchute::net {

// Lines of `form`; without one, plain ones.
void start_log(const std::string& name, std::unique_ptr<spdlog::formatter> form = {});
// Writes what has been gathered. Called some times a second, and before a program ends.
void flush_log();

// How often a kind of line may come: a few at once, then one by one.
class LineRation {
 public:
  explicit LineRation(double at_once = 5, double a_second = 1)
      : at_once_(at_once), a_second_(a_second), left_(at_once) {}
  bool allows();

 private:
  double at_once_, a_second_, left_;
  std::int64_t last_ms_ = 0;
  std::uint64_t kept_back_ = 0;
};

// Each place that logs has a ration of its own, lest a trouble floods the log.
#define PEARCHUTE_LOG(level, ...)                           \
  do {                                                      \
    static ::pearchute::net::LineRation ration;             \
    if (ration.allows()) ::spdlog::log(level, __VA_ARGS__); \
  } while (false)

// What the program takes in, sends and answers.
struct Counters {
  std::uint64_t connections = 0, calls = 0, bad_calls = 0, jobs = 0;
  std::uint64_t done = 0, throttled = 0, cancelled = 0, withdrawn = 0, fetched_again = 0, shed = 0;
  std::uint64_t dispatches = 0, never_minds = 0, hurries = 0, engine_connections = 0;
  std::uint64_t ends[8] = {};  // by outcome
  std::uint64_t notes = 0, broken_answers = 0, silent_connections = 0;
  // Now, not since the start.
  std::uint64_t open_jobs = 0, open_dispatches = 0, open_clients = 0, open_engine_connections = 0;
  ReasonCounts<ClientCloseReason> clients_closed;
  ReasonCounts<EngineCloseReason> engines_closed;
  ReasonCounts<RefusalReason> refused;
  ReasonCounts<RejectionReason> given_up;
  ReasonCounts<Outcome> retried;  // by how the attempt before ended; a second copy counts as done
  RuleGuard rules;
  std::uint64_t failed_events = 0;  // events that an error within the program cut short
  std::uint64_t list_events = 0, list_connections = 0, broken_events = 0;
  std::string as_json() const;
};

}  // namespace pearchute::net

// Log lines and counters. Lines are written to standard error through spdlog and never block the program:
// lines that its reader doesn't accept at once are dropped. Each place that logs has a rate limit; lines
// above it are dropped and counted. Lines below the level of warnings are buffered for a few milliseconds
// until `flush_log`.
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

// Sets up the default logger. Uses `formatter` for its lines, or a plain text format where there is none.
void start_log(const std::string& name, std::unique_ptr<spdlog::formatter> formatter = {});
// Writes the buffered lines. Lines are buffered from its first call on, so a program that calls it must call
// it several times a second and before it ends.
void flush_log();

// A token bucket for log lines: a burst, then a number of lines a second.
class LineRateLimit {
 public:
  explicit LineRateLimit(double burst = 5, double lines_per_second = 1)
      : burst_(burst), lines_per_second_(lines_per_second), tokens_(burst) {}
  // Whether a line may be written now. Logs the number of lines dropped before it.
  bool allows();

 private:
  double burst_, lines_per_second_, tokens_;
  std::int64_t last_ms_ = 0;
  std::uint64_t dropped_ = 0;
};

// Each place that logs has its own rate limit, so that a recurring fault doesn't flood the log.
#define PEARCHUTE_LOG(level, ...)                                    \
  do {                                                               \
    static ::pearchute::net::LineRateLimit line_rate_limit;          \
    if (line_rate_limit.allows()) ::spdlog::log(level, __VA_ARGS__); \
  } while (false)

// The counters of the manager. Their names in JSON are part of the outer interface.
struct Counters {
  std::uint64_t connections = 0, calls = 0, bad_calls = 0, jobs = 0;
  std::uint64_t done = 0, throttled = 0, cancelled = 0, withdrawn = 0, fetched_again = 0, shed = 0;
  std::uint64_t dispatches = 0, never_minds = 0, hurries = 0, engine_connections = 0;
  std::uint64_t ends[8] = {};  // ended attempts by Outcome
  std::uint64_t notes = 0, broken_answers = 0, silent_connections = 0;
  // Current values; all others count since the start.
  std::uint64_t open_jobs = 0, open_dispatches = 0, open_clients = 0, open_engine_connections = 0;
  ReasonCounts<ClientCloseReason> clients_closed;
  ClientCloseCounts client_states_at_close;
  ReasonCounts<EngineCloseReason> engines_closed;
  ReasonCounts<RefusalReason> refused;
  ReasonCounts<RejectionReason> given_up;
  ReasonCounts<Outcome>
      retried;  // by the outcome of the previous attempt; a hedged request counts as succeeded
  RuleGuard rules;
  std::uint64_t failed_events = 0;  // events whose callback threw an exception, see Loop::failed_events
  std::uint64_t list_events = 0, list_connections = 0, broken_events = 0;
  std::string as_json() const;
};

}  // namespace pearchute::net

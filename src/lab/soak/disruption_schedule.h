// The disruptions of a soak run, with their times, durations and targets, drawn from a seed. Disruptions
// overlap: two or three are active for most of the run. Pure: no clock, no process.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace pearchute::lab {

// The enumerators have the names of their keys in the results.
enum class DisruptionKind : std::size_t {
  manager_restarts,  // SIGTERM, then a new start
  manager_killed,    // SIGKILL, then a new start
  manager_stalls,    // SIGSTOP for a while
  manager_reloads,   // SIGHUP with another address of the command channel, three times in quick succession
  clock_steps,       // a manager's wall clock is off by five seconds or an hour, either way
  calls_fail,        // a share of one kind of system call fails at a manager
  engine_drains,     // the endpoint list marks it as leaving, later as active again
  engine_dies,       // its connections are reset, and new ones are refused
  engine_hangs,      // it reads requests and does not answer
  engine_errs,       // errors, resets, hangs, truncated answers, rejections
  engine_slow,       // each statement takes four times its work
  engine_connects_late,  // its relay holds back what the engine sends
  engine_resets,         // its relay resets all connections
  channel_silent,        // the command channel keeps its streams open and sends nothing
  channel_breaks,        // the command channel closes its streams
  clients_leave,         // up to 20 open requests are withdrawn by their clients
  clients_idle,          // idle connections occupy a manager's places for clients
  count
};
inline constexpr std::size_t disruption_kinds = static_cast<std::size_t>(DisruptionKind::count);
inline constexpr std::array<std::string_view, disruption_kinds> disruption_names = {
    "manager_restarts", "manager_killed",       "manager_stalls", "manager_reloads", "clock_steps",
    "calls_fail",       "engine_drains",        "engine_dies",    "engine_hangs",    "engine_errs",
    "engine_slow",      "engine_connects_late", "engine_resets",  "channel_silent",  "channel_breaks",
    "clients_leave",    "clients_idle"};

struct Disruption {
  DisruptionKind kind{};
  std::chrono::milliseconds at{};  // from the start of the run
  std::chrono::milliseconds duration{};
  std::uint64_t draw = 0;  // selects the target and the variant
};

// Returns the disruptions of a run of that duration in order of time. All kinds are equally frequent: no kind
// repeats before each of the others has occurred.
std::vector<Disruption> schedule_disruptions(std::uint64_t seed, std::chrono::milliseconds duration);

}  // namespace pearchute::lab

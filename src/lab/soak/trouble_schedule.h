// What troubles a soak run has, when, for how long and whom they strike, drawn from a seed. Troubles overlap:
// two or three at a time for most of the run. Pure: no clock, no process.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace pearchute::lab {

enum class TroubleKind : std::size_t {
  manager_restarts,      // SIGTERM, then a new start
  manager_killed,        // SIGKILL, then a new start
  manager_stalls,        // SIGSTOP for a while
  manager_reloads,       // SIGHUP to the channel's other address, twice in a row
  clock_steps,           // a manager's wall clock is off by seconds or an hour
  calls_fail,            // a kind of system call fails now and then at a manager
  engine_drains,         // by the list, then it is back
  engine_dies,           // its connections are reset, new ones refused
  engine_hangs,          // it reads nothing
  engine_errs,           // errors, resets, broken-off answers, refusals
  engine_slow,           // four times the work
  engine_connects_late,  // its relay holds what comes
  engine_resets,         // its relay resets all connections
  channel_silent,        // streams stay open and say nothing
  channel_breaks,        // streams end
  clients_leave,         // a burst of clients that go away
  clients_idle,          // idle connections fill a manager's descriptors
  count
};
inline constexpr std::size_t trouble_kinds = static_cast<std::size_t>(TroubleKind::count);
inline constexpr std::array<std::string_view, trouble_kinds> trouble_names = {
    "manager_restarts", "manager_killed",       "manager_stalls", "manager_reloads", "clock_steps",
    "calls_fail",       "engine_drains",        "engine_dies",    "engine_hangs",    "engine_errs",
    "engine_slow",      "engine_connects_late", "engine_resets",  "channel_silent",  "channel_breaks",
    "clients_leave",    "clients_idle"};

struct Trouble {
  TroubleKind kind{};
  std::chrono::milliseconds at{};  // from the run's start
  std::chrono::milliseconds lasts{};
  std::uint64_t draw = 0;  // picks the target and the trouble's form
};

// In order of time. Every kind comes about as often as any other, and once at least where the run is long
// enough for all.
std::vector<Trouble> schedule_troubles(std::uint64_t seed, std::chrono::milliseconds run);

}  // namespace pearchute::lab

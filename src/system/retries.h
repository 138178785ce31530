// Attempts that are made again while this machine is short of something, for a stated time. It blocks the
// thread: for starts, not for events.
#pragma once

#include <chrono>
#include <thread>

#include "system/failures.h"

namespace pearchute {

inline constexpr std::chrono::seconds shortages_pass_within{5};
inline constexpr std::chrono::milliseconds between_attempts{50};

// What `attempt` returns. `told` hears each ResourceShortage; that of the last attempt is thrown.
template <class Attempt, class Told>
auto retry_while_short(Attempt attempt, Told told) {
  const auto until = std::chrono::steady_clock::now() + shortages_pass_within;
  while (true) {
    try {
      return attempt();
    } catch (const ResourceShortage& shortage) {
      if (std::chrono::steady_clock::now() >= until) throw;
      told(shortage);
    }
    std::this_thread::sleep_for(between_attempts);
  }
}

}  // namespace pearchute

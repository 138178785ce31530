// Retries of an operation while this machine is short of resources, for a limited time. Blocks the thread, so
// it is for the start of a program, not for the event loop.
#pragma once

#include <chrono>
#include <thread>

#include "system/failures.h"

namespace pearchute {

inline constexpr std::chrono::seconds shortages_pass_within{5};
inline constexpr std::chrono::milliseconds between_attempts{50};

// Calls `operation` until it succeeds and returns its result. Calls `on_shortage` for each ResourceShortage;
// after the time limit, the last one is thrown.
template <class Operation, class OnShortage>
auto retry_while_short(Operation operation, OnShortage on_shortage) {
  const auto until = std::chrono::steady_clock::now() + shortages_pass_within;
  while (true) {
    try {
      return operation();
    } catch (const ResourceShortage& shortage) {
      if (std::chrono::steady_clock::now() >= until) throw;
      on_shortage(shortage);
    }
    std::this_thread::sleep_for(between_attempts);
  }
}

}  // namespace pearchute

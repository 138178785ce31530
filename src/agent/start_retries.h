// Attempts to start something, or to read the configuration, which are made again for some seconds while this
// machine is short of something.
#pragma once

#include "net/log.h"
#include "system/retries.h"

namespace pearchute::agent {

// Returns what `attempt` returns, and logs each shortage. Blocks. Throws ResourceShortage where the shortage
// lasts, and whatever else `attempt` throws.
template <class Attempt>
auto retry_start(Attempt attempt) {
  return retry_while_short(attempt, [](const ResourceShortage& shortage) {
    PEARCHUTE_LOG(spdlog::level::warn, "not now: {}", shortage.what());
  });
}

}  // namespace pearchute::agent

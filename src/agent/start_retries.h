// Retries of startup steps, and of reading the configuration, while memory, descriptors or the like have
// temporarily run out.
#pragma once

#include "net/log.h"
#include "system/retries.h"

namespace pearchute::agent {

// Runs `attempt`, repeatedly for some seconds while it throws ResourceShortage, and returns its result.
// Blocks. Logs each shortage; throws the last one, and whatever else `attempt` throws.
template <class Attempt>
auto retry_start(Attempt attempt) {
  return retry_while_short(attempt, [](const ResourceShortage& shortage) {
    PEARCHUTE_LOG(spdlog::level::warn, "temporary resource shortage, retrying: {}", shortage.what());
  });
}

}  // namespace pearchute::agent

// Deadlines of RPCs, by the monotonic clock: a step of the wall clock doesn't move them.
#pragma once

#include <grpc/support/time.h>
#include <grpcpp/support/time.h>

#include <chrono>

namespace pearchute::agent {

inline gpr_timespec deadline_in(std::chrono::milliseconds timeout) {
  return gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC), gpr_time_from_millis(timeout.count(), GPR_TIMESPAN));
}

}  // namespace pearchute::agent

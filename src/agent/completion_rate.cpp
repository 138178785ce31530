#include "agent/completion_rate.h"

namespace pearchute::agent {

namespace {

constexpr double decay_per_round = 0.97;
// With fewer answered requests, the share is not significant.
constexpr double min_answered = 5;

}  // namespace

void CompletionRate::add(const std::string& instance, const InstanceCounters& counters) {
  InstanceCounters& last = last_[instance];
  const bool is_known = last.process_id != 0 && counters.process_id != 0;
  const bool is_same_process =
      last.pid == counters.pid && (!is_known || last.process_id == counters.process_id);
  if (is_same_process && counters.answered >= last.answered && counters.done >= last.done) {
    done_ += static_cast<double>(counters.done - last.done);
    answered_ += static_cast<double>(counters.answered - last.answered);
  }
  const std::uint64_t known_process_id = counters.process_id != 0 ? counters.process_id : last.process_id;
  last = counters;
  last.process_id = known_process_id;
}

void CompletionRate::decay() {
  done_ *= decay_per_round;
  answered_ *= decay_per_round;
}

double CompletionRate::value() const { return answered_ < min_answered ? 1.0 : done_ / answered_; }

}  // namespace pearchute::agent

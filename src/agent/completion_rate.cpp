#include "agent/completion_rate.h"

namespace pearchute::agent {

namespace {

constexpr double decay_per_round = 0.97;
// With fewer answered requests, the share is not significant.
constexpr double min_answered = 5;

}  // namespace

void CompletionRate::add(const std::string& instance, std::uint64_t pid, std::uint64_t done,
                         std::uint64_t answered) {
  Counters& last = last_[instance];
  if (last.pid == pid && answered >= last.answered) {
    done_ += static_cast<double>(done - last.done);
    answered_ += static_cast<double>(answered - last.answered);
  }
  last = {pid, done, answered};
}

void CompletionRate::decay() {
  done_ *= decay_per_round;
  answered_ *= decay_per_round;
}

double CompletionRate::value() const { return answered_ < min_answered ? 1.0 : done_ / answered_; }

}  // namespace pearchute::agent

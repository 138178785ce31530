#include "agent/status_reporter.h"

#include <utility>

namespace pearchute::agent {

using fleet::TimePoint;
using InstanceStatus = ProcessSupervisor::InstanceStatus;

namespace {

// The number of rounds over which rates are averaged; about as long as peers use a report.
constexpr int averaging_rounds = 10;

}  // namespace

std::vector<fleet::StatusReport> StatusReporter::reports(TimePoint now,
                                                         const std::vector<InstanceStatus>& instances) {
  std::vector<fleet::StatusReport> reports;
  std::map<std::string, Previous> present;
  for (const InstanceStatus& instance : instances) {
    if (instance.state == fleet::InstanceState::unseen) continue;
    Previous& one = present[instance.name] = previous_[instance.name];
    if (one.state != instance.state || one.process_id != instance.process_id) one.state_since = now;
    update_rates(one, instance, now);
    one.state = instance.state;
    one.process_id = instance.process_id;
    one.observed_at = now;
    one.done = instance.done;
    one.answered = instance.answered;

    fleet::StatusReport& report = reports.emplace_back();
    report.instance = instance.name;
    report.zone = instance.zone;
    report.state = instance.state;
    report.process_incarnation = instance.process_id;
    report.in_state_for = now - one.state_since;
    report.traffic = one.answered_per_second;
    report.done = one.done_share;
    report.open = instance.open;
  }
  previous_ = std::move(present);
  return reports;
}

void StatusReporter::update_rates(Previous& previous, const InstanceStatus& instance, TimePoint now) {
  if (previous.process_id != instance.process_id) {
    previous.answered_per_second = 0;
    previous.done_share = 1;
    return;
  }
  if (now <= previous.observed_at || instance.answered < previous.answered) return;
  const auto answered = static_cast<double>(instance.answered - previous.answered);
  const double rate = answered / std::chrono::duration<double>(now - previous.observed_at).count();
  previous.answered_per_second += (rate - previous.answered_per_second) / averaging_rounds;
  if (answered <= 0) return;
  const double share = static_cast<double>(instance.done - previous.done) / answered;
  previous.done_share += (share - previous.done_share) / averaging_rounds;
}

}  // namespace pearchute::agent

#include "fleet/restart.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace pearchute::fleet {

namespace {

// How long the old process may take to exit beyond the time for its drain: requests in flight are answered
// within 3.5 s, and the machine may be busy.
constexpr Duration shutdown_grace = std::chrono::seconds(10);

}  // namespace

std::string_view name_of(Restart::State state) {
  constexpr std::string_view names[] = {"shutdown requested", "ending", "starting", "checking its orders",
                                        "over"};
  return names[static_cast<int>(state)];
}

void Restart::finish(CommandOutcome outcome, std::string detail) {
  if (over()) return;
  state_ = State::over;
  outcome_ = outcome;
  detail_ = std::move(detail);
}

void Restart::begin(TimePoint now, const Identity& before, const std::set<std::string>& directives) {
  before_ = before;
  directives_ = directives;
  deadline_ = now + limits_.drain_within + shutdown_grace;
  host_.request_shutdown(limits_.drain_within);
}

void Restart::on_shutdown_response(TimePoint, ProbeResult result, bool accepted) {
  if (state_ != State::shutdown_requested) return;
  if (result == ProbeResult::gone)
    return finish(CommandOutcome::unreachable, "not reached; nothing was asked of it");
  if (result == ProbeResult::answered && !accepted)
    return finish(CommandOutcome::refused, "refused to end; it goes on as before");
  // Without an answer the manager may still have accepted the request: the probes will show.
  state_ = State::ending;
}

void Restart::on_probe(TimePoint now, ProbeResult result, const std::optional<Identity>& identity) {
  const bool is_new_process =
      identity && (identity->started != before_.started || identity->process != before_.process);
  // The new process may have started between two probes, so that no probe found the old one gone.
  if (state_ == State::ending && (result == ProbeResult::gone || is_new_process)) {
    state_ = State::starting;
    deadline_ = now + limits_.up_within;
    if (result == ProbeResult::gone && limits_.starts_program) host_.start_program();
  }
  if (state_ == State::starting && is_new_process && identity->serves) {
    state_ = State::checking;
    after_ = *identity;
    host_.request_directives();
  }
  on_timer(now);
}

void Restart::on_directives(TimePoint now, const std::optional<std::set<std::string>>& directives) {
  if (state_ != State::checking) return;
  if (!directives) {
    if (now >= deadline_) on_timer(now);
    else host_.request_directives();
    return;
  }
  std::set<std::string> missing;
  std::ranges::set_difference(directives_, *directives, std::inserter(missing, missing.begin()));
  if (missing.empty()) return finish_serving();
  if (directives_reissued_) {
    return finish(CommandOutcome::refused,
                  "serves again, but " + std::to_string(missing.size()) + " orders are not in force");
  }
  directives_reissued_ = true;
  reissued_count_ = static_cast<int>(missing.size());
  host_.reissue_directives(missing);
  host_.request_directives();
}

void Restart::finish_serving() {
  std::string detail = "serves again";
  if (after_.build != before_.build) detail += ", build " + before_.build + " -> " + after_.build;
  if (after_.digest != before_.digest) detail += ", another configuration";
  if (reissued_count_ > 0) detail += ", " + std::to_string(reissued_count_) + " orders handed over";
  finish(CommandOutcome::yes, std::move(detail));
}

void Restart::on_timer(TimePoint now) {
  if (over() || now < deadline_) return;
  switch (state_) {
    case State::shutdown_requested:
    case State::ending:
      return finish(CommandOutcome::time_up, "asked to end, and still there");
    case State::starting:
      return finish(CommandOutcome::time_up, "has ended, and does not serve again");
    case State::checking:
      return finish(CommandOutcome::time_up, "serves again; whether its orders hold is not known");
    case State::over:
      return;
  }
}

}  // namespace pearchute::fleet

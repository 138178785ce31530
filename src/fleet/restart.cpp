#include "fleet/restart.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

// From its wish to end until it has: what is open gets its answer within 3.5 s, and a machine may be busy.
constexpr std::chrono::seconds shutdown_grace(10);

}  // namespace

std::string_view name_of(Restart::State state) {
  constexpr std::string_view words[] = {"asked to end", "ending", "starting", "checking its orders", "over"};
  return words[static_cast<int>(state)];
}

void Restart::finish(CommandOutcome outcome, std::string detail) {
  if (over()) return;
  state_ = State::over, outcome_ = outcome, detail_ = std::move(detail);
}

void Restart::begin(TimePoint now, const Identity& before, const std::set<std::string>& orders) {
  before_ = before, orders_ = orders;
  deadline_ = now + limits_.drain_within + shutdown_grace;
  host_.request_shutdown(limits_.drain_within);
}

void Restart::on_shutdown_response(TimePoint, ProbeResult result, bool accepted) {
  if (state_ != State::shutdown_requested) return;
  if (result == ProbeResult::gone)
    return finish(CommandOutcome::unreachable, "not reached; nothing was asked of it");
  if (result == ProbeResult::answered && !accepted)
    return finish(CommandOutcome::refused, "refused to end; it goes on as before");
  // Where no answer came it may have been taken all the same: what is seen next tells.
  state_ = State::ending;
}

void Restart::on_probe(TimePoint now, ProbeResult result, const std::optional<Identity>& identity) {
  const bool other =
      identity && (identity->started != before_.started || identity->process != before_.process);
  if (state_ == State::ending) {
    if (result == ProbeResult::gone) {
      state_ = State::starting;
      deadline_ = now + limits_.up_within;
      if (limits_.starts_program) host_.start_program();
    } else if (other) {  // it went and came between two looks
      state_ = State::starting;
      deadline_ = now + limits_.up_within;
    }
  }
  if (state_ == State::starting && other && identity->serves) {
    state_ = State::checking;
    after_ = *identity;
    host_.request_directives();
  }
  on_timer(now);
}

void Restart::on_directives(TimePoint now, const std::optional<std::set<std::string>>& orders) {
  if (state_ != State::checking) return;
  if (!orders) {
    if (now >= deadline_) on_timer(now);
    else host_.request_directives();
    return;
  }
  std::set<std::string> missing;
  std::ranges::set_difference(orders_, *orders, std::inserter(missing, missing.begin()));
  if (!missing.empty() && !directives_reissued_) {
    directives_reissued_ = true;
    reissued_count_ = static_cast<int>(missing.size());
    host_.reissue_directives(missing);
    return host_.request_directives();
  }
  if (!missing.empty())
    return finish(CommandOutcome::refused,
                  "serves again, but " + std::to_string(missing.size()) + " orders are not in force");
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

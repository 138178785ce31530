#include "fleet/restart.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

// From its wish to end until it has: what is open gets its answer within 3.5 s, and a machine may be busy.
constexpr std::chrono::seconds ends_within(10);

}  // namespace

std::string_view word_for(Restart::State state) {
  constexpr std::string_view words[] = {"asked to end", "ending", "starting", "checking its orders", "over"};
  return words[static_cast<int>(state)];
}

void Restart::finish(Done outcome, std::string word) {
  if (over()) return;
  state_ = State::over, outcome_ = outcome, word_ = std::move(word);
}

void Restart::begin(Span now, const Identity& before, const std::set<std::string>& orders) {
  before_ = before, orders_ = orders;
  until_ = now + limits_.drain_within + ends_within;
  host_.ask_to_end(limits_.drain_within);
}

void Restart::end_answered(Span, Seen seen, bool accepted) {
  if (state_ != State::asked) return;
  if (seen == Seen::gone) return finish(Done::unreachable, "not reached; nothing was asked of it");
  if (seen == Seen::answered && !accepted)
    return finish(Done::refused, "refused to end; it goes on as before");
  // Where no answer came it may have been taken all the same: what is seen next tells.
  state_ = State::ending;
}

void Restart::seen(Span now, Seen seen, const std::optional<Identity>& identity) {
  const bool other =
      identity && (identity->started != before_.started || identity->process != before_.process);
  if (state_ == State::ending) {
    if (seen == Seen::gone) {
      state_ = State::starting;
      until_ = now + limits_.up_within;
      if (limits_.starts_it) host_.start_program();
    } else if (other) {  // it went and came between two looks
      state_ = State::starting;
      until_ = now + limits_.up_within;
    }
  }
  if (state_ == State::starting && other && identity->serves) {
    state_ = State::checking;
    after_ = *identity;
    host_.ask_orders();
  }
  woken(now);
}

void Restart::orders_told(Span now, const std::optional<std::set<std::string>>& orders) {
  if (state_ != State::checking) return;
  if (!orders) {
    if (now >= until_) woken(now);
    else host_.ask_orders();
    return;
  }
  std::set<std::string> missing;
  std::ranges::set_difference(orders_, *orders, std::inserter(missing, missing.begin()));
  if (!missing.empty() && !given_) {
    given_ = true;
    handed_over_ = static_cast<int>(missing.size());
    host_.give_orders(missing);
    return host_.ask_orders();
  }
  if (!missing.empty())
    return finish(Done::refused,
                  "serves again, but " + std::to_string(missing.size()) + " orders are not in force");
  std::string word = "serves again";
  if (after_.build != before_.build) word += ", build " + before_.build + " -> " + after_.build;
  if (after_.digest != before_.digest) word += ", another configuration";
  if (handed_over_ > 0) word += ", " + std::to_string(handed_over_) + " orders handed over";
  finish(Done::yes, std::move(word));
}

void Restart::woken(Span now) {
  if (over() || now < until_) return;
  switch (state_) {
    case State::asked:
    case State::ending:
      return finish(Done::time_up, "asked to end, and still there");
    case State::starting:
      return finish(Done::time_up, "has ended, and does not serve again");
    case State::checking:
      return finish(Done::time_up, "serves again; whether its orders hold is not known");
    case State::over:
      return;
  }
}

}  // namespace pearchute::fleet

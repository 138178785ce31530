// The guard of the rules by table, and what it is told: when a client's bytes came, and when an engine
// started.
#include <cassert>
#include <chrono>

#include "core/rule_guard.h"
#include "engines/start_times.h"
#include "front/arrival_times.h"

using namespace pearchute;
using namespace pearchute::net;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void sending() {
  struct Case {
    SendingFacts facts;
    std::optional<Rule> rule;
  };
  const Span now = seconds(5);
  const Case cases[] = {
      {{now, seconds(6), false, true, EngineState::up}, std::nullopt},
      {{now, seconds(6), true, true, EngineState::up}, Rule::one_answer},
      {{now, seconds(5), false, true, EngineState::up}, Rule::time_is_left},
      {{now, seconds(6), false, false, EngineState::up}, Rule::client_is_there},
      {{now, seconds(6), false, true, EngineState::draining}, Rule::engine_takes_work},
      {{now, seconds(6), false, true, EngineState::gone}, Rule::engine_takes_work},
  };
  RuleGuard guard;
  for (const Case& one : cases) assert(guard.forbids_sending(one.facts) == one.rule);
  assert(guard.checked() == std::size(cases) && guard.broken_in_all() == 0);
  assert(guard.held_back(Rule::engine_takes_work) == 2 && guard.held_back(Rule::one_answer) == 1);
}

void repeating() {
  struct Case {
    RepeatFacts facts;
    std::optional<Rule> rule;
  };
  const Span now = seconds(5), window = seconds(2), early = milliseconds(2900), late = milliseconds(3100);
  const Case cases[] = {
      {{now, Effect::run_once, {}, 0, 3, 0, false, {}}, std::nullopt},
      {{now, Effect::run_once, {}, 1, 3, 0, false, {}}, std::nullopt},  // the one before surely never ran
      {{now, Effect::run_once, {}, 1, 3, 0, false, late}, Rule::runs_once},
      {{now, Effect::run_once, {}, 1, 3, 1, true, {}}, Rule::one_attempt_out},
      {{now, Effect::keyed, window, 1, 3, 0, false, late}, std::nullopt},
      {{now, Effect::keyed, window, 1, 3, 0, false, early}, Rule::runs_once},
      {{now, Effect::keyed, window, 1, 3, 1, true, late}, Rule::one_attempt_out},
      {{now, Effect::restartable, {}, 1, 3, 1, true, late}, std::nullopt},
      {{now, Effect::restartable, {}, 1, 3, 1, false, late}, Rule::one_attempt_out},
      {{now, Effect::restartable, {}, 3, 3, 0, true, {}}, Rule::attempts_are_few},
  };
  std::uint64_t broken = 0;
  RuleGuard guard;
  for (const Case& one : cases) {
    assert(guard.forbids_repeating(one.facts) == one.rule);
    broken += one.rule.has_value();
    assert(guard.broken_in_all() ==
           broken);  // a decision that breaks a rule is a fault, though it is held back
  }
}

void closing_and_answering() {
  RuleGuard guard;
  guard.closing({false, false}), guard.closing({true, true});
  guard.answering({seconds(1), seconds(1), false}), guard.answering({milliseconds(1500), seconds(1), false});
  assert(guard.broken_in_all() == 0);
  guard.closing({true, false});
  assert(guard.broken(Rule::no_silent_close) == 1);
  guard.answering({milliseconds(1501), seconds(1), false});
  assert(guard.broken(Rule::answer_in_time) == 1);
  guard.answering({seconds(1), seconds(1), true});
  assert(guard.broken(Rule::one_answer) == 1 && guard.broken_in_all() == 3);
  // What can wait is held back where a request is open or may lie unread.
  assert(!guard.forbids_closing({false, false, false}) && !guard.forbids_closing({true, true, true}));
  assert(guard.forbids_closing({false, false, true}) == Rule::no_silent_close);
  assert(guard.forbids_closing({true, false, false}) == Rule::no_silent_close);
  assert(guard.held_back(Rule::no_silent_close) == 2 && guard.broken_in_all() == 3);
  assert(!guard.forbids_taking(false) && guard.forbids_taking(true) == Rule::not_while_ending);
}

void arrivals() {
  ArrivalTimes times;
  assert(times.of(10, seconds(9)) == seconds(9));  // nothing is known
  times.came(100, seconds(1));
  times.came(150, milliseconds(1005));  // together with the first
  times.came(300, seconds(2));
  assert(times.of(120, {}) == seconds(1));
  assert(times.of(150, {}) == seconds(1));
  assert(times.of(151, {}) == seconds(2));
  assert(times.of(300, {}) == seconds(2));
}

void starts() {
  const auto unix_time = [](auto span) {
    return std::chrono::duration_cast<milliseconds>(seconds(1000) + span);
  };
  const EngineId one{1}, other{2}, third{3};
  StartTimes right(unix_time(seconds(0)));
  right.heard(seconds(0), true), right.heard(seconds(10), true), right.heard(seconds(11), true);
  assert(right.start_of(one, unix_time(seconds(9))) == seconds(9));
  // Older than the list can have left out: this machine's clock is taken to be ahead.
  assert(right.start_of(other, unix_time(seconds(-600))) == seconds(11));
  right.forget(one);  // and it comes back
  assert(right.start_of(one, unix_time(seconds(9))) == seconds(9));
  // What began while the list could not be heard is as old as it says.
  right.heard(seconds(40), false), right.heard(seconds(40), false);
  assert(right.start_of(third, unix_time(seconds(20))) == seconds(20));
  // Nor is the first list's word doubted.
  StartTimes without_list(unix_time(seconds(0)));
  without_list.heard(seconds(0), false), without_list.heard(seconds(30), false);
  assert(without_list.start_of(one, unix_time(seconds(-600))) == seconds(-600));
  StartTimes behind(unix_time(seconds(-3600)));
  behind.heard(seconds(0), false);
  assert(behind.start_of(one, unix_time(seconds(-60))) == seconds(0));  // none lies ahead
  assert(behind.start_of(other, unix_time(seconds(-70))) == seconds(-10));
  assert(behind.start_of(one, unix_time(seconds(-60))) == seconds(0));  // told again, the same
  StartTimes ahead(unix_time(seconds(3600)));
  ahead.heard(seconds(0), true), ahead.heard(seconds(10), true);
  assert(ahead.start_of(third, unix_time(seconds(10))) == seconds(10));
  StartTimes skewed(unix_time(milliseconds(-500)));
  skewed.heard(seconds(0), true), skewed.heard(seconds(1), true);
  assert(skewed.start_of(one, unix_time(seconds(1))) ==
         milliseconds(1500));  // clocks differ a little, and stay
}

}  // namespace

int main() {
  sending();
  repeating();
  closing_and_answering();
  arrivals();
  starts();
}

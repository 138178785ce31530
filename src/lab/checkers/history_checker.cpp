#include "lab/checkers/history_checker.h"

#include <cmath>
#include <utility>

namespace pearchute::lab {

using std::chrono::milliseconds;

Time steady_now() {
  return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
}

void HistoryChecker::report_violation(std::uint64_t& count, const std::string& description) {
  ++count;
  if (verdict_.faults.size() < 20) verdict_.faults.push_back(description);
}

void HistoryChecker::on_own_delay(Time delay) {
  const Time now = steady_now();
  constexpr std::chrono::seconds kept_for(2);
  while (!own_delays_.empty() && own_delays_.front().first + kept_for < now) own_delays_.pop_front();
  constexpr milliseconds min_delay(5);
  if (delay >= min_delay) own_delays_.emplace_back(now, delay);
}

Time HistoryChecker::clock_tolerance() const {
  constexpr milliseconds network_time(10);  // twice the way through a relay, and the network itself
  Time tolerance = network_time;
  for (const auto& [when, delay] : own_delays_)
    tolerance = std::max<Time>(tolerance, network_time + 2 * delay);
  return tolerance;
}

void HistoryChecker::on_engine_started(const std::string& engine, int cores) {
  if (!terms_.cold) return;
  warming_engines_[engine] = {steady_now(), terms_.cold->most_work_ms(cores), {}};
}

// A request takes its place in the order of its key when its last byte has reached the manager's machine.
void HistoryChecker::written(const std::string& id) {
  const auto at = requests_.find(id);
  if (at == requests_.end() || at->second.is_closed()) return;
  Request& request = at->second;
  if (terms_.ration) {
    std::deque<Time>& accepted = accepted_[request.manager];
    accepted.push_back(steady_now());
    while (accepted.front() + terms_.ration->window + std::chrono::seconds(1) < steady_now())
      accepted.pop_front();
  }
  if (!request.kind.in_order) return;
  KeyQueue& queue = key_queues_[request.key];
  queue.manager = request.manager;
  request.sequence = queue.next_sequence++;
  queue.pending.push_back(id);
}

void HistoryChecker::crossed(const std::string& id) {
  const auto at = requests_.find(id);
  if (at == requests_.end() || !at->second.kind.in_order) return;
  std::erase(key_queues_[at->second.key].pending, id);
  std::erase_if(overtaken_, [&](const Overtaken& one) { return one.earlier == id; });
}

void HistoryChecker::sent(const std::string& id, int manager, const Kind& kind, std::uint64_t key,
                          Time until) {
  // Requests are kept for 10 s after they close, because a second answer would arrive within seconds.
  while (!closed_.empty() && closed_.front().first + std::chrono::seconds(10) < steady_now()) {
    requests_.erase(closed_.front().second);
    closed_.pop_front();
  }
  Request& request = requests_[id];
  request.manager = manager, request.kind = kind, request.key = key, request.deadline = until;
  ++verdict_.sent, ++open_count_;
}

void HistoryChecker::close(const std::string& id, Request& request) {
  --open_count_;
  closed_.emplace_back(steady_now(), id);
  if (request.kind.in_order && key_queues_[request.key].running_id == id && !request.is_running())
    key_queues_[request.key].running_id.clear();
  check_overtaken();
}

// When a later request starts, the earlier one may still be open here because its answer is on the way. It
// counts as a violation only if the earlier one stays open.
void HistoryChecker::check_overtaken() {
  constexpr milliseconds max_answer_delay(60);
  std::erase_if(overtaken_, [&](const Overtaken& one) {
    const auto at = requests_.find(one.earlier);
    const bool has_ended = at == requests_.end() || at->second.is_closed();
    const bool is_due = steady_now() - one.at > max_answer_delay + clock_tolerance();
    if (is_due && !killed_managers_.contains(at == requests_.end() ? -1 : at->second.manager))
      report_violation(verdict_.disorder,
                       one.later + " started while " + one.earlier + " of the same key was open");
    return has_ended || is_due;
  });
}

void HistoryChecker::reset_manager_state(int manager) {
  std::erase_if(overtaken_, [&](const Overtaken& one) {
    const auto at = requests_.find(one.earlier);
    return at == requests_.end() || at->second.manager == manager;
  });
  for (auto& [key, queue] : key_queues_) {
    if (queue.manager != manager) continue;
    queue.running_id.clear(), queue.pending.clear();
    queue.quiet_until = {}, queue.last_started_sequence = queue.next_sequence - 1;
  }
  accepted_.erase(manager), retries_.erase(manager);
}

void HistoryChecker::answered(const std::string& id, Answer answer) {
  const auto at = requests_.find(id);
  if (at == requests_.end())
    return report_violation(verdict_.doubled, "an answer to an unknown request: " + id);
  Request& request = at->second;
  if (std::exchange(request.excused, false))
    return void(++request.answers);  // written before the manager was killed
  if (++request.answers > 1 || request.given_up)
    return report_violation(verdict_.doubled, "a second answer to " + id);
  ++(answer == Answer::done ? verdict_.done : answer == Answer::refused ? verdict_.refused : verdict_.failed);
  // On a busy machine the answer may take a moment to arrive.
  if (steady_now() > request.deadline + milliseconds(50))
    report_violation(verdict_.late, "an answer after the deadline: " + id);
  close(id, request);
}

void HistoryChecker::unanswered(const std::string& id) {
  const auto at = requests_.find(id);
  if (at == requests_.end() || at->second.answers > 0 || at->second.given_up) return;
  at->second.given_up = true;
  if (killed_managers_.contains(at->second.manager)) {
    ++verdict_.excused;
    return close(id, at->second);
  }
  report_violation(verdict_.lost,
                   "no answer to " + id + ", sent to manager " + std::to_string(at->second.manager));
  close(id, at->second);
}

void HistoryChecker::withdrawn(const std::string& id) {
  const auto at = requests_.find(id);
  if (at == requests_.end() || at->second.answers > 0 || at->second.given_up) return;
  at->second.given_up = true;
  at->second.left_at = steady_now();
  ++verdict_.withdrawn;
  close(id, at->second);
}

void HistoryChecker::unreached(const std::string& id) {
  const auto at = requests_.find(id);
  if (at == requests_.end() || at->second.answers > 0 || at->second.given_up) return;
  at->second.given_up = true;
  ++verdict_.unreached;
  close(id, at->second);
}

// Order, quiet periods and retry budgets start afresh with the manager's process.
void HistoryChecker::manager_lives(int manager) {
  killed_managers_.erase(manager);
  reset_manager_state(manager);
}

void HistoryChecker::manager_died(int manager) {
  killed_managers_.insert(manager);
  for (auto& [id, request] : requests_) {
    if (request.manager != manager || request.answers > 0 || request.given_up) continue;
    request.given_up = request.excused = true;
    ++verdict_.excused;
    close(id, request);
  }
  reset_manager_state(manager);
}

void HistoryChecker::on_time_limit_received(const std::string& id, milliseconds wait) {
  constexpr milliseconds tolerance(150);
  const auto at = requests_.find(id);
  if (at == requests_.end()) return;
  const Time left = at->second.deadline - steady_now();
  if (wait > left + tolerance)
    report_violation(verdict_.waits_too_long, id + " has a time limit of " + std::to_string(wait.count()) +
                                                  " ms, but " + std::to_string(left.count() / 1000) +
                                                  " ms are left");
}

void HistoryChecker::begun(const std::string& engine, const std::string& id, bool was_backlogged) {
  const auto at = requests_.find(id);
  if (at == requests_.end()) return;
  Request& request = at->second;
  const Time now = steady_now();
  auto& recent = recent_attempts_[{engine, request.manager}];
  recent.push_back(now);
  while (recent.front() + std::chrono::seconds(1) < now) recent.pop_front();
  if (const auto drain = drains_.find({engine, request.manager}); drain != drains_.end())
    drain->second.last_attempt_at = now;
  constexpr milliseconds max_withdrawal_delay(100);
  const bool order_is_unknown = was_backlogged && unseen_give_ups_;
  if (!order_is_unknown && request.left_at && now > *request.left_at + max_withdrawal_delay)
    report_violation(verdict_.after_leaving, id + " reaches " + engine + " " +
                                                 std::to_string((now - *request.left_at).count() / 1000) +
                                                 " ms after its client left");
  for (const Attempt& attempt : request.attempts) {
    const bool still_runs = !attempt.has_ended && (request.kind.once || !unseen_give_ups_);
    if (still_runs)
      report_violation(verdict_.overlaps, id + " reaches " + engine + " while it runs on " + attempt.engine);
    else if (request.kind.once && !attempt.was_rejected)
      report_violation(verdict_.twice_run, id + " is run by " + engine + " after " + attempt.engine);
  }
  check_zone(engine, id, request);
  check_retry_budget(id, request);
  check_slow_start(engine, request);
  if (request.kind.in_order && !order_is_unknown) check_order(id, request);
  request.attempts.push_back({engine});
}

void HistoryChecker::check_order(const std::string& id, Request& request) {
  KeyQueue& queue = key_queues_[request.key];
  const Time now = steady_now();
  if (!requests_.contains(queue.running_id)) queue.running_id.clear();
  if (!queue.running_id.empty() && queue.running_id != id && !unseen_give_ups_)
    report_violation(verdict_.disorder, id + " starts while " + queue.running_id + " of the same key runs");
  else if (request.sequence < queue.last_started_sequence)
    report_violation(verdict_.disorder, id + " starts after a later request of the same key");
  std::erase_if(queue.pending, [&](const std::string& one) {
    const auto at = requests_.find(one);
    return at == requests_.end() || (at->second.is_closed() && !at->second.is_running());
  });
  for (const std::string& one : queue.pending) {
    if (one == id) break;
    if (!requests_.at(one).is_closed()) overtaken_.push_back({one, id, now});
  }
  const bool is_first = request.attempts.empty();
  if (is_first && queue.quiet_until > Time(0)) ++verdict_.rests_seen;
  if (is_first && now + clock_tolerance() < queue.quiet_until)
    report_violation(verdict_.unrested, id + " starts " +
                                            std::to_string((queue.quiet_until - now).count() / 1000) +
                                            " ms before the end of its key's quiet period");
  queue.last_started_sequence = std::max(queue.last_started_sequence, request.sequence);
  queue.running_id = id;
}

void HistoryChecker::check_zone(const std::string& engine, const std::string& id, const Request& request) {
  const auto zone = zones_.find(engine);
  if (request.kind.zones.empty() || zone == zones_.end() || request.kind.zones.contains(zone->second)) return;
  report_violation(verdict_.misplaced,
                   id + " reaches " + engine + " in zone " + zone->second + ", where its type may not run");
}

void HistoryChecker::check_retry_budget(const std::string& id, const Request& request) {
  if (!terms_.ration || request.attempts.empty()) return;
  ++verdict_.further_seen;
  const Time now = steady_now(), window = terms_.ration->window;
  std::deque<Time>& retries = retries_[request.manager];
  retries.push_back(now);
  // Events may be recorded late, so those close to either edge of the window count in the manager's favour.
  while (retries.front() + window < now + clock_tolerance()) retries.pop_front();
  const std::deque<Time>& accepted = accepted_[request.manager];
  const auto accepted_count =
      std::ranges::count_if(accepted, [&](Time at) { return at + window + clock_tolerance() >= now; });
  const double max_retries = terms_.ration->few + terms_.ration->share * static_cast<double>(accepted_count);
  if (static_cast<double>(retries.size()) > max_retries)
    report_violation(verdict_.over_ration, id + " is retry " + std::to_string(retries.size()) +
                                               " of manager " + std::to_string(request.manager) + ", " +
                                               std::to_string(max_retries) + " are allowed");
}

// Compares the work within the window to the limit plus a tolerance for chance, 2 to 3 standard deviations of
// a Poisson count; both are counted in requests of mean work.
void HistoryChecker::check_slow_start(const std::string& engine, const Request& request) {
  const auto at = warming_engines_.find(engine);
  if (at == warming_engines_.end()) return;
  WarmingEngine& cold = at->second;
  const Time now = steady_now();
  if (now > cold.since + terms_.cold->lasts) return void(warming_engines_.erase(at));
  ++verdict_.cold_seen;
  cold.work_ms.emplace_back(now, request.kind.usual_work_ms);
  while (cold.work_ms.front().first + Time(terms_.cold->window) < now + clock_tolerance())
    cold.work_ms.pop_front();
  double sum = 0;
  for (const auto& [when, work] : cold.work_ms) sum += work;
  const double mean = std::max(sum / static_cast<double>(cold.work_ms.size()), 1e-3);
  const double budget = cold.limit_ms / mean;
  const double tolerance = budget < 30 ? 3 * std::sqrt(budget) + 3 : 2 * std::sqrt(budget) + 2;
  if (sum / mean > budget + tolerance)
    report_violation(verdict_.over_cold_budget, engine + " is cold and received " + std::to_string(sum) +
                                                    " ms of work, " + std::to_string(cold.limit_ms) +
                                                    " are allowed");
}

void HistoryChecker::ended(const std::string& engine, const std::string& id, RunEnd how) {
  const auto at = requests_.find(id);
  if (at == requests_.end()) return;
  Request& request = at->second;
  for (Attempt& attempt : request.attempts) {
    if (attempt.engine == engine && !attempt.has_ended)
      attempt.has_ended = true, attempt.was_rejected = how == RunEnd::turned_away;
  }
  if (!request.kind.in_order) return;
  KeyQueue& queue = key_queues_[request.key];
  if (queue.running_id == id) queue.running_id.clear();
  const bool is_outcome_uncertain = how == RunEnd::given_up || how == RunEnd::cut;
  const bool manager_runs = !killed_managers_.contains(request.manager);
  if (is_outcome_uncertain && terms_.order_rest && manager_runs)
    queue.quiet_until = steady_now() + Time(*terms_.order_rest);
}

void HistoryChecker::drain_came(const std::string& engine, int manager, Time ordered_at) {
  Drain& drain = drains_[{engine, manager}];
  drain = {ordered_at, ordered_at};
  for (const Time at : recent_attempts_[{engine, manager}])
    drain.last_attempt_at = std::max(drain.last_attempt_at, at);
  ++verdict_.drains;
}

void HistoryChecker::drain_over(const std::string& engine, int manager) {
  const auto at = drains_.find({engine, manager});
  if (at == drains_.end()) return;
  const Time delay = at->second.last_attempt_at - at->second.ordered_at;
  verdict_.drain_delays.push_back(delay);
  if (delay > milliseconds(500))
    report_violation(verdict_.late_over_500ms, "manager " + std::to_string(manager) + " sent an attempt to " +
                                                   engine + " " + std::to_string(delay.count() / 1000) +
                                                   " ms after the order to drain it");
  drains_.erase(at);
}

const HistoryChecker::Verdict& HistoryChecker::verdict() {
  std::vector<std::string> overdue;
  for (const auto& [id, request] : requests_) {
    if (request.answers == 0 && !request.given_up && steady_now() > request.deadline + milliseconds(500))
      overdue.push_back(id);
  }
  for (const std::string& id : overdue) unanswered(id);
  check_overtaken();
  return verdict_;
}

}  // namespace pearchute::lab

#include "lab/checkers/history_checker.h"

#include <cmath>
#include <utility>

namespace pearchute::lab {

using std::chrono::milliseconds;

Time steady_now() {
  return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
}

void HistoryChecker::fault(std::uint64_t& count, const std::string& what) {
  ++count;
  if (verdict_.faults.size() < 20) verdict_.faults.push_back(what);
}

void HistoryChecker::own_delay(Time delay) {
  const Time now = steady_now();
  constexpr std::chrono::seconds counts_for(2);
  while (!delays_.empty() && delays_.front().first + counts_for < now) delays_.pop_front();
  constexpr milliseconds least(5);
  if (delay >= least) delays_.emplace_back(now, delay);
}

Time HistoryChecker::slack() const {
  Time most = milliseconds(10);  // two ways through a relay, and the network's own
  for (const auto& [when, delay] : delays_) most = std::max<Time>(most, milliseconds(10) + 2 * delay);
  return most;
}

void HistoryChecker::engine_starts(const std::string& engine, int cores) {
  if (!terms_.cold) return;
  cold_[engine] = {steady_now(), terms_.cold->most_work_ms(cores), {}};
}

// Its order counts from when its last byte is with the manager's machine.
void HistoryChecker::written(const std::string& id) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || at->second.is_closed()) return;
  Job& job = at->second;
  if (terms_.ration) {
    std::deque<Time>& taken = taken_[job.manager];
    taken.push_back(steady_now());
    while (taken.front() + terms_.ration->window + std::chrono::seconds(1) < steady_now()) taken.pop_front();
  }
  if (!job.kind.in_order) return;
  Line& line = lines_[job.key];
  line.manager = job.manager;
  job.turn = line.next_turn++;
  line.earlier.push_back(id);
}

void HistoryChecker::crossed(const std::string& id) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || !at->second.kind.in_order) return;
  std::erase(lines_[at->second.key].earlier, id);
  std::erase_if(overtaken_, [&](const Overtaken& one) { return one.earlier == id; });
}

void HistoryChecker::sent(const std::string& id, int manager, const Kind& kind, std::uint64_t key,
                          Time until) {
  // What has been over for long is forgotten: late second answers come within seconds.
  while (!over_.empty() && over_.front().first + std::chrono::seconds(10) < steady_now()) {
    jobs_.erase(over_.front().second);
    over_.pop_front();
  }
  Job& job = jobs_[id];
  job.manager = manager, job.kind = kind, job.key = key, job.until = until;
  ++verdict_.sent, ++open_;
}

void HistoryChecker::closed(const std::string& id, Job& job) {
  --open_;
  over_.emplace_back(steady_now(), id);
  if (job.kind.in_order && lines_[job.key].out == id && !job.is_out()) lines_[job.key].out.clear();
  judge_overtaken();
}

// What the earlier one still lacked when the later one began came in the moments after, or never should have.
void HistoryChecker::judge_overtaken() {
  constexpr milliseconds on_its_way(60);
  std::erase_if(overtaken_, [&](const Overtaken& one) {
    const auto at = jobs_.find(one.earlier);
    const bool has_ended = at == jobs_.end() || at->second.is_closed();
    const bool is_due = steady_now() - one.at > on_its_way + slack();
    if (is_due && !dead_managers_.contains(at == jobs_.end() ? -1 : at->second.manager))
      fault(verdict_.disorder, one.later + " began while " + one.earlier + " of its key was open");
    return has_ended || is_due;
  });
}

void HistoryChecker::forget_lines_of(int manager) {
  std::erase_if(overtaken_, [&](const Overtaken& one) {
    const auto at = jobs_.find(one.earlier);
    return at == jobs_.end() || at->second.manager == manager;
  });
  for (auto& [key, line] : lines_) {
    if (line.manager != manager) continue;
    line.out.clear(), line.earlier.clear();
    line.rests_until = {}, line.last_begun = line.next_turn - 1;
  }
  taken_.erase(manager), further_.erase(manager);
}

void HistoryChecker::answered(const std::string& id, Answer answer) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end()) return fault(verdict_.doubled, "an answer to no job: " + id);
  Job& job = at->second;
  if (std::exchange(job.excused, false)) return void(++job.answers);  // what the killed manager had written
  if (++job.answers > 1 || job.given_up) return fault(verdict_.doubled, "a second answer to " + id);
  ++(answer == Answer::done ? verdict_.done : answer == Answer::refused ? verdict_.refused : verdict_.failed);
  // The way back may take a moment where the machine is busy.
  if (steady_now() > job.until + milliseconds(50)) fault(verdict_.late, "an answer after its time: " + id);
  closed(id, job);
}

void HistoryChecker::unanswered(const std::string& id) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || at->second.answers > 0 || at->second.given_up) return;
  at->second.given_up = true;
  if (dead_managers_.contains(at->second.manager)) {
    ++verdict_.excused;
    return closed(id, at->second);
  }
  fault(verdict_.lost, "no answer to " + id + ", sent to manager " + std::to_string(at->second.manager));
  closed(id, at->second);
}

void HistoryChecker::withdrawn(const std::string& id) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || at->second.answers > 0 || at->second.given_up) return;
  at->second.given_up = true;
  at->second.left_at = steady_now();
  ++verdict_.withdrawn;
  closed(id, at->second);
}

void HistoryChecker::unreached(const std::string& id) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || at->second.answers > 0 || at->second.given_up) return;
  at->second.given_up = true;
  ++verdict_.unreached;
  closed(id, at->second);
}

// Order, rests and rations count from a manager's start.
void HistoryChecker::manager_lives(int manager) {
  dead_managers_.erase(manager);
  forget_lines_of(manager);
}

void HistoryChecker::manager_died(int manager) {
  dead_managers_.insert(manager);
  for (auto& [id, job] : jobs_) {
    if (job.manager != manager || job.answers > 0 || job.given_up) continue;
    job.given_up = job.excused = true;
    ++verdict_.excused;
    closed(id, job);
  }
  forget_lines_of(manager);
}

void HistoryChecker::told_wait(const std::string& id, milliseconds wait) {
  constexpr milliseconds slack(150);
  const auto at = jobs_.find(id);
  if (at == jobs_.end()) return;
  const Time left = at->second.until - steady_now();
  if (wait > left + slack)
    fault(verdict_.waits_too_long, id + " is to wait " + std::to_string(wait.count()) + " ms, " +
                                       std::to_string(left.count() / 1000) + " ms are left");
}

void HistoryChecker::begun(const std::string& engine, const std::string& id, bool lay_unread) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end()) return;
  Job& job = at->second;
  const Time now = steady_now();
  auto& wants = wants_[{engine, job.manager}];
  wants.push_back(now);
  while (wants.front() + std::chrono::seconds(1) < now) wants.pop_front();
  if (const auto drained = drained_.find({engine, job.manager}); drained != drained_.end())
    drained->second.last = now;
  constexpr milliseconds leaving_heard_within(100);
  const bool order_is_unknown = lay_unread && unseen_give_ups_;
  if (!order_is_unknown && job.left_at && now > *job.left_at + leaving_heard_within)
    fault(verdict_.after_leaving, id + " reaches " + engine + " " +
                                      std::to_string((now - *job.left_at).count() / 1000) +
                                      " ms after its client has left");
  for (const Run& run : job.runs) {
    const bool is_out = !run.over && (job.kind.once || !unseen_give_ups_);
    if (is_out) fault(verdict_.overlaps, id + " reaches " + engine + " while it is out at " + run.engine);
    else if (job.kind.once && !run.turned_away)
      fault(verdict_.twice_run, id + " is run by " + engine + " after " + run.engine);
  }
  judge_place(engine, id, job);
  judge_ration(id, job);
  judge_cold_budget(engine, job);
  if (job.kind.in_order && !order_is_unknown) judge_order(id, job);
  job.runs.push_back({engine});
}

void HistoryChecker::judge_order(const std::string& id, Job& job) {
  Line& line = lines_[job.key];
  const Time now = steady_now();
  if (!jobs_.contains(line.out)) line.out.clear();
  if (!line.out.empty() && line.out != id && !unseen_give_ups_)
    fault(verdict_.disorder, id + " begins while " + line.out + " is out");
  else if (job.turn < line.last_begun) fault(verdict_.disorder, id + " begins after a later one of its key");
  std::erase_if(line.earlier, [&](const std::string& one) {
    const auto at = jobs_.find(one);
    return at == jobs_.end() || (at->second.is_closed() && !at->second.is_out());
  });
  for (const std::string& one : line.earlier) {
    if (one == id) break;
    if (!jobs_.at(one).is_closed()) overtaken_.push_back({one, id, now});
  }
  const bool is_first = job.runs.empty();
  if (is_first && line.rests_until > Time(0)) ++verdict_.rests_seen;
  if (is_first && now + slack() < line.rests_until)
    fault(verdict_.unrested, id + " begins " + std::to_string((line.rests_until - now).count() / 1000) +
                                 " ms before its key has rested");
  line.last_begun = std::max(line.last_begun, job.turn);
  line.out = id;
}

void HistoryChecker::judge_place(const std::string& engine, const std::string& id, const Job& job) {
  const auto zone = zones_.find(engine);
  if (job.kind.zones.empty() || zone == zones_.end() || job.kind.zones.contains(zone->second)) return;
  fault(verdict_.misplaced, id + " reaches " + engine + " in " + zone->second);
}

void HistoryChecker::judge_ration(const std::string& id, const Job& job) {
  if (!terms_.ration || job.runs.empty()) return;
  ++verdict_.further_seen;
  const Time now = steady_now(), window = terms_.ration->window;
  std::deque<Time>& further = further_[job.manager];
  further.push_back(now);
  // What was seen a little late may lie at either edge of the window.
  while (further.front() + window < now + slack()) further.pop_front();
  const std::deque<Time>& taken = taken_[job.manager];
  const auto earned_by = std::ranges::count_if(taken, [&](Time at) { return at + window + slack() >= now; });
  const double most = terms_.ration->few + terms_.ration->share * static_cast<double>(earned_by);
  if (static_cast<double>(further.size()) > most)
    fault(verdict_.over_ration, id + " is further attempt " + std::to_string(further.size()) +
                                    " of manager " + std::to_string(job.manager) + ", " +
                                    std::to_string(most) + " are allowed");
}

// The budget and what is put down to chance, both counted in requests of mean work.
void HistoryChecker::judge_cold_budget(const std::string& engine, const Job& job) {
  const auto at = cold_.find(engine);
  if (at == cold_.end()) return;
  WarmingEngine& cold = at->second;
  const Time now = steady_now();
  if (now > cold.since + terms_.cold->lasts) return void(cold_.erase(at));
  ++verdict_.cold_seen;
  cold.work.emplace_back(now, job.kind.usual_work_ms);
  while (cold.work.front().first + Time(terms_.cold->window) < now + slack()) cold.work.pop_front();
  double sum = 0;
  for (const auto& [when, work] : cold.work) sum += work;
  const double mean = std::max(sum / static_cast<double>(cold.work.size()), 1e-3);
  const double budget = cold.limit_ms / mean;
  const double chance = budget < 30 ? 3 * std::sqrt(budget) + 3 : 2 * std::sqrt(budget) + 2;
  if (sum / mean > budget + chance)
    fault(verdict_.over_cold_budget, engine + " is cold and is sent " + std::to_string(sum) +
                                         " ms of work, " + std::to_string(cold.limit_ms) + " are allowed");
}

void HistoryChecker::ended(const std::string& engine, const std::string& id, RunEnd how) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end()) return;
  Job& job = at->second;
  for (Run& run : job.runs) {
    if (run.engine == engine && !run.over) run.over = true, run.turned_away = how == RunEnd::turned_away;
  }
  if (!job.kind.in_order) return;
  Line& line = lines_[job.key];
  if (line.out == id) line.out.clear();
  const bool end_is_unsure = how == RunEnd::given_up || how == RunEnd::cut;
  const bool lives = !dead_managers_.contains(job.manager);
  if (end_is_unsure && terms_.order_rest && lives) line.rests_until = steady_now() + Time(*terms_.order_rest);
}

void HistoryChecker::drain_came(const std::string& engine, int manager, Time came) {
  Drained& drained = drained_[{engine, manager}];
  drained = {came, came};
  for (const Time want : wants_[{engine, manager}]) drained.last = std::max(drained.last, want);
  ++verdict_.drains;
}

void HistoryChecker::drain_over(const std::string& engine, int manager) {
  const auto at = drained_.find({engine, manager});
  if (at == drained_.end()) return;
  const Time delay = at->second.last - at->second.came;
  verdict_.drain_delays.push_back(delay);
  if (delay > milliseconds(500))
    fault(verdict_.late_over_500ms, "manager " + std::to_string(manager) + " sent to " + engine + " " +
                                        std::to_string(delay.count() / 1000) + " ms after its order");
  drained_.erase(at);
}

const HistoryChecker::Verdict& HistoryChecker::verdict() {
  std::vector<std::string> up;
  for (const auto& [id, job] : jobs_) {
    if (job.answers == 0 && !job.given_up && steady_now() > job.until + milliseconds(500)) up.push_back(id);
  }
  for (const std::string& id : up) unanswered(id);
  judge_overtaken();
  return verdict_;
}

}  // namespace pearchute::lab

// The decisions of a workload manager, all of them. Callers reach it through WorkloadManager (control.h): one
// method for each thing that can happen, which acts by calling the Host. First the events; then the steps of
// a choice: may the job go (rules), which engine and grant (ledger), health, and when to give up.
// docs/design.md says where the mechanism comes from and when each exception to it acts.
#include "core/control.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pearchute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double infinite = std::numeric_limits<double>::infinity();
constexpr int overtake_budget = 4;  // the design's starting value

double in_ms(Span span) { return static_cast<double>(span.count()) / 1000; }
Span from_ms(double ms) { return Span(static_cast<Span::rep>(std::clamp(ms, 0.0, 4e6) * 1000)); }

void take_in(double sample, Mean& mean) {
  mean.count = std::min(mean.count + 1, 1000.0);  // forgets, but is steady against any one job
  mean.value += (sample - mean.value) / mean.count;
}

// Same at every manager, so that they agree on a data set's home engines without a word between them.
std::uint64_t shared_hash(DataSetId data_set, EngineId engine) {
  std::uint64_t x = static_cast<std::uint64_t>(data_set.value) * 0x9E3779B97F4A7C15ULL + engine.value;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

}  // namespace

WorkloadManager::WorkloadManager(const ServiceDefinition& service, std::uint64_t seed, Host& host)
    : host_(host), chance_(static_cast<std::knuth_b::result_type>(seed ^ (seed >> 32))), rules_(service) {
  subscribe_wait_ = milliseconds(500), cut_ = infinite;
  // Best pace 1, slow pace 3: slow until answers come well.
  for (const ReservationType& type : service.types) types_.push_back({type, {}, {}, 1, 1, 1, 3});
  double sum = 1e-9;
  for (const Customer& customer : service.customers) sum += customer.jobs_per_second;
  for (const Customer& one : service.customers) customer_portion_.push_back(one.jobs_per_second / sum);
  customer_rate_.assign(service.customers.size(), 0);
  kinds_ = service.kinds;
  for (const MachineKind& kind : kinds_) most_memory_ = std::max(most_memory_, kind.memory_mb);
  if (!rules_.takes_retry_advice) rules_.longest_retry_advice = Span(0);
  rules_.types.clear(), rules_.customers.clear(), rules_.kinds.clear();
  Span shortest = seconds(60);
  for (const TypeFigures& type : types_) {
    largest_threads_ = std::max(largest_threads_, type.type.threads);
    shortest = std::min(shortest, type.type.job_timeout);
  }
  // A crowded pool halves its slots in half of the shortest patience: a manager's jobs must not end behind
  // all others send meanwhile. Never slower than a hundredth a beat, as an engine's own slots fall.
  pool_fall_ = std::min(0.99, std::exp2(-200.0 / std::max(in_ms(shortest), 1000.0)));
  rules_.managers = std::max(1, rules_.managers), share_ = std::min(1.0, 2.0 / rules_.managers);
  spare_end_ = 2 * service.round + milliseconds(10);  // a wake comes up to one round late
  if (service.list_on_request) host_.subscribe_list();
  host_.wake_in(milliseconds(100), beat_mark);
}

// ---- What happens ----

void WorkloadManager::list_came(Span now, ListNews news, const std::vector<ListedEngine>& engines) {
  if (news != ListNews::remembered) subscribe_wait_ = milliseconds(500);
  std::set<EngineId> named;
  for (const ListedEngine& listed : engines) {
    named.insert(listed.id);
    const bool first = !engines_.contains(listed.id);
    Engine& engine = engines_[listed.id];
    const bool was_up = engine.known_up;
    const bool restarted = listed.online_since && listed.online_since != engine.listed.online_since;
    engine.known_up = listed.state == EngineState::up;
    engine.listed = listed;
    if (first) engine.even_slots = 2.0 * kind_of(engine).cores * share_;
    if (first || restarted || (engine.known_up && !was_up)) {
      engine.told = now;
      engine.strikes = 0, engine.error_rate = 0, engine.closed_until = now, engine.on_trial = false;
      engine.pace.stretch = first ? 1 : std::max(1.0, fleet_.stretch);
      engine.others_bytes.reset(), let_go(engine, Span::max());
    }
  }
  if (news != ListNews::changes) {
    for (auto& [id, engine] : engines_)
      if (!named.contains(id)) engine.known_up = false, engine.listed.state = EngineState::gone;
  }
  release(now);
}

void WorkloadManager::list_refused(Span) {
  if (!rules_.list_on_request) return;
  // Guards against asking an overrun discovery: twice as long after each refusal, and unevenly.
  const double part = 0.75 + 0.5 * std::generate_canonical<double, 32>(chance_);
  host_.wake_in(from_ms(in_ms(subscribe_wait_) * part), subscribe_mark);
  const Span longest = std::max<Span>(seconds(1), rules_.ask_within / 4);
  subscribe_wait_ = std::min(2 * subscribe_wait_, longest);
}

void WorkloadManager::job_taken(Span now, const Job& job) {
  TypeFigures& type = types_[job.type.value];
  HeldJob& held = jobs_[job.id];
  held.job = job, held.turn = next_turn_++, turns_[held.turn] = job.id;
  if (job.work_ms) take_in(*job.work_ms, type.usual_work_ms);
  if (job.memory_mb) take_in(*job.memory_mb, type.usual_memory_mb);
  held.work_ms = job.work_ms.value_or(type.usual_work_ms.value);
  take_in(held.work_ms, mean_work_ms_);
  held.taken = now, held.end = now + std::max<Span>(job.time_left - spare_end_, Span(0));
  const Span sla = type.type.sla_time + from_ms(type.type.sla_stretch * ideal_ms(held));
  held.sla_end = std::min(now + sla, held.end);
  if (rules_.ration_window) taken_.push_back(now);
  if (job.customer.value >= 0) customer_rate_[job.customer.value] += 1.0 / 5;
  if (job.key && type.type.in_order) lines_[*job.key].jobs.push_back(job.id);
  host_.wake_in(held.end - now, held.turn), job_rate_ += 1.0 / 5;
  data_sets_[job.data_set] += 1, data_sets_drawn_ += 1;
  rescues_due_ = std::min(rescues_due_ + 0.1, 10.0);
  const double cost = 1 / density(held);
  largest_ = std::max(largest_, cost), work_taken_ += held.work_ms, value_taken_ += held.work_ms / cost;
  mean_cost_ = work_taken_ / std::max(value_taken_, 1e-9);
  // Bounds a scan of the queue, which release() makes when a dispatch ends and at each beat.
  constexpr std::size_t longest_queue = 600;
  // Guards against overload of any cause: what asks most engine time for its billed value is not taken on.
  // But for what is estimated as small for its type, lest a type that costs more than others goes as a whole.
  const bool small = job.work_ms && held.work_ms <= type.usual_work_ms.value;
  // Exception: where beats come late again and again this manager's own core is short, and what earns less
  // than the mean is not taken on, small or not. Guards against answers that come late to all; harms such
  // jobs for up to a second after the load has fallen.
  const bool costly = (cost > cut_ && !small) || (beats_late_ >= 2 && cost > mean_cost_);
  // Guards against work that would fill an engine and be lost. Where nothing can be called off, half as much
  // again is allowed for, since a time-out leaves it running; the highest priority hardly feels the crowd.
  const double crowd = priority(held) == 3 ? 1 : fleet_.stretch * (rules_.may_stop ? 1.0 : 1.5);
  const double pace = std::max(1.0, type.best_pace * crowd);
  const bool hopeless = now + from_ms(ideal_ms(held) * pace) > held.sla_end;
  if (held.end <= now) return give_up(now, held, GiveUpReason::time_is_up);
  if (costly) return give_up(now, held, GiveUpReason::costly);
  if (hopeless) return give_up(now, held, GiveUpReason::hopeless);
  if (held_.size() >= longest_queue) return give_up(now, held, GiveUpReason::queue_full);
  held.held = true, held_[held.turn] = job.id, place_newcomer(now, held);
}

void WorkloadManager::job_withdrawn(Span now, JobId id) {
  if (!jobs_.contains(id)) return;
  over(jobs_.at(id)), forget_if_done(id), release(now);
}

// Guards against work for clients that have gone by the time it begins. What is out goes on, since a client
// whose connection broke calls again.
void WorkloadManager::caller_left(Span now, JobId id) {
  const auto at = jobs_.find(id);
  if (at != jobs_.end() && !at->second.away_since) at->second.away_since = now;
}

void WorkloadManager::caller_came(Span now, JobId id) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || !at->second.away_since) return;
  at->second.away_since.reset(), release(now);
}

void WorkloadManager::heard(Span now, JobId id, int number) {
  if (Dispatch* dispatch = find(id, number)) engines_[dispatch->engine].last_word = dispatch->last_note = now;
}

void WorkloadManager::stream_started(Span now, JobId id, int number) {
  heard(now, id, number);
  if (jobs_.contains(id)) jobs_.at(id).streaming = true;
}

void WorkloadManager::progress_told(Span now, JobId id, int number, double share_done) {
  heard(now, id, number);
  if (!find(id, number) || !rules_.may_stop) return;
  const HeldJob& held = jobs_.at(id);
  Dispatch& dispatch = *find(id, number);
  const TypeFigures& type = types_[held.job.type.value];
  if (held.over || !dispatch.out || dispatch.stopping || type.type.effect != Effect::restartable) return;
  if (dispatch.behind_load) return share_done > 0 ? void() : wait_told(now, id, number, Wait::load);
  const double elapsed_ms = in_ms(now - dispatch.sent);
  const double whole_ms = elapsed_ms / std::max(share_done, 0.002);
  const double usual_ms = ideal_ms(held) * type.best_pace * std::max(1.0, fleet_.stretch);
  // Guards against a bad plan, or whatever is drawn anew for each dispatch: where one takes six times the
  // usual (beyond any estimate's scatter) and a new one would come sooner, start it again.
  if (whole_ms > 6 * usual_ms && whole_ms - elapsed_ms > 2 * usual_ms && may_begin(held)) {
    dispatch.stopping = true;
    host_.stop_dispatch(id, number);
  }
}

void WorkloadManager::spill_told(Span now, JobId id, int number, double missing_mb) {
  heard(now, id, number);
  if (!find(id, number)) return;
  const Job& job = jobs_.at(id).job;
  const double estimate = job.memory_mb.value_or(0), grant = find(id, number)->grant;
  if (estimate <= 0 || grant < estimate) return;  // not the estimate's fault
  double& bias = types_[job.type.value].memory_bias;
  // Guards against estimates that lie low by type: a fiftieth of the way, as answers teach, to half over at
  // most, since an engine that is short makes jobs spill too.
  bias = std::min(bias + ((grant + missing_mb) / estimate - bias) / 50, 1.5);
}

void WorkloadManager::dispatch_ended(Span now, JobId id, int number, Outcome outcome, Span elapsed,
                                     bool finished, std::optional<double> work_ms,
                                     std::optional<double> memory_mb, const LoadReport& load) {
  if (!find(id, number)) return;
  HeldJob& held = jobs_.at(id);
  Dispatch& dispatch = held.dispatches[number];
  dispatch.out = false, held.out -= 1;
  Engine& engine = engines_[dispatch.engine];
  TypeFigures& type = types_[held.job.type.value];
  // Exception: where nothing can be called off, what times out runs on, and keeps its grant for as long as it
  // would take at the engine's pace. Guards against engines that are filled up again and again with work that
  // nobody waits for; harms where answers were lost, by an engine that is used less for as long.
  const double more_ms = ideal_ms(held) * std::max(1.0, engine.pace.stretch);
  const Span until = now + std::min(from_ms(more_ms), type.type.job_timeout);
  const bool runs_on = outcome == Outcome::timed_out && !rules_.may_stop;
  engine.runs_on.push_back({runs_on ? until : Span::min(), dispatch.grant, dispatch.threads});
  let_go(engine, Span::min());
  engine.dispatches -= 1, engine.out.erase({dispatch.sent, {id, number}});
  if (engine.protecting) {
    const double floor = capacity(engine) / std::max(8.0, slots(now, engine));
    engine.protected_bytes = std::min(floor, engine.protected_bytes + dispatch.grant);
  }
  if (dispatch.trial) engine.trying = false;
  if (type.type.holds_data && --engine.loads[held.job.data_set] <= 0) engine.loads.erase(held.job.data_set);
  heed(now, engine, load);

  if (outcome == Outcome::done) {
    engine.last_word = now, engine.strikes = 0, engine.on_trial &= engine.error_rate > 0.2;
    engine.error_rate *= 0.9;  // a memory of about ten dispatches
    // What jobs needed corrects the estimates of their type, over some fifty of them, or stands in for them.
    const Job& job = held.job;
    if (!job.work_ms) take_in(work_ms.value_or(in_ms(elapsed) * type.type.threads), type.usual_work_ms);
    else if (work_ms) type.work_bias += (std::clamp(*work_ms / *job.work_ms, 0.2, 5.0) - type.work_bias) / 50;
    if (memory_mb && !job.memory_mb) take_in(*memory_mb, type.usual_memory_mb);
    else if (memory_mb) type.memory_bias += (*memory_mb / *job.memory_mb - type.memory_bias) / 50;
    if (type.type.waits_for_load) engine.told_held.erase(job.data_set);
    learn(engine, held, dispatch, elapsed);
  } else if (outcome == Outcome::error || outcome == Outcome::reset) {
    const bool error = outcome == Outcome::error;
    if (error) engine.last_word = now;
    // A reset counts half, as often the network's; where a job errs on a second engine, neither is to blame.
    dispatch.fault = (error ? 0.1 : 0.05) * (1 - engine.error_rate);
    for (Dispatch& one : held.dispatches) {
      if (one.fault == 0 || one.engine == dispatch.engine) continue;
      const auto at = engines_.find(one.engine);
      if (at != engines_.end()) at->second.error_rate -= std::clamp(one.fault, 0.0, at->second.error_rate);
      one.fault = dispatch.fault = -1;
    }
    engine.error_rate += std::max(dispatch.fault, 0.0);
    if (engine.error_rate > 0.3 || (engine.on_trial && error)) sign_of_trouble(now, engine, Trouble::errors);
  } else if (outcome == Outcome::full) {
    engine.last_full = now;  // no word: one that hangs is full, too
    engine.pace.open = std::max(engine.pace.open * 0.8, 0.25);
  } else if (outcome == Outcome::unreachable) {
    let_go(engine, Span::max());  // it has died, with what ran there
    sign_of_trouble(now, engine, Trouble::unreachable);
  } else if (outcome == Outcome::timed_out && engine.last_word < dispatch.sent) {
    sign_of_trouble(now, engine, Trouble::unanswered);
  }

  if (!proves_not_run(outcome) && outcome != Outcome::done && !held.first_doubt) {
    held.first_doubt = dispatch.sent;
    held.doubt_zone = engine.listed.zone, held.doubt_cell = engine.listed.cell;
  }
  const bool sure = proves_not_run(outcome) || outcome == Outcome::done || outcome == Outcome::error;
  if (held.job.key && type.type.in_order && !sure) {
    OrderLine& line = lines_[*held.job.key];
    line.rests_until = std::max(line.rests_until, now + rules_.order_rest);
    host_.wake_in(rules_.order_rest + rules_.round, beat_mark + 2);
  }
  if (finished) {
    over(held);
  } else if (!held.over && held.out == 0) {
    held.held = true, held_[held.turn] = id;
    const bool refused = outcome == Outcome::never_sent && !held.away_since;  // else it was taken back
    if (now >= held.end) return give_up(now, held, GiveUpReason::time_is_up), release(now);
    if (refused) return give_up(now, held, GiveUpReason::not_taken), release(now);
    if (spent(now, held)) return give_up(now, held, GiveUpReason::spent), release(now);
  }
  forget_if_done(id), release(now);
}

void WorkloadManager::wait_told(Span now, JobId id, int number, Wait wait) {
  heard(now, id, number);
  Dispatch* dispatch = find(id, number);
  if (!dispatch || wait != Wait::load) return;
  HeldJob& held = jobs_.at(id);
  dispatch->behind_load = true;
  // Guards against other managers' loads, which only this tells of: for the usual time of a load, the engine
  // comes last for jobs on that data set, and what has found it held goes elsewhere while it has a dispatch.
  const DataSetId data_set = held.job.data_set;
  double usual = 0;
  for (const TypeFigures& type : types_)
    if (type.type.holds_data) usual = std::max(usual, type.usual_work_ms.value / type.type.threads);
  engines_[dispatch->engine].told_held[data_set] = now + from_ms(usual * std::max(1.0, fleet_.stretch));
  const bool may_move = rules_.may_stop && !held.over && dispatch->out && !dispatch->stopping &&
                        may_begin(held) && type_of(held).effect == Effect::restartable;
  if (may_move && std::ranges::any_of(engines_, [&](const auto& one) {
        return !data_held(now, one.second, data_set) && may_go_to(now, held, one.second);
      })) {
    dispatch->stopping = true;
    host_.stop_dispatch(id, number);
  } else if (crammed()) {
    give_up(now, held, GiveUpReason::crammed);
  }
}

bool WorkloadManager::data_held(Span now, const Engine& engine, DataSetId data_set) const {
  const auto told = engine.told_held.find(data_set);
  return engine.loads.contains(data_set) || (told != engine.told_held.end() && now < told->second);
}

// What runs on up to `until` no longer has its grant.
void WorkloadManager::let_go(Engine& engine, Span until) {
  std::erase_if(engine.runs_on, [&](const Engine::RunsOn& one) {
    if (one.until > until) return false;
    engine.live_bytes -= one.grant, engine.live_threads -= one.threads;
    return true;
  });
}

void WorkloadManager::probe_ended(Span now, EngineId id, Outcome outcome, Span, const LoadReport& load) {
  if (engines_.contains(id) && outcome == Outcome::done) heed(now, engines_.at(id), load);
  release(now);
}

void WorkloadManager::woken(Span now, std::uint64_t mark) {
  if (mark == beat_mark) beat(now);
  if (mark == subscribe_mark) host_.subscribe_list();
  if (const auto turn = turns_.find(mark); turn != turns_.end()) {
    HeldJob& held = jobs_.at(turn->second);
    if (!held.over && !held.streaming && now >= held.end) give_up(now, held, GiveUpReason::time_is_up);
  } else if (mark >= job_marks) {
    return;  // its job has gone: nothing is free by that
  }
  release(now);
}

// The program ends before these jobs would: each gets its final answer now.
void WorkloadManager::closing(Span now) {
  for (auto it = turns_.begin(); it != turns_.end();)
    give_up(now, jobs_.at((it++)->second), GiveUpReason::ending);
}

// ---- Rules ----

bool WorkloadManager::may_throttle(Span now, const HeldJob& held) const {
  const ReservationType& type = type_of(held);
  if (type.effect == Effect::restartable) return true;
  if (held.out == 0 && !held.first_doubt) return true;
  if (type.effect == Effect::run_once || type.reach != Reach::all) return false;
  const Span first = held.first_doubt ? *held.first_doubt : held.dispatches.front().sent;
  return now < first + type.repeat_window;
}

// Nothing may follow the dispatches that it had, whatever comes.
bool WorkloadManager::spent(Span now, const HeldJob& held) const {
  const ReservationType& type = type_of(held);
  if (static_cast<int>(held.dispatches.size()) >= rules_.most_dispatches) return true;
  if (!held.first_doubt || type.effect == Effect::restartable) return false;
  // Two rounds short of the window: clocks are read a round apart.
  return type.effect == Effect::run_once || now + 2 * rules_.round >= *held.first_doubt + type.repeat_window;
}

// Dispatches past the first: two at once only for a restartable job, and within the ration.
bool WorkloadManager::may_go(Span now, const HeldJob& held) {
  const ReservationType& type = type_of(held);
  // Not within a round of its end: what is on its way then could come to its engine after the final answer.
  if (held.over || held.streaming || now + rules_.round >= held.end || spent(now, held)) return false;
  if (!may_begin(held)) return false;
  if (held.out > 0 && (!rules_.second_copies || type.effect != Effect::restartable)) return false;
  if (held.job.key && type.in_order) {
    const OrderLine& line = lines_.at(*held.job.key);
    if (line.jobs.front() != held.job.id) return false;
    if (held.dispatches.empty() && now < line.rests_until) return false;
  }
  return held.dispatches.empty() || within_ration(now);
}

bool WorkloadManager::within_ration(Span now) {
  if (!rules_.ration_window) return true;
  // A job taken just at the window's edge is not counted, a dispatch there is.
  const Span from = now - *rules_.ration_window;
  while (!taken_.empty() && taken_.front() <= from + rules_.round) taken_.pop_front();
  while (!resent_.empty() && resent_.front() < from - rules_.round) resent_.pop_front();
  const double earned = rules_.ration_few + rules_.ration_share * static_cast<double>(taken_.size());
  return static_cast<double>(resent_.size()) + 1 <= earned;
}

bool WorkloadManager::may_go_to(Span now, const HeldJob& held, const Engine& engine) const {
  const ReservationType& type = type_of(held);
  if (!engine.known_up) return false;
  const auto named = [](const auto& allowed, auto id) {
    return !allowed || std::ranges::count(*allowed, id);
  };
  if (!named(type.zones, engine.listed.zone) || !named(type.kinds, engine.listed.kind)) return false;
  if (held.first_doubt && type.effect == Effect::keyed) {
    if (type.reach == Reach::zone && engine.listed.zone != held.doubt_zone) return false;
    if (type.reach == Reach::cell && engine.listed.cell != held.doubt_cell) return false;
  }
  // A trial is one short job: a long one would keep the engine waiting for its verdict.
  if (now < engine.closed_until) return false;
  if (engine.on_trial && (engine.trying || priority(held) < 2)) return false;
  const EngineId id = engine.listed.id;  // no copy to where the job is still out
  return std::ranges::none_of(held.dispatches, [&](auto& d) { return d.out && d.engine == id; });
}

// Whether a cold engine may be sent this job: any warm one may.
bool WorkloadManager::cold_allows(Span now, const Engine& engine, const HeldJob& held) const {
  if (!cold(now, engine)) return true;
  const Span window = rules_.tip_window;
  const auto room = [&](double most, Span within, double work) {
    for (const auto& [sent, counted] : engine.cold_sends)
      if (sent >= now - within - rules_.round) work += counted;
    return work <= most;
  };
  const bool turns = by_turns(now, engine);
  const double whole = cold_budget(engine);
  const double lost = now < window ? 0.5 : 1;  // its last life may have spent some
  if (room(whole / rules_.managers * (turns ? 0.5 : 1) * lost, window, usual_work(held))) return true;
  if (!turns) return false;
  // Exception: where an even part is less than a job, managers take turns at the engine: six new ones in a
  // window at a sixteenth of the budget, which last one, and one at a quarter (each eighth at half), which
  // lasts two; what is not used is lost. All used to the last come to two thirds of the budget.
  if (own_turn(now, engine, 6, window) && room(whole / 16, window, cold_work(held))) return true;
  const auto turn = own_turn(now, engine, 1, 2 * window);
  return turn && room(whole / (*turn % 8 == 0 ? 2 : 4), 2 * window, cold_work(held));
}

// The number of the own turn that lasts now, where all managers have theirs in the order of their numbers, so
// many new ones a window, from the engine's listed start, which all know.
std::optional<std::uint64_t> WorkloadManager::own_turn(Span now, const Engine& engine, int a_window,
                                                       Span lasts) const {
  const Span since_start = now - *engine.listed.online_since;
  if (since_start < Span(0)) return std::nullopt;
  const auto passed = static_cast<std::uint64_t>(since_start * a_window / rules_.tip_window);
  const auto all = static_cast<std::uint64_t>(rules_.managers);
  // Whose turn is number 0, backwards.
  const auto first = shared_hash(DataSetId{a_window}, engine.listed.id) % all;
  const auto own = (first + static_cast<std::uint64_t>(rules_.own_number)) % all;
  const std::uint64_t back = (passed + all - own) % all;  // how many turns ago the own one began
  if (back > passed) return std::nullopt;
  const auto number = static_cast<Span::rep>(passed - back);
  const Span began = *engine.listed.online_since + number * rules_.tip_window / a_window;
  // A turn that began before this manager did may have been used by its last life.
  if (began < Span(0) || now - began > lasts) return std::nullopt;
  return passed - back;
}

// What all managers may send it in a window. Four fifths of the stated budget: speeds and learned means are
// uncertain, but not all managers send at once, and an engine soon does more than it starts with.
double WorkloadManager::cold_budget(const Engine& engine) const {
  return 0.8 * rules_.tip_multiple * rules_.cold_from * kind_of(engine).cores * in_ms(rules_.tip_window);
}

// Whether an engine is cold, and an even part of its budget less than a job of some type.
bool WorkloadManager::by_turns(Span now, const Engine& engine) const {
  if (!cold(now, engine)) return false;
  const double part = cold_budget(engine) / rules_.managers;
  return std::ranges::any_of(types_, [&](const TypeFigures& one) { return usual_work(one) > part; });
}

// Cold counts from the listed start, or from when the list told of it if that came late.
bool WorkloadManager::cold(Span now, const Engine& engine) const {
  if (rules_.tip_multiple <= 0 || rules_.tip_window <= Span(0) || !engine.listed.online_since) return false;
  const Span start = *engine.listed.online_since;
  return now < std::max(start, std::min(engine.told, start + seconds(5))) + rules_.cold_lasts;
}

void WorkloadManager::over(HeldJob& held) {
  held.over = true, held.held = false, held_.erase(held.turn);
  for (auto& [id, engine] : engines_)
    if (engine.protecting && engine.protected_for == held.job.id) engine.protecting = false;
  if (!rules_.may_stop) return;
  for (std::size_t i = 0; i < held.dispatches.size(); ++i) {
    Dispatch& dispatch = held.dispatches[i];
    if (!dispatch.out || dispatch.stopping) continue;
    dispatch.stopping = true;
    host_.stop_dispatch(held.job.id, static_cast<int>(i));
  }
}

void WorkloadManager::forget_if_done(JobId id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || !it->second.over || it->second.out > 0) return;
  const HeldJob& held = it->second;
  if (held.job.key && type_of(held).in_order) std::erase(lines_[*held.job.key].jobs, id);
  turns_.erase(held.turn), jobs_.erase(it);
}

// ---- The ordinary path: ledger, slots, floor, headroom ----

double WorkloadManager::capacity(const Engine& engine) const {
  const double memory = kind_of(engine).memory_mb;
  double usual = 0;
  for (const TypeFigures& type : types_)
    usual = std::max(usual, type.usual_memory_mb.value * type.memory_bias);
  double most = std::max(memory * share_, std::min(memory, 2 * usual));
  // Exception: where engines tell the share of memory granted, the ledger goes by what the others leave. Half
  // of what is free beyond its own part is this manager's, since others read the same report.
  if (engine.others_bytes) {
    const double left = std::max(memory - *engine.others_bytes, 0.1 * memory);
    most = std::min(left, std::max(most, engine.live_bytes + (left - engine.live_bytes) / 2));
  }
  return most;
}

double WorkloadManager::ideal_ms(const HeldJob& held) const {
  const TypeFigures& type = types_[held.job.type.value];
  return held.work_ms * type.work_bias / type.type.threads;
}

double WorkloadManager::need_mb(const HeldJob& held) const {
  const TypeFigures& type = types_[held.job.type.value];
  const double estimate = held.job.memory_mb.value_or(0);
  // An eighth over the estimate: half of what engines choose by themselves, since the bias is learned.
  return estimate > 0 ? 1.125 * type.memory_bias * estimate : type.usual_memory_mb.value;
}

double WorkloadManager::slots(Span now, const Engine& engine) const {
  const double learned = engine.even_slots * (pooled(engine) ? fleet_.open : engine.pace.open);
  return now < engine.told_at + seconds(2) ? std::max(learned, engine.told_slots) : learned;
}

// Exception: where engines' slots are less than one job of the largest type, such parts make one pool,
// lest many managers' single jobs add up past what the engines bear. Cold engines with turns stand outside: a
// turn is all that a manager may use of them, else their parts would go to the warm ones beside.
double WorkloadManager::pool_room(Span now, double part) const {
  double room = 0;
  int live = 0;
  for (const auto& [id, engine] : engines_) {
    const double own = slots(now, engine);
    if (!engine.known_up || engine.on_trial || own >= largest_threads_ || by_turns(now, engine)) continue;
    room += part * own - engine.live_threads;
    live += engine.live_threads;
  }
  return std::max<double>(room, largest_threads_ - live);
}

// The grant that the job would get there, or nothing where the ledger has no room.
std::optional<double> WorkloadManager::grant_on(Span now, const Engine& engine, const HeldJob& held) const {
  const double whole = capacity(engine), open = slots(now, engine);
  const double cap = rules_.grant_cap * kind_of(engine).memory_mb;
  const double need = std::min(need_mb(held), cap);
  const int threads = engine.live_threads + type_of(held).threads;
  // The ledger binds from twice the best, where SLA times are at risk, after full, and at the last slots.
  if (engine.pace.stretch <= 2 && now >= engine.last_full + seconds(2) && threads < open)
    return need > 0 ? need : std::min(whole / 8, cap);
  // Exception: a job of the highest priority, soon gone, may overrun the slots by half, within the bytes of
  // the engine, so that long jobs that fill the ledgers don't shut out what pays most for its engine time.
  if (need > 0 && priority(held) == 3 && threads <= 1.5 * open + 1) {
    if (need <= kind_of(engine).memory_mb - engine.live_bytes - engine.others_bytes.value_or(0)) return need;
  }
  const bool kept = engine.protecting && engine.protected_for != held.job.id;
  int left = std::max(static_cast<int>(open), largest_threads_) - threads;
  if (kept) left -= type_of(jobs_.at(engine.protected_for)).threads;
  const double floor = whole / std::max(8.0, open);
  const double bare = whole - engine.live_bytes - (kept ? engine.protected_bytes : 0);
  const double most = std::min(bare - floor * std::max(left, 0), cap);
  if (left < 0 || most < floor) return std::nullopt;
  if (need <= 0) return most;
  // Exception: headroom yields to an estimate, since a spill costs more than a slot without bytes; where even
  // that is too little, the job waits, but for one that would not fit an empty ledger either.
  if (need > std::min(bare, cap) && engine.live_bytes > 0) return std::nullopt;
  return std::clamp(need, floor, std::min(bare, cap));
}

double WorkloadManager::density(const HeldJob& held) const {
  const TypeFigures& type = types_[held.job.type.value];
  double value = std::max(type.type.billed_value, 1e-9);
  // No manager knows all of a customer's traffic: its part of this manager's is held against its share.
  if (const int customer = held.job.customer.value; customer >= 0) {
    const double fair = customer_portion_[customer] * job_rate_;
    const double beyond = std::max(0.0, 1 - fair / std::max(customer_rate_[customer], 1e-9));
    value *= 1 - beyond * (1 - rules_.over_share_value);
  }
  return value / std::max(held.work_ms * type.work_bias, 1e-3);
}

// Short work first on scarce cores and disks: more is answered in time. Steps follow the ranks' scale.
int WorkloadManager::priority(const HeldJob& held) const {
  const double size = held.work_ms / std::max(mean_work_ms_.value, 1e-6);
  return size < 0.5 ? 3 : size < 2 ? 2 : size < 6 ? 1 : 0;
}

// A job that comes frees no room, so what waits goes on to wait: only its own place is looked for. Guards
// against overload, in which a scan of the queue for each job that comes takes all of the processor.
void WorkloadManager::place_newcomer(Span now, HeldJob& newcomer) {
  if (!may_go(now, newcomer) || !place(now, newcomer)) return;
  bool over_budget = false;
  for (const auto& [turn, id] : held_) {
    HeldJob& older = jobs_.at(id);
    if (may_go(now, older)) over_budget |= ++older.overtaken == overtake_budget + 1;
  }
  if (over_budget) release(now);
}

void WorkloadManager::release(Span now) {
  std::vector<HeldJob*> passed;
  std::map<std::pair<TypeId, int>, double> blocked;  // least need that found no room in this scan
  for (auto it = held_.begin(); it != held_.end();) {
    HeldJob& held = jobs_.at(it->second);
    ++it;
    if (!may_go(now, held)) continue;
    // What asks no less than a like job just blocked is blocked too: long queues stay cheap to scan.
    const auto like = blocked.find({held.job.type, priority(held)});
    const bool sure = like != blocked.end() && held.dispatches.empty() && need_mb(held) >= like->second;
    if (sure || !place(now, held)) {
      passed.push_back(&held);
      if (!sure && held.dispatches.empty()) blocked[{held.job.type, priority(held)}] = need_mb(held);
      continue;
    }
    for (HeldJob* older : passed) older->overtaken += 1;
  }
  for (HeldJob* waiter : passed) {
    if (waiter->overtaken <= overtake_budget) continue;
    Engine* chosen = nullptr;
    bool has_one = false;
    for (auto& [id, engine] : engines_) {
      if (engine.protecting && engine.protected_for == waiter->job.id) {
        if (may_go_to(now, *waiter, engine)) has_one = true;
        else engine.protecting = false;  // retargeted when the engine closes
      } else if (!engine.protecting && may_go_to(now, *waiter, engine) &&
                 (!chosen || capacity(engine) - engine.live_bytes > capacity(*chosen) - chosen->live_bytes)) {
        chosen = &engine;
      }
    }
    if (has_one || !chosen) continue;
    chosen->protecting = true, chosen->protected_bytes = 0, chosen->protected_for = waiter->job.id;
  }
}

bool WorkloadManager::place(Span now, HeldJob& held) {
  const TypeFigures& type = types_[held.job.type.value];
  const bool full = pool_room(now, priority(held) == 3 ? 1.5 : 1) < type.type.threads;
  // Homes, agreed on without a word: the first engine of all by the data set's hash and the first of the own
  // zone, and more where it draws so many jobs that its homes would bear over twice what others do.
  std::vector<std::uint64_t> homes;
  std::uint64_t near_home = 0;
  for (const auto& [id, engine] : engines_) {
    if (!engine.known_up) continue;
    homes.push_back(shared_hash(held.job.data_set, id));
    if (engine.listed.zone == rules_.zone) near_home = std::max(near_home, homes.back());
  }
  const double drawn = data_sets_[held.job.data_set] / (data_sets_drawn_ + 20) * 2.0 * homes.size();
  const std::size_t wanted = std::min<std::size_t>(std::max(1.0, drawn), homes.size());
  std::ranges::sort(homes, std::greater());
  const std::uint64_t least_home = homes.empty() ? 0 : homes[wanted - 1];
  // Exceptions: in a pool, where no ledger shows what all managers send together, homes are heeded half of
  // the time, more as answers from homes come quicker than others and never where they take a third longer;
  // and the own zone is left as answers there take longer than others, always at half as long again. Guards
  // against zones and data sets that draw more than their part from managers with a job or two each.
  const double homely = 0.5 + 2 * (paces_.away / paces_.home - 1), crowd = paces_.near / paces_.far;
  const bool heeds_homes = std::generate_canonical<double, 32>(chance_) < homely;
  const bool anywhere = std::generate_canonical<double, 32>(chance_) < 2 * (crowd - 1);
  Engine* best = nullptr;
  double best_grant = 0;
  bool best_home = false;
  std::tuple<double, int, double, std::uint64_t> best_rank{};
  // Exception: ties go round from this manager's place in the list, lest fresh ledgers pick the lowest id.
  const std::uint64_t count = engines_.size();
  std::uint64_t turn = count - 1 - count * static_cast<std::uint64_t>(rules_.own_number) / rules_.managers;
  for (auto& [id, engine] : engines_) {
    turn = (turn + 1) % count;
    const bool by_turn = by_turns(now, engine);
    const bool barred = full && !by_turn && slots(now, engine) < largest_threads_;
    if (barred || !may_go_to(now, held, engine)) continue;
    if (!cold_allows(now, engine, held)) continue;
    const std::optional<double> grant = grant_on(now, engine, held);
    if (!grant) continue;
    // Spare bytes after the grant. Exceptions: a slow engine counts in proportion, a cold one at which this
    // manager has its turn twice; the data's homes up to a quarter more; another zone less, by what
    // crossing costs its work; where a load holds the data, last.
    const double whole = capacity(engine);
    double health = std::clamp(fleet_.stretch / engine.pace.stretch, 0.2, 1.1);
    const double warmed = cold(now, engine) ? (now - engine.told) / (1.0 * rules_.cold_lasts) : 1;
    health *= by_turn ? 2 : rules_.cold_from + (1 - rules_.cold_from) * std::min(warmed, 1.0);
    double spare = whole * health - engine.live_bytes - *grant;
    const double size = held.work_ms / std::max(mean_work_ms_.value, 1e-6);
    const std::uint64_t hash = shared_hash(held.job.data_set, id);
    const bool home = hash >= least_home || hash == near_home;
    if (!type.type.waits_for_load && home && (heeds_homes || !pooled(engine))) spare += 0.25 * whole;
    const double crossing = std::min(0.25, rules_.crossing_price / std::max(size, 1e-3));
    if (engine.listed.zone != rules_.zone && !(anywhere && pooled(engine))) spare -= crossing * whole;
    if ((type.type.waits_for_load || type.type.holds_data) && data_held(now, engine, held.job.data_set))
      spare -= whole;
    if (now < engine.last_full + seconds(2)) spare -= whole;  // others are tried first
    for (const Dispatch& earlier : held.dispatches)
      if (earlier.engine == id) spare -= whole;  // one that has just failed the job comes last
    // Exception: in a pool a job's need sets all ledgers alike: machines are passed over as they are smaller.
    const double part = kind_of(engine).memory_mb / most_memory_;
    if (part < 1 && pooled(engine) && std::generate_canonical<double, 32>(chance_) > part) spare -= whole;
    const std::tuple rank{-spare, engine.dispatches, engine.live_bytes, turn};
    if (best && rank >= best_rank) continue;
    best = &engine, best_grant = *grant, best_home = home, best_rank = rank;
  }
  if (best) send(now, held, *best, best_grant, best_home);
  return best != nullptr;
}

void WorkloadManager::send(Span now, HeldJob& held, Engine& engine, double grant, bool home) {
  const TypeFigures& type = types_[held.job.type.value];
  held_.erase(held.turn), held.held = false, held.overtaken = 0;
  if (engine.protecting && engine.protected_for == held.job.id) engine.protecting = false;
  if (!held.dispatches.empty() && rules_.ration_window) resent_.push_back(now);
  const int number = static_cast<int>(held.dispatches.size());
  Dispatch dispatch{engine.listed.id, now, now, grant, type.type.threads};
  engine.live_bytes += grant, engine.live_threads += dispatch.threads, engine.dispatches += 1;
  engine.out.insert({now, {held.job.id, number}});
  if (type.type.holds_data) engine.loads[held.job.data_set] += 1;
  if (engine.on_trial) engine.trying = dispatch.trial = true;
  dispatch.home = home;
  // No turn looks back further.
  std::erase_if(engine.cold_sends, [&](auto& s) { return s.first < now - 3 * rules_.tip_window; });
  const double counted = by_turns(now, engine) ? cold_work(held) : usual_work(held);
  if (cold(now, engine)) engine.cold_sends.push_back({now, counted});
  held.out += 1, held.dispatches.push_back(dispatch);
  if (rules_.takes_grants || rules_.takes_priority) {
    host_.set_terms(held.job.id, rules_.takes_grants ? grant : 0, priority(held));
  }
  // Guards against repeats that wait for a connection and leave when they are not known as such any more.
  if (held.first_doubt && type.type.effect == Effect::keyed) {
    const Span last = *held.first_doubt + type.type.repeat_window - rules_.round;
    host_.must_leave_within(held.job.id, std::max(last - now, Span(1)));
  }
  host_.dispatch(held.job.id, engine.listed.id, Span(0));
}

// ---- Health ----

// Whether all but one in twenty take more than twice their estimate. Guards against calling it crowded where
// only warm data makes the best pace better than the usual one.
bool WorkloadManager::slow() const {
  return std::ranges::any_of(types_, [](const TypeFigures& type) { return type.slow_pace > 2; });
}

// A long dispatch tells more of an engine than a short one, which its priority hides from the crowd.
double WorkloadManager::weight(const HeldJob& held) const {
  return 0.01 + 0.19 * std::min(1.0, held.work_ms / std::max(2 * mean_work_ms_.value, 1e-6));
}

// What the job's type usually needs; until anything is known of it, its whole SLA time on all its threads.
double WorkloadManager::usual_work(const TypeFigures& type) const {
  const double learned = type.usual_work_ms.value * type.work_bias;
  return learned > 0 ? learned : in_ms(type.type.sla_time) * type.type.threads;
}

// What counts against a turn at a cold engine: the estimate, or without one what its type usually needs.
double WorkloadManager::cold_work(const HeldJob& held) const {
  const double estimate = held.work_ms * std::max(1.0, types_[held.job.type.value].work_bias);
  return held.job.work_ms ? estimate : std::max(estimate, usual_work(held));
}

// Under a quarter of its type's usual work, most of a job's time is not work.
bool WorkloadManager::tiny(const HeldJob& held) const {
  return ideal_ms(held) <= 0 || ideal_ms(held) * type_of(held).threads < usual_work(held) / 4;
}

// Answers from homes beside others, and from the own zone beside others.
void WorkloadManager::compare(const Engine& engine, const Dispatch& dispatch, double sample, double part) {
  double& by_home = dispatch.home ? paces_.home : paces_.away;
  double& by_zone = engine.listed.zone == rules_.zone ? paces_.near : paces_.far;
  by_home += part * (std::min(sample, 2 * by_home) - by_home);
  by_zone += part * (std::min(sample, 2 * by_zone) - by_zone);
}

void WorkloadManager::learn(Engine& engine, const HeldJob& held, const Dispatch& dispatch, Span elapsed) {
  TypeFigures& type = types_[held.job.type.value];
  // Guards against slowness that is not the engine's: a job behind a load says nothing of it, nor does one
  // that is very short for its type, since most of its time is not work.
  if (dispatch.behind_load || tiny(held)) return;
  const double pace = in_ms(elapsed) / ideal_ms(held);
  // Quantiles by steps: each settles where the steps down and up balance, at 10% and 95%.
  type.best_pace *= pace < type.best_pace ? 0.955 : 1.005;
  type.slow_pace *= pace > type.slow_pace ? 1.0475 : 0.9975;
  const double sample = std::clamp(pace / type.best_pace, 0.5, 20.0);
  engine.pace.stretch += weight(held) * (sample - engine.pace.stretch);
  compare(engine, dispatch, sample, weight(held));
  // The slot limit follows: up while used and answers come near their best, down from one and a half times
  // that. The least is where all even parts make one thread a core; two in a pool, which is used unevenly.
  const auto follow = [&](Pace& of, double even, int live) {
    if (of.stretch > 1.5 && slow()) of.open *= 1 - 0.15 * weight(held);
    else if (live > 0.7 * even * of.open)
      of.open += weight(held) * std::max(0.15 * of.open, std::min(1 / even, 0.25));
    of.open = std::clamp(of.open, &of == &fleet_ ? 0.5 : 0.25, 1.5);
  };
  follow(engine.pace, engine.even_slots, engine.live_threads);
  // The fleet's goes by all answers; a few sick engines should not lower it, so none counts over twice.
  fleet_.stretch += weight(held) * (std::min(sample, 2 * fleet_.stretch) - fleet_.stretch);
  follow(fleet_, fleet_even_, fleet_live_);
}

void WorkloadManager::sign_of_trouble(Span now, Engine& engine, Trouble why) {
  if (now < engine.closed_until) return;
  const bool sure = why == Trouble::unreachable;
  // Never more than a third of the fleet on suspicion alone: the rest would be overrun by what all share.
  int up = 0, closed = 0;
  for (const auto& [id, other] : engines_) {
    up += other.known_up;
    closed += other.known_up && (now < other.closed_until || other.on_trial);
  }
  if (!sure && !engine.on_trial && (up < 2 || closed + 1 > std::max(1, up / 3))) return;
  engine.strikes = std::min(engine.strikes + 1, 5);
  // Half a second, doubled with each failed trial up to eight: soon back from a blip, cheap on a dead engine.
  engine.closed_until = now + milliseconds(250) * (1 << engine.strikes), engine.on_trial = true;
  engine.trouble = why;
  host_.remark("engine " + std::to_string(engine.listed.id.value) + " is left out");
}

// Looks for dispatches that are overdue, on an engine that says nothing or by themselves.
void WorkloadManager::look_after(Span now, Engine& engine) {
  int silent = 0;
  std::vector<std::pair<JobId, int>> lost;
  for (const auto& [sent, which] : engine.out) {
    const HeldJob& held = jobs_.at(which.first);
    const Dispatch& dispatch = held.dispatches[which.second];
    // Twice what all but one in twenty take. Where notes tell of progress, they have to be missing, too.
    const Span usual = from_ms(std::max(2 * ideal_ms(held) * types_[held.job.type.value].slow_pace, 150.0));
    const Span quiet = now - dispatch.last_note, notes = rules_.tells_every;
    const bool late =
        now - sent > usual && (notes <= Span(0) || quiet > std::min(3 * notes / 2, now - sent - Span(1)));
    if (!late && (notes <= Span(0) || quiet < 5 * notes / 2)) continue;
    lost.push_back(which);
    // One is a sign by itself only when twice as late: a quiet manager hears too little to tell.
    if (engine.last_word <= sent + milliseconds(20)) silent += now - sent > 2 * usual ? 2 : 1;
  }
  if (silent > 1) sign_of_trouble(now, engine, Trouble::silent);
  if (now < engine.closed_until) lost.clear();
  for (const auto& [sent, which] : engine.out)
    if (now < engine.closed_until) lost.push_back(which);
  // Guards against engines that answer nothing, and answers that get lost while the engine looks well.
  for (const auto& [id, number] : lost) {
    HeldJob& held = jobs_.at(id);
    Dispatch& dispatch = held.dispatches[number];
    const Effect effect = type_of(held).effect;
    if (held.over || held.held || held.streaming || dispatch.stopping || dispatch.overdue) continue;
    if (effect == Effect::run_once || !may_begin(held)) continue;
    // No storm: rescues from engines that answer others are earned, one by ten jobs taken.
    if (now >= engine.closed_until && rescues_due_ < 1) continue;
    const bool copy = rules_.second_copies && effect == Effect::restartable;
    if (!copy && !rules_.may_stop) continue;
    (copy ? dispatch.overdue : dispatch.stopping) = true;
    if (copy) held.held = true, held_[held.turn] = id;
    else host_.stop_dispatch(id, number);
    if (now >= engine.closed_until) rescues_due_ -= 1;
  }
}

// Others' part of the engine's memory, where it tells: the one thing that separate ledgers cannot add up.
void WorkloadManager::heed(Span now, Engine& engine, const LoadReport& load) {
  if (engine.listed.kind.value < 0) return;
  // Exception: where engines tell how many jobs they hold, this manager may also use half of the threads
  // that are free there, up to one and a half a core (the least that engines do before they get less done).
  if (load.outstanding && engine.dispatches >= 0) {
    const double threads = engine.dispatches > 0 ? double(engine.live_threads) / engine.dispatches : 1.5;
    const double taken = std::max(*load.outstanding, 0.0 + engine.dispatches) * threads;
    const double most = 1.5 * kind_of(engine).cores;
    engine.told_slots = engine.live_threads + std::max(share_, 0.5) * (most - taken);
    engine.told_at = now;
  }
  if (!load.memory_share) return;
  const double memory = kind_of(engine).memory_mb;
  const double others = std::clamp(*load.memory_share * memory - engine.live_bytes, 0.0, memory);
  engine.others_bytes =
      engine.others_bytes ? *engine.others_bytes + (others - *engine.others_bytes) / 2 : others;
}

void WorkloadManager::beat(Span now) {
  host_.wake_in(milliseconds(100), beat_mark);
  const bool behind = beat_due_ > Span(0) && now > beat_due_ + std::max<Span>(rules_.round, milliseconds(20));
  beats_late_ = behind ? std::min(beats_late_ + 1, 10) : std::max(beats_late_ - 1, 0);
  beat_due_ = now + milliseconds(100);
  // Rates over about five seconds, data sets over ten, the mean cost over a minute.
  job_rate_ *= 0.98, work_taken_ *= 0.998, value_taken_ *= 0.998, data_sets_drawn_ *= 0.99;
  for (double& rate : customer_rate_) rate *= 0.98;
  for (auto& [data_set, drawn] : data_sets_) drawn *= 0.99;
  std::erase_if(lines_, [&](auto& l) { return l.second.jobs.empty() && now >= l.second.rests_until; });
  std::erase_if(data_sets_, [](const auto& one) { return one.second < 0.001; });
  std::erase_if(engines_, [](const auto& one) { return one.second.has_gone(); });
  fleet_live_ = 0, fleet_even_ = 1e-9;
  for (auto& [id, engine] : engines_) {
    look_after(now, engine);
    if (now >= engine.closed_until && !engine.on_trial) let_go(engine, now);  // else it may stand still
    // Guards against learning too late: what is out and already far behind counts before its answer comes.
    for (const auto& [sent, which] : engine.out) {
      const HeldJob& held = jobs_.at(which.first);
      if (held.dispatches[which.second].behind_load || tiny(held)) continue;
      const double best = ideal_ms(held) * types_[held.job.type.value].best_pace;
      const double sample = std::min(in_ms(now - sent) / std::max(best, 1.0), 10.0);
      const double part = 0.025 * weight(held), fleet = fleet_.stretch;
      double& own = engine.pace.stretch;
      if (sample > std::max(2.0, own)) own += part * (sample - own);
      if (now >= engine.closed_until && sample > 2)
        compare(engine, held.dispatches[which.second], sample, part);
      if (now >= engine.closed_until && sample > std::max(2.0, fleet))
        fleet_.stretch += part * (std::min(sample, 2 * fleet) - fleet);
    }
    // Guards against a judgement that outlives its cause: hardly used, an engine is soon believed better.
    if (engine.live_threads < 0.25 * engine.even_slots * engine.pace.open)
      engine.pace.stretch += 0.02 * (1 - engine.pace.stretch);
    if (engine.pace.stretch > 1.5 && slow()) engine.pace.open = std::max(engine.pace.open * 0.99, 0.25);
    if (!engine.known_up || engine.on_trial) continue;
    fleet_live_ += engine.live_threads, fleet_even_ += engine.even_slots;
  }
  // Other zones are believed better with time and homes like the rest, so that both are tried again.
  paces_.far += 0.005 * (1 - paces_.far), paces_.home += 0.005 * (paces_.away - paces_.home);
  if (fleet_live_ < 0.25 * fleet_even_ * fleet_.open) fleet_.stretch += 0.01 * (1 - fleet_.stretch);
  if (fleet_.stretch > 1.5 && slow()) fleet_.open = std::max(fleet_.open * pool_fall_, 0.5);
  // Probes where only they tell the load: in turn, as many a job as cost half a point in a hundred by their
  // price, and none to an engine sooner than every half second, which is about how often reports change.
  if (rules_.may_probe && rules_.reports_in_probes && !engines_.empty()) {
    const double most = 0.2 * static_cast<double>(engines_.size());
    const double earned = 0.005 / std::max(rules_.probe_price, 1e-4) * job_rate_ / 10;
    probes_due_ += std::min(most, earned);
    for (; probes_due_ >= 1; probes_due_ -= 1) {
      auto next = engines_.upper_bound(last_probed_);
      if (next == engines_.end()) next = engines_.begin();
      last_probed_ = next->first;
      if (next->second.known_up) host_.probe(next->first);
    }
  }
  // The cut: down a tenth each beat while a job that may go has waited for room past a tenth of a second, up
  // again slower when not; never under the mean, where it would cut what pays best and leave engines idle.
  largest_ = std::max(largest_ * 0.998, mean_cost_);
  bool crowded = false;
  for (const auto& [turn, id] : held_) {
    const HeldJob& held = jobs_.at(id);
    if (held.out == 0 && may_go(now, held) && now > held.taken + milliseconds(100)) crowded = true;
  }
  if (crowded) cut_ = std::max(std::min(cut_, largest_) * 0.9, mean_cost_);
  else if ((cut_ *= 1.06) > largest_) cut_ = infinite;
  // Held jobs that can no longer make it: an answer now is worth more than one at the end.
  for (auto it = held_.begin(); it != held_.end();) {
    HeldJob& held = jobs_.at((it++)->second);
    // A client whose connection broke calls again at once: after a second it does not come.
    const bool gone = held.away_since && now > *held.away_since + seconds(1);
    const bool late = now + from_ms(ideal_ms(held)) > held.sla_end;
    if (held.out > 0) continue;
    if (gone) give_up(now, held, GiveUpReason::client_gone);
    else if (late) give_up(now, held, GiveUpReason::too_late);
    else if (spent(now, held)) give_up(now, held, GiveUpReason::spent);
  }
  for (auto it = turns_.begin(); crammed() && it != turns_.end();) {
    HeldJob& held = jobs_.at((it++)->second);
    const bool restartable = type_of(held).effect == Effect::restartable;
    if (now >= held.sla_end && restartable && !held.streaming) give_up(now, held, GiveUpReason::crammed);
  }
}

// ---- Giving up ----

// Exception: near the most jobs that may be open, what holds a place for little makes room: jobs behind a
// load with nowhere else to go, restartable ones past their SLA time. A tenth is kept for what comes next.
bool WorkloadManager::crammed() const {
  return rules_.most_open > 0 && 10.0 * static_cast<double>(jobs_.size()) > 9.0 * rules_.most_open;
}

void WorkloadManager::give_up(Span now, HeldJob& held, GiveUpReason reason) {
  if (held.over) return;
  host_.giving_up(held.job.id, reason);
  const JobId id = held.job.id;
  const bool harmless = may_throttle(now, held);
  over(held);
  // Half the time that is left to its SLA, so that a later try can still be in time.
  const Span advice = std::clamp<Span>((held.sla_end - now) / 2, milliseconds(50), seconds(2));
  if (!harmless) host_.cancel_for_good(id);
  else host_.throttle(id, std::min(advice, rules_.longest_retry_advice));
  forget_if_done(id);
}

}  // namespace pearchute

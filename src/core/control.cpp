// The decisions of a workload manager. Callers reach it through WorkloadManager (control.h): one method for
// each thing that can happen, which acts by calling the Host. Here are the events, and how a job is given up;
// the steps of a choice are in files of their own: may the job go (admission), cold engines (slow_start),
// what fits (ledger), which job and engine (dispatch), what answers tell (health), and what is done regularly
// (beat). docs/design.md says where the mechanism comes from and when each exception to it acts.
#include "core/control.h"

#include <algorithm>
#include <cmath>

#include "core/control_math.h"

namespace pearchute {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
  if (news == ListNews::remembered) doubt_starts(now, engines);
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
  // Guards against jobs of a key that go in another order than they came: refused, the other ones are in
  // order whichever came first.
  if (!job.order_is_known && type.type.in_order) return give_up(now, held, GiveUpReason::order_unknown);
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
  // A result that crosses the give-up is one, and yet the dispatch was given up when it was written.
  const bool crossed = dispatch.stopping && (outcome == Outcome::done || outcome == Outcome::error);
  if (held.job.key && type.type.in_order && (!sure || crossed)) {
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

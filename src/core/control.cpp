// The decisions of a workload manager. Callers reach it through WorkloadManager (control.h): one method for
// each thing that can happen, which acts by calling the DecisionSink. Here are the events, and how a job is
// given up; the steps of a choice are in files of their own: may the job go (admission), cold engines
// (slow_start), what fits (ledger), which job and engine (dispatch), what answers tell (health), and what is
// done regularly (beat). docs/design.md says where the mechanism comes from and when each exception to it
// acts.
#include "core/control.h"

#include <algorithm>
#include <cmath>

#include "core/control_math.h"

namespace pearchute {

using std::chrono::milliseconds;
using std::chrono::seconds;

WorkloadManager::WorkloadManager(const ServiceDefinition& service, std::uint64_t seed, DecisionSink& host)
    : host_(host), chance_(static_cast<std::knuth_b::result_type>(seed ^ (seed >> 32))), rules_(service) {
  subscribe_wait_ = milliseconds(500), cut_ = infinite;
  // Best pace 1, slow pace 3: slow until answers come well.
  for (const RequestType& type : service.types) types_.push_back({type, {}, {}, 1, 1, 1, 3});
  double sum = 1e-9;
  for (const Tenant& tenant : service.tenants) sum += tenant.quota_per_second;
  for (const Tenant& one : service.tenants) tenant_share_.push_back(one.quota_per_second / sum);
  tenant_rate_.assign(service.tenants.size(), 0);
  kinds_ = service.kinds;
  for (const MachineKind& kind : kinds_) most_memory_ = std::max(most_memory_, kind.memory_mb);
  if (!rules_.sends_retry_after) rules_.max_retry_after = Duration(0);
  rules_.types.clear(), rules_.tenants.clear(), rules_.kinds.clear();
  Duration shortest = seconds(60);
  for (const TypeFigures& type : types_) {
    largest_threads_ = std::max(largest_threads_, type.type.threads);
    shortest = std::min(shortest, type.type.request_timeout);
  }
  // A crowded pool halves its slots in half of the shortest patience: a manager's jobs must not end behind
  // all others send meanwhile. Never slower than a hundredth a beat, as an engine's own slots fall.
  pool_fall_ = std::min(0.99, std::exp2(-200.0 / std::max(in_ms(shortest), 1000.0)));
  rules_.managers = std::max(1, rules_.managers), share_ = std::min(1.0, 2.0 / rules_.managers);
  spare_end_ = 2 * service.event_interval + milliseconds(10);  // a wake comes up to one round late
  if (service.endpoints_on_request) host_.subscribe_endpoints();
  host_.schedule_wakeup(milliseconds(100), beat_mark);
}

void WorkloadManager::on_endpoint_update(TimePoint now, EndpointUpdate news,
                                         const std::vector<EngineEndpoint>& engines) {
  if (news != EndpointUpdate::cached) subscribe_wait_ = milliseconds(500);
  std::set<EngineId> named;
  for (const EngineEndpoint& listed : engines) {
    named.insert(listed.id);
    const bool first = !engines_.contains(listed.id);
    Engine& engine = engines_[listed.id];
    const bool was_up = engine.known_up;
    const bool restarted = listed.started_at && listed.started_at != engine.listed.started_at;
    engine.known_up = listed.state == EngineState::up;
    engine.listed = listed;
    if (first) engine.even_slots = 2.0 * kind_of(engine).cores * share_;
    if (first || restarted || (engine.known_up && !was_up)) {
      engine.told = now;
      engine.strikes = 0, engine.error_rate = 0, engine.closed_until = now, engine.on_trial = false;
      engine.pace.stretch = first ? 1 : std::max(1.0, fleet_.stretch);
      engine.others_bytes.reset(), let_go(engine, TimePoint::max());
    }
  }
  if (news == EndpointUpdate::cached) doubt_starts(now, engines);
  if (news != EndpointUpdate::delta) {
    for (auto& [id, engine] : engines_)
      if (!named.contains(id)) engine.known_up = false, engine.listed.state = EngineState::removed;
  }
  release(now);
}

void WorkloadManager::on_endpoints_refused(TimePoint) {
  if (!rules_.endpoints_on_request) return;
  // Guards against asking an overrun discovery: twice as long after each refusal, and unevenly.
  const double part = 0.75 + 0.5 * std::generate_canonical<double, 32>(chance_);
  host_.schedule_wakeup(from_ms(in_ms(subscribe_wait_) * part), subscribe_mark);
  const Duration longest = std::max<Duration>(seconds(1), rules_.poll_within / 4);
  subscribe_wait_ = std::min(2 * subscribe_wait_, longest);
}

void WorkloadManager::on_request(TimePoint now, const Request& job) {
  TypeFigures& type = types_[job.type.value];
  QueuedRequest& held = jobs_[job.id];
  held.job = job, held.turn = next_turn_++, turns_[held.turn] = job.id;
  if (job.work_ms) take_in(*job.work_ms, type.typical_work_ms);
  if (job.memory_mb) take_in(*job.memory_mb, type.typical_memory_mb);
  held.work_ms = job.work_ms.value_or(type.typical_work_ms.value);
  take_in(held.work_ms, mean_work_ms_);
  held.taken = now, held.end = now + std::max<Duration>(job.time_left - spare_end_, Duration(0));
  const Duration sla =
      type.type.latency_objective + from_ms(type.type.latency_objective_per_work * ideal_ms(held));
  held.sla_end = std::min(now + sla, held.end);
  if (rules_.retry_budget_window) taken_.push_back(now);
  if (job.tenant.value >= 0) tenant_rate_[job.tenant.value] += 1.0 / 5;
  if (job.key && type.type.ordered_by_key) lines_[*job.key].jobs.push_back(job.id);
  host_.schedule_wakeup(held.end - now, held.turn), job_rate_ += 1.0 / 5;
  data_sets_[job.data_set] += 1, data_sets_drawn_ += 1;
  rescues_due_ = std::min(rescues_due_ + 0.1, 10.0);
  const double cost = 1 / density(held);
  largest_ = std::max(largest_, cost), work_taken_ += held.work_ms, value_taken_ += held.work_ms / cost;
  mean_cost_ = work_taken_ / std::max(value_taken_, 1e-9);
  // Bounds a scan of the queue, which release() makes when a dispatch ends and at each beat.
  constexpr std::size_t longest_queue = 600;
  // Guards against overload of any cause: what asks most engine time for its billed value is not taken on.
  // But for what is estimated as small for its type, lest a type that costs more than others goes as a whole.
  const bool small = job.work_ms && held.work_ms <= type.typical_work_ms.value;
  // Exception: where beats come late again and again this manager's own core is short, and what earns less
  // than the mean is not taken on, small or not. Guards against answers that come late to all; harms such
  // jobs for up to a second after the load has fallen.
  const bool costly = (cost > cut_ && !small) || (beats_late_ >= 2 && cost > mean_cost_);
  // Guards against work that would fill an engine and be lost. Where nothing can be called off, half as much
  // again is allowed for, since a time-out leaves it running; the highest priority hardly feels the crowd.
  const double crowd = priority(held) == 3 ? 1 : fleet_.stretch * (rules_.allows_cancel ? 1.0 : 1.5);
  const double pace = std::max(1.0, type.best_pace * crowd);
  const bool hopeless = now + from_ms(ideal_ms(held) * pace) > held.sla_end;
  if (held.end <= now) return give_up(now, held, RejectionReason::deadline_exceeded);
  // Guards against jobs of a key that go in another order than they came: refused, the other ones are in
  // order whichever came first.
  if (!job.arrival_order_known && type.type.ordered_by_key)
    return give_up(now, held, RejectionReason::arrival_order_unknown);
  if (costly) return give_up(now, held, RejectionReason::overload);
  if (hopeless) return give_up(now, held, RejectionReason::deadline_unreachable);
  if (held_.size() >= longest_queue) return give_up(now, held, RejectionReason::queue_full);
  held.held = true, held_[held.turn] = job.id, place_newcomer(now, held);
}

void WorkloadManager::on_request_cancelled(TimePoint now, RequestId id) {
  if (!jobs_.contains(id)) return;
  over(jobs_.at(id)), forget_if_done(id), release(now);
}

// Guards against work for clients that have gone by the time it begins. What is out goes on, since a client
// whose connection broke calls again.
void WorkloadManager::on_client_disconnected(TimePoint now, RequestId id) {
  const auto at = jobs_.find(id);
  if (at != jobs_.end() && !at->second.away_since) at->second.away_since = now;
}

void WorkloadManager::on_client_reconnected(TimePoint now, RequestId id) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || !at->second.away_since) return;
  at->second.away_since.reset(), release(now);
}

void WorkloadManager::heard(TimePoint now, RequestId id, int number) {
  if (Attempt* dispatch = find(id, number)) engines_[dispatch->engine].last_word = dispatch->last_note = now;
}

void WorkloadManager::on_stream_started(TimePoint now, RequestId id, int number) {
  heard(now, id, number);
  if (jobs_.contains(id)) jobs_.at(id).streaming = true;
}

void WorkloadManager::on_progress(TimePoint now, RequestId id, int number, double share_done) {
  heard(now, id, number);
  if (!find(id, number) || !rules_.allows_cancel) return;
  const QueuedRequest& held = jobs_.at(id);
  Attempt& dispatch = *find(id, number);
  const TypeFigures& type = types_[held.job.type.value];
  if (held.over || !dispatch.out || dispatch.stopping || type.type.idempotency != Idempotency::idempotent)
    return;
  if (dispatch.behind_load)
    return share_done > 0 ? void() : on_engine_wait(now, id, number, WaitCause::data_load);
  const double elapsed_ms = in_ms(now - dispatch.sent);
  const double whole_ms = elapsed_ms / std::max(share_done, 0.002);
  const double usual_ms = ideal_ms(held) * type.best_pace * std::max(1.0, fleet_.stretch);
  // Guards against a bad plan, or whatever is drawn anew for each dispatch: where one takes six times the
  // usual (beyond any estimate's scatter) and a new one would come sooner, start it again.
  if (whole_ms > 6 * usual_ms && whole_ms - elapsed_ms > 2 * usual_ms && may_begin(held)) {
    dispatch.stopping = true;
    host_.cancel_attempt(id, number);
  }
}

void WorkloadManager::on_spill(TimePoint now, RequestId id, int number, double missing_mb) {
  heard(now, id, number);
  if (!find(id, number)) return;
  const Request& job = jobs_.at(id).job;
  const double estimate = job.memory_mb.value_or(0), grant = find(id, number)->grant;
  if (estimate <= 0 || grant < estimate) return;  // not the estimate's fault
  double& bias = types_[job.type.value].memory_bias;
  // Guards against estimates that lie low by type: a fiftieth of the way, as answers teach, to half over at
  // most, since an engine that is short makes jobs spill too.
  bias = std::min(bias + ((grant + missing_mb) / estimate - bias) / 50, 1.5);
}

void WorkloadManager::on_attempt_ended(TimePoint now, RequestId id, int number, Outcome outcome,
                                       Duration elapsed, bool finished, std::optional<double> work_ms,
                                       std::optional<double> memory_mb, const LoadReport& load) {
  if (!find(id, number)) return;
  QueuedRequest& held = jobs_.at(id);
  Attempt& dispatch = held.dispatches[number];
  dispatch.out = false, held.out -= 1;
  Engine& engine = engines_[dispatch.engine];
  TypeFigures& type = types_[held.job.type.value];
  // Exception: where nothing can be called off, what times out runs on, and keeps its grant for as long as it
  // would take at the engine's pace. Guards against engines that are filled up again and again with work that
  // nobody waits for; harms where answers were lost, by an engine that is used less for as long.
  const double more_ms = ideal_ms(held) * std::max(1.0, engine.pace.stretch);
  const TimePoint until = now + std::min(from_ms(more_ms), type.type.request_timeout);
  const bool runs_on = outcome == Outcome::timed_out && !rules_.allows_cancel;
  engine.runs_on.push_back({runs_on ? until : TimePoint::min(), dispatch.grant, dispatch.threads});
  let_go(engine, TimePoint::min());
  engine.dispatches -= 1, engine.out.erase({dispatch.sent, {id, number}});
  if (engine.protecting) {
    const double floor = capacity(engine) / std::max(8.0, slots(now, engine));
    engine.protected_bytes = std::min(floor, engine.protected_bytes + dispatch.grant);
  }
  if (dispatch.trial) engine.trying = false;
  if (type.type.loads_data_set && --engine.loads[held.job.data_set] <= 0)
    engine.loads.erase(held.job.data_set);
  heed(now, engine, load);

  if (outcome == Outcome::succeeded) {
    engine.last_word = now, engine.strikes = 0, engine.on_trial &= engine.error_rate > 0.2;
    engine.error_rate *= 0.9;  // a memory of about ten dispatches
    // What jobs needed corrects the estimates of their type, over some fifty of them, or stands in for them.
    const Request& job = held.job;
    if (!job.work_ms) take_in(work_ms.value_or(in_ms(elapsed) * type.type.threads), type.typical_work_ms);
    else if (work_ms) type.work_bias += (std::clamp(*work_ms / *job.work_ms, 0.2, 5.0) - type.work_bias) / 50;
    if (memory_mb && !job.memory_mb) take_in(*memory_mb, type.typical_memory_mb);
    else if (memory_mb) type.memory_bias += (*memory_mb / *job.memory_mb - type.memory_bias) / 50;
    if (type.type.waits_for_data_load) engine.told_held.erase(job.data_set);
    learn(engine, held, dispatch, elapsed);
  } else if (outcome == Outcome::engine_error || outcome == Outcome::connection_reset) {
    const bool error = outcome == Outcome::engine_error;
    if (error) engine.last_word = now;
    // A reset counts half, as often the network's; where a job errs on a second engine, neither is to blame.
    dispatch.fault = (error ? 0.1 : 0.05) * (1 - engine.error_rate);
    for (Attempt& one : held.dispatches) {
      if (one.fault == 0 || one.engine == dispatch.engine) continue;
      const auto at = engines_.find(one.engine);
      if (at != engines_.end()) at->second.error_rate -= std::clamp(one.fault, 0.0, at->second.error_rate);
      one.fault = dispatch.fault = -1;
    }
    engine.error_rate += std::max(dispatch.fault, 0.0);
    if (engine.error_rate > 0.3 || (engine.on_trial && error)) sign_of_trouble(now, engine, Trouble::errors);
  } else if (outcome == Outcome::engine_full) {
    engine.last_full = now;  // no word: one that hangs is full, too
    engine.pace.open = std::max(engine.pace.open * 0.8, 0.25);
  } else if (outcome == Outcome::unreachable) {
    let_go(engine, TimePoint::max());  // it has died, with what ran there
    sign_of_trouble(now, engine, Trouble::unreachable);
  } else if (outcome == Outcome::timed_out && engine.last_word < dispatch.sent) {
    sign_of_trouble(now, engine, Trouble::unanswered);
  }

  if (!proves_not_executed(outcome) && outcome != Outcome::succeeded && !held.first_uncertain_attempt_at) {
    held.first_uncertain_attempt_at = dispatch.sent;
    held.uncertain_zone = engine.listed.zone, held.uncertain_cell = engine.listed.cell;
  }
  const bool sure =
      proves_not_executed(outcome) || outcome == Outcome::succeeded || outcome == Outcome::engine_error;
  // A result that crosses the give-up is one, and yet the dispatch was given up when it was written.
  const bool crossed =
      dispatch.stopping && (outcome == Outcome::succeeded || outcome == Outcome::engine_error);
  if (held.job.key && type.type.ordered_by_key && (!sure || crossed)) {
    OrderLine& line = lines_[*held.job.key];
    line.rests_until = std::max(line.rests_until, now + rules_.key_quiet_period);
    host_.schedule_wakeup(rules_.key_quiet_period + rules_.event_interval, beat_mark + 2);
  }
  if (finished) {
    over(held);
  } else if (!held.over && held.out == 0) {
    held.held = true, held_[held.turn] = id;
    const bool refused = outcome == Outcome::not_sent && !held.away_since;  // else it was taken back
    if (now >= held.end) return give_up(now, held, RejectionReason::deadline_exceeded), release(now);
    if (refused) return give_up(now, held, RejectionReason::attempt_not_sent), release(now);
    if (spent(now, held)) return give_up(now, held, RejectionReason::attempts_exhausted), release(now);
  }
  forget_if_done(id), release(now);
}

void WorkloadManager::on_engine_wait(TimePoint now, RequestId id, int number, WaitCause wait) {
  heard(now, id, number);
  Attempt* dispatch = find(id, number);
  if (!dispatch || wait != WaitCause::data_load) return;
  QueuedRequest& held = jobs_.at(id);
  dispatch->behind_load = true;
  // Guards against other managers' loads, which only this tells of: for the usual time of a load, the engine
  // comes last for jobs on that data set, and what has found it held goes elsewhere while it has a dispatch.
  const DataSetId data_set = held.job.data_set;
  double usual = 0;
  for (const TypeFigures& type : types_)
    if (type.type.loads_data_set) usual = std::max(usual, type.typical_work_ms.value / type.type.threads);
  engines_[dispatch->engine].told_held[data_set] = now + from_ms(usual * std::max(1.0, fleet_.stretch));
  const bool may_move = rules_.allows_cancel && !held.over && dispatch->out && !dispatch->stopping &&
                        may_begin(held) && type_of(held).idempotency == Idempotency::idempotent;
  if (may_move && std::ranges::any_of(engines_, [&](const auto& one) {
        return !data_held(now, one.second, data_set) && may_go_to(now, held, one.second);
      })) {
    dispatch->stopping = true;
    host_.cancel_attempt(id, number);
  } else if (crammed()) {
    give_up(now, held, RejectionReason::table_full);
  }
}

void WorkloadManager::on_probe_ended(TimePoint now, EngineId id, Outcome outcome, Duration,
                                     const LoadReport& load) {
  if (engines_.contains(id) && outcome == Outcome::succeeded) heed(now, engines_.at(id), load);
  release(now);
}

void WorkloadManager::on_wakeup(TimePoint now, std::uint64_t mark) {
  if (mark == beat_mark) beat(now);
  if (mark == subscribe_mark) host_.subscribe_endpoints();
  if (const auto turn = turns_.find(mark); turn != turns_.end()) {
    QueuedRequest& held = jobs_.at(turn->second);
    if (!held.over && !held.streaming && now >= held.end)
      give_up(now, held, RejectionReason::deadline_exceeded);
  } else if (mark >= job_marks) {
    return;  // its job has gone: nothing is free by that
  }
  release(now);
}

// The program ends before these jobs would: each gets its final answer now.
void WorkloadManager::closing(TimePoint now) {
  for (auto it = turns_.begin(); it != turns_.end();)
    give_up(now, jobs_.at((it++)->second), RejectionReason::shutting_down);
}

void WorkloadManager::over(QueuedRequest& held) {
  held.over = true, held.held = false, held_.erase(held.turn);
  for (auto& [id, engine] : engines_)
    if (engine.protecting && engine.protected_for == held.job.id) engine.protecting = false;
  if (!rules_.allows_cancel) return;
  for (std::size_t i = 0; i < held.dispatches.size(); ++i) {
    Attempt& dispatch = held.dispatches[i];
    if (!dispatch.out || dispatch.stopping) continue;
    dispatch.stopping = true;
    host_.cancel_attempt(held.job.id, static_cast<int>(i));
  }
}

void WorkloadManager::forget_if_done(RequestId id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || !it->second.over || it->second.out > 0) return;
  const QueuedRequest& held = it->second;
  if (held.job.key && type_of(held).ordered_by_key) std::erase(lines_[*held.job.key].jobs, id);
  turns_.erase(held.turn), jobs_.erase(it);
}

// Exception: near the most jobs that may be open, what holds a place for little makes room: jobs behind a
// load with nowhere else to go, restartable ones past their SLA time. A tenth is kept for what comes next.
bool WorkloadManager::crammed() const {
  return rules_.max_open_requests > 0 &&
         10.0 * static_cast<double>(jobs_.size()) > 9.0 * rules_.max_open_requests;
}

void WorkloadManager::give_up(TimePoint now, QueuedRequest& held, RejectionReason reason) {
  if (held.over) return;
  host_.on_rejection(held.job.id, reason);
  const RequestId id = held.job.id;
  const bool harmless = may_throttle(now, held);
  over(held);
  // Half the time that is left to its SLA, so that a later try can still be in time.
  const Duration advice = std::clamp<Duration>((held.sla_end - now) / 2, milliseconds(50), seconds(2));
  if (!harmless) host_.fail(id);
  else host_.throttle(id, std::min(advice, rules_.max_retry_after));
  forget_if_done(id);
}

}  // namespace pearchute

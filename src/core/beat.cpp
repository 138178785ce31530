// What the workload manager does ten times a second: figures fade, the overdue is looked for, and what can no
// longer make it is given up.
#include <algorithm>

#include "core/control.h"
#include "core/control_math.h"

namespace pearchute {

using std::chrono::milliseconds;
using std::chrono::seconds;

void WorkloadManager::beat(TimePoint now) {
  host_.schedule_wakeup(milliseconds(100), beat_mark);
  note_beat(now);
  fade_figures();
  forget_what_is_over(now);
  fleet_live_ = 0, fleet_even_ = 1e-9;
  for (auto& [id, engine] : engines_) look_at_engine(now, engine);
  // Other zones are believed better with time and homes like the rest, so that both are tried again.
  paces_.far += 0.005 * (1 - paces_.far), paces_.home += 0.005 * (paces_.away - paces_.home);
  if (fleet_live_ < 0.25 * fleet_even_ * fleet_.open) fleet_.stretch += 0.01 * (1 - fleet_.stretch);
  if (fleet_.stretch > 1.5 && slow()) fleet_.open = std::max(fleet_.open * pool_fall_, 0.5);
  probe_in_turn();
  move_cut(now);
  give_up_the_late(now);
}

// Beats that come late again and again tell that this manager's own core is short.
void WorkloadManager::note_beat(TimePoint now) {
  const bool behind = beat_due_ > TimePoint{} &&
                      now > beat_due_ + std::max<Duration>(rules_.event_interval, milliseconds(20));
  beats_late_ = behind ? std::min(beats_late_ + 1, 10) : std::max(beats_late_ - 1, 0);
  beat_due_ = now + milliseconds(100);
}

// Rates over about five seconds, data sets over ten, the mean cost over a minute.
void WorkloadManager::fade_figures() {
  job_rate_ *= 0.98, work_taken_ *= 0.998, value_taken_ *= 0.998, data_sets_drawn_ *= 0.99;
  for (double& rate : tenant_rate_) rate *= 0.98;
  for (auto& [data_set, drawn] : data_sets_) drawn *= 0.99;
}

void WorkloadManager::forget_what_is_over(TimePoint now) {
  std::erase_if(lines_, [&](auto& l) { return l.second.jobs.empty() && now >= l.second.rests_until; });
  std::erase_if(data_sets_, [](const auto& one) { return one.second < 0.001; });
  std::erase_if(engines_, [](const auto& one) { return one.second.has_gone(); });
}

void WorkloadManager::look_at_engine(TimePoint now, Engine& engine) {
  look_after(now, engine);
  if (now >= engine.closed_until && !engine.on_trial) let_go(engine, now);  // else it may stand still
  for (const auto& [sent, which] : engine.out) learn_from_open(now, engine, sent, which);
  // Guards against a judgement that outlives its cause: hardly used, an engine is soon believed better.
  if (engine.live_threads < 0.25 * engine.even_slots * engine.pace.open)
    engine.pace.stretch += 0.02 * (1 - engine.pace.stretch);
  if (engine.pace.stretch > 1.5 && slow()) engine.pace.open = std::max(engine.pace.open * 0.99, 0.25);
  if (!engine.known_up || engine.on_trial) return;
  fleet_live_ += engine.live_threads, fleet_even_ += engine.even_slots;
}

// Guards against learning too late: what is out and already far behind counts before its answer comes.
void WorkloadManager::learn_from_open(TimePoint now, Engine& engine, TimePoint sent,
                                      std::pair<RequestId, int> which) {
  const QueuedRequest& held = jobs_.at(which.first);
  const Attempt& dispatch = held.dispatches[which.second];
  if (dispatch.behind_load || tiny(held)) return;
  const double best = ideal_ms(held) * types_[held.job.type.value].best_pace;
  const double sample = std::min(in_ms(now - sent) / std::max(best, 1.0), 10.0);
  const double part = 0.025 * weight(held), fleet = fleet_.stretch;
  double& own = engine.pace.stretch;
  if (sample > std::max(2.0, own)) own += part * (sample - own);
  if (now >= engine.closed_until && sample > 2) compare(engine, dispatch, sample, part);
  if (now >= engine.closed_until && sample > std::max(2.0, fleet))
    fleet_.stretch += part * (std::min(sample, 2 * fleet) - fleet);
}

// Where only probes tell the load: in turn, as many a job as cost half a point in a hundred by their price,
// and none to an engine sooner than every half second, which is about how often reports change.
void WorkloadManager::probe_in_turn() {
  if (!rules_.allows_probes || !rules_.load_reports_in_probes || engines_.empty()) return;
  const double most = 0.2 * static_cast<double>(engines_.size());
  const double earned = 0.005 / std::max(rules_.probe_cost, 1e-4) * job_rate_ / 10;
  probes_due_ += std::min(most, earned);
  for (; probes_due_ >= 1; probes_due_ -= 1) {
    auto next = engines_.upper_bound(last_probed_);
    if (next == engines_.end()) next = engines_.begin();
    last_probed_ = next->first;
    if (next->second.known_up) host_.probe(next->first);
  }
}

// Down a tenth each beat while a job that may go has waited for room past a tenth of a second, up again
// slower when not; never under the mean, where it would cut what pays best and leave engines idle.
void WorkloadManager::move_cut(TimePoint now) {
  largest_ = std::max(largest_ * 0.998, mean_cost_);
  bool crowded = false;
  for (const auto& [turn, id] : held_) {
    const QueuedRequest& held = jobs_.at(id);
    if (held.out == 0 && may_go(now, held) && now > held.taken + milliseconds(100)) crowded = true;
  }
  if (crowded) cut_ = std::max(std::min(cut_, largest_) * 0.9, mean_cost_);
  else if ((cut_ *= 1.06) > largest_) cut_ = infinite;
}

// Held jobs that can no longer make it: an answer now is worth more than one at the end.
void WorkloadManager::give_up_the_late(TimePoint now) {
  for (auto it = held_.begin(); it != held_.end();) {
    QueuedRequest& held = jobs_.at((it++)->second);
    // A client whose connection broke calls again at once: after a second it does not come.
    const bool gone = held.away_since && now > *held.away_since + seconds(1);
    const bool late = now + from_ms(ideal_ms(held)) > held.sla_end;
    if (held.out > 0) continue;
    if (gone) give_up(now, held, RejectionReason::client_disconnected);
    else if (late) give_up(now, held, RejectionReason::queued_too_long);
    else if (spent(now, held)) give_up(now, held, RejectionReason::attempts_exhausted);
  }
  for (auto it = turns_.begin(); crammed() && it != turns_.end();) {
    QueuedRequest& held = jobs_.at((it++)->second);
    const bool restartable = type_of(held).idempotency == Idempotency::idempotent;
    if (now >= held.sla_end && restartable && !held.streaming)
      give_up(now, held, RejectionReason::table_full);
  }
}

}  // namespace pearchute

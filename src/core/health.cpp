// What answers and silence tell of an engine: its pace, its slots, and when it is left out for a while.
#include <algorithm>

#include "core/control.h"
#include "core/control_math.h"

namespace pearchute {

using std::chrono::milliseconds;

// Whether all but one in twenty take more than twice their estimate. Guards against calling it crowded where
// only warm data makes the best pace better than the usual one.
bool WorkloadManager::slow() const {
  return std::ranges::any_of(types_, [](const TypeFigures& type) { return type.slow_pace > 2; });
}

// A long dispatch tells more of an engine than a short one, which its priority hides from the crowd.
double WorkloadManager::weight(const QueuedRequest& held) const {
  return 0.01 + 0.19 * std::min(1.0, held.work_ms / std::max(2 * mean_work_ms_.value, 1e-6));
}

// What the job's type usually needs; until anything is known of it, its whole SLA time on all its threads.
double WorkloadManager::usual_work(const TypeFigures& type) const {
  const double learned = type.typical_work_ms.value * type.work_bias;
  return learned > 0 ? learned : in_ms(type.type.latency_objective) * type.type.threads;
}

// Under a quarter of its type's usual work, most of a job's time is not work.
bool WorkloadManager::tiny(const QueuedRequest& held) const {
  return ideal_ms(held) <= 0 || ideal_ms(held) * type_of(held).threads < usual_work(held) / 4;
}

// Answers from homes beside others, and from the own zone beside others.
void WorkloadManager::compare(const Engine& engine, const Attempt& dispatch, double sample, double part) {
  double& by_home = dispatch.home ? paces_.home : paces_.away;
  double& by_zone = engine.listed.zone == rules_.zone ? paces_.near : paces_.far;
  by_home += part * (std::min(sample, 2 * by_home) - by_home);
  by_zone += part * (std::min(sample, 2 * by_zone) - by_zone);
}

void WorkloadManager::learn(Engine& engine, const QueuedRequest& held, const Attempt& dispatch,
                            Duration elapsed) {
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

void WorkloadManager::sign_of_trouble(TimePoint now, Engine& engine, Trouble why) {
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
  host_.trace_event("engine " + std::to_string(engine.listed.id.value) + " is left out");
}

// Looks for dispatches that are overdue, on an engine that says nothing or by themselves.
void WorkloadManager::look_after(TimePoint now, Engine& engine) {
  int silent = 0;
  std::vector<std::pair<RequestId, int>> lost;
  for (const auto& [sent, which] : engine.out) {
    const QueuedRequest& held = jobs_.at(which.first);
    const Attempt& dispatch = held.dispatches[which.second];
    // Twice what all but one in twenty take. Where notes tell of progress, they have to be missing, too.
    const Duration usual =
        from_ms(std::max(2 * ideal_ms(held) * types_[held.job.type.value].slow_pace, 150.0));
    const Duration quiet = now - dispatch.last_note, notes = rules_.progress_interval;
    const bool late = now - sent > usual &&
                      (notes <= Duration(0) || quiet > std::min(3 * notes / 2, now - sent - Duration(1)));
    if (!late && (notes <= Duration(0) || quiet < 5 * notes / 2)) continue;
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
    QueuedRequest& held = jobs_.at(id);
    Attempt& dispatch = held.dispatches[number];
    const Idempotency idempotency = type_of(held).idempotency;
    if (held.over || held.held || held.streaming || dispatch.stopping || dispatch.overdue) continue;
    if (idempotency == Idempotency::non_idempotent || !may_begin(held)) continue;
    // No storm: rescues from engines that answer others are earned, one by ten jobs taken.
    if (now >= engine.closed_until && rescues_due_ < 1) continue;
    const bool copy = rules_.allows_hedging && idempotency == Idempotency::idempotent;
    if (!copy && !rules_.allows_cancel) continue;
    (copy ? dispatch.overdue : dispatch.stopping) = true;
    if (copy) held.held = true, held_[held.turn] = id;
    else host_.cancel_attempt(id, number);
    if (now >= engine.closed_until) rescues_due_ -= 1;
  }
}

// Others' part of the engine's memory, where it tells: the one thing that separate ledgers cannot add up.
void WorkloadManager::heed(TimePoint now, Engine& engine, const LoadReport& load) {
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

}  // namespace pearchute

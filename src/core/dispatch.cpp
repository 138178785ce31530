// Which held job goes next, and to which engine: oldest runnable first, with an overtake budget.
#include <algorithm>

#include "core/control.h"
#include "core/control_math.h"

namespace pearchute {

using std::chrono::seconds;

namespace {

constexpr int overtake_budget = 4;  // the design's starting value

}  // namespace

// A job that comes frees no room, so what waits goes on to wait: only its own place is looked for. Guards
// against overload, in which a scan of the queue for each job that comes takes all of the processor.
void WorkloadManager::place_newcomer(TimePoint now, QueuedRequest& newcomer) {
  if (!may_go(now, newcomer) || !place(now, newcomer)) return;
  bool over_budget = false;
  for (const auto& [turn, id] : held_) {
    QueuedRequest& older = jobs_.at(id);
    if (may_go(now, older)) over_budget |= ++older.overtaken == overtake_budget + 1;
  }
  if (over_budget) release(now);
}

void WorkloadManager::release(TimePoint now) {
  std::vector<QueuedRequest*> passed;
  std::map<std::pair<RequestTypeId, int>, double> blocked;  // least need that found no room in this scan
  for (auto it = held_.begin(); it != held_.end();) {
    QueuedRequest& held = jobs_.at(it->second);
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
    for (QueuedRequest* older : passed) older->overtaken += 1;
  }
  for (QueuedRequest* waiter : passed) {
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

bool WorkloadManager::place(TimePoint now, QueuedRequest& held) {
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
  std::uint64_t turn =
      count - 1 - count * static_cast<std::uint64_t>(rules_.instance_index) / rules_.managers;
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
    const double warmed = cold(now, engine) ? (now - engine.told) / (1.0 * rules_.slow_start_duration) : 1;
    health *= by_turn ? 2
                      : rules_.slow_start_initial_capacity +
                            (1 - rules_.slow_start_initial_capacity) * std::min(warmed, 1.0);
    double spare = whole * health - engine.live_bytes - *grant;
    const double size = held.work_ms / std::max(mean_work_ms_.value, 1e-6);
    const std::uint64_t hash = shared_hash(held.job.data_set, id);
    const bool home = hash >= least_home || hash == near_home;
    if (!type.type.waits_for_data_load && home && (heeds_homes || !pooled(engine))) spare += 0.25 * whole;
    const double crossing = std::min(0.25, rules_.cross_zone_cost / std::max(size, 1e-3));
    if (engine.listed.zone != rules_.zone && !(anywhere && pooled(engine))) spare -= crossing * whole;
    if ((type.type.waits_for_data_load || type.type.loads_data_set) &&
        data_held(now, engine, held.job.data_set))
      spare -= whole;
    if (now < engine.last_full + seconds(2)) spare -= whole;  // others are tried first
    for (const Attempt& earlier : held.dispatches)
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

void WorkloadManager::send(TimePoint now, QueuedRequest& held, Engine& engine, double grant, bool home) {
  const TypeFigures& type = types_[held.job.type.value];
  held_.erase(held.turn), held.held = false, held.overtaken = 0;
  if (engine.protecting && engine.protected_for == held.job.id) engine.protecting = false;
  if (!held.dispatches.empty() && rules_.retry_budget_window) resent_.push_back(now);
  const int number = static_cast<int>(held.dispatches.size());
  Attempt dispatch{engine.listed.id, now, now, grant, type.type.threads};
  engine.live_bytes += grant, engine.live_threads += dispatch.threads, engine.dispatches += 1;
  engine.out.insert({now, {held.job.id, number}});
  if (type.type.loads_data_set) engine.loads[held.job.data_set] += 1;
  if (engine.on_trial) engine.trying = dispatch.trial = true;
  dispatch.home = home;
  // No turn looks back further.
  std::erase_if(engine.cold_sends, [&](auto& s) { return s.first < now - 3 * rules_.slow_start_window; });
  const double counted = by_turns(now, engine) ? cold_work(held) : usual_work(held);
  if (cold(now, engine)) engine.cold_sends.push_back({now, counted});
  held.out += 1, held.dispatches.push_back(dispatch);
  if (rules_.engines_take_grants || rules_.engines_take_priority) {
    host_.set_execution_terms(held.job.id, rules_.engines_take_grants ? grant : 0, priority(held));
  }
  // Guards against repeats that wait for a connection and leave when they are not known as such any more.
  if (held.first_uncertain_attempt_at && type.type.idempotency == Idempotency::idempotent_by_key) {
    const TimePoint last =
        *held.first_uncertain_attempt_at + type.type.deduplication_window - rules_.event_interval;
    host_.limit_send_delay(held.job.id, std::max(last - now, Duration(1)));
  }
  host_.dispatch(held.job.id, engine.listed.id, Duration(0));
}

}  // namespace pearchute

// The ledger of an engine: what it has room for, what a job needs of it, and the grant that a job would get.
#include <algorithm>

#include "core/control.h"
#include "core/control_math.h"

namespace pearchute {

using std::chrono::seconds;

double WorkloadManager::capacity(const Engine& engine) const {
  const double memory = kind_of(engine).memory_mb;
  double usual = 0;
  for (const TypeFigures& type : types_)
    usual = std::max(usual, type.typical_memory_mb.value * type.memory_bias);
  double most = std::max(memory * share_, std::min(memory, 2 * usual));
  // Exception: where engines tell the share of memory granted, the ledger goes by what the others leave. Half
  // of what is free beyond its own part is this manager's, since others read the same report.
  if (engine.others_bytes) {
    const double left = std::max(memory - *engine.others_bytes, 0.1 * memory);
    most = std::min(left, std::max(most, engine.live_bytes + (left - engine.live_bytes) / 2));
  }
  return most;
}

double WorkloadManager::ideal_ms(const QueuedRequest& held) const {
  const TypeFigures& type = types_[held.job.type.value];
  return held.work_ms * type.work_bias / type.type.threads;
}

double WorkloadManager::need_mb(const QueuedRequest& held) const {
  const TypeFigures& type = types_[held.job.type.value];
  const double estimate = held.job.memory_mb.value_or(0);
  // An eighth over the estimate: half of what engines choose by themselves, since the bias is learned.
  return estimate > 0 ? 1.125 * type.memory_bias * estimate : type.typical_memory_mb.value;
}

double WorkloadManager::slots(TimePoint now, const Engine& engine) const {
  const double learned = engine.even_slots * (pooled(engine) ? fleet_.open : engine.pace.open);
  return now < engine.told_at + seconds(2) ? std::max(learned, engine.told_slots) : learned;
}

// Exception: where engines' slots are less than one job of the largest type, such parts make one pool,
// lest many managers' single jobs add up past what the engines bear. Cold engines with turns stand outside: a
// turn is all that a manager may use of them, else their parts would go to the warm ones beside.
double WorkloadManager::pool_room(TimePoint now, double part) const {
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
std::optional<double> WorkloadManager::grant_on(TimePoint now, const Engine& engine,
                                                const QueuedRequest& held) const {
  const double whole = capacity(engine), open = slots(now, engine);
  const double cap = rules_.max_grant_share * kind_of(engine).memory_mb;
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

double WorkloadManager::density(const QueuedRequest& held) const {
  const TypeFigures& type = types_[held.job.type.value];
  double value = std::max(type.type.priority_weight, 1e-9);
  // No manager knows all of a tenant's traffic: its part of this manager's is held against its share.
  if (const int tenant = held.job.tenant.value; tenant >= 0) {
    const double fair = tenant_share_[tenant] * job_rate_;
    const double beyond = std::max(0.0, 1 - fair / std::max(tenant_rate_[tenant], 1e-9));
    value *= 1 - beyond * (1 - rules_.over_quota_weight);
  }
  return value / std::max(held.work_ms * type.work_bias, 1e-3);
}

// Short work first on scarce cores and disks: more is answered in time. Steps follow the ranks' scale.
int WorkloadManager::priority(const QueuedRequest& held) const {
  const double size = held.work_ms / std::max(mean_work_ms_.value, 1e-6);
  return size < 0.5 ? 3 : size < 2 ? 2 : size < 6 ? 1 : 0;
}

bool WorkloadManager::data_held(TimePoint now, const Engine& engine, DataSetId data_set) const {
  const auto told = engine.told_held.find(data_set);
  return engine.loads.contains(data_set) || (told != engine.told_held.end() && now < told->second);
}

// What runs on up to `until` no longer has its grant.
void WorkloadManager::let_go(Engine& engine, TimePoint until) {
  std::erase_if(engine.runs_on, [&](const Engine::RunsOn& one) {
    if (one.until > until) return false;
    engine.live_bytes -= one.grant, engine.live_threads -= one.threads;
    return true;
  });
}

}  // namespace pearchute

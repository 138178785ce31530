#include "core/request_queue.h"

#include <utility>

namespace pearchute {

namespace {

constexpr int bypass_budget = 4;

}  // namespace

void RequestQueue::push(RequestState& state) {
  state.is_queued = true;
  queue_[state.arrival_sequence] = state.request.id;
}

void RequestQueue::remove(RequestState& state) {
  state.is_queued = false;
  state.bypass_count = 0;
  queue_.erase(state.arrival_sequence);
}

void RequestQueue::release_newcomer(TimePoint now, RequestState& newcomer) {
  if (!dispatcher_.may_start(now, newcomer) || !dispatcher_.place(now, newcomer)) return;
  bool has_starved = false;
  for (const auto& [sequence, id] : queue_) {
    RequestState& older = requests_.at(id);
    if (!dispatcher_.may_start(now, older)) continue;
    older.bypass_count += 1;
    has_starved |= older.bypass_count == bypass_budget + 1;
  }
  if (has_starved) release(now);
}

void RequestQueue::release(TimePoint now) {
  std::vector<RequestState*> bypassed;
  // The least need in MB, by type and priority, that found no room in this scan: what needs no less finds
  // none either, so long queues stay cheap to scan.
  std::map<std::pair<RequestTypeId, int>, double> blocked;
  visit([&](RequestState& state) {
    if (!dispatcher_.may_start(now, state)) return;
    const std::pair like{state.request.type, work_.priority(state)};
    const bool is_first_attempt = state.attempts.empty();
    const auto known = blocked.find(like);
    const bool is_blocked =
        known != blocked.end() && is_first_attempt && work_.needed_mb(state) >= known->second;
    if (!is_blocked && dispatcher_.place(now, state)) {
      for (RequestState* older : bypassed) older->bypass_count += 1;
      return;
    }
    bypassed.push_back(&state);
    if (!is_blocked && is_first_attempt) blocked[like] = work_.needed_mb(state);
  });
  for (const RequestState* waiting : bypassed) {
    if (waiting->bypass_count > bypass_budget) reserve_for_starved(now, *waiting);
  }
}

// One engine, the one with the most free memory; another one where the request may not go there any more.
void RequestQueue::reserve_for_starved(TimePoint now, const RequestState& starved) {
  Engine* chosen = nullptr;
  double most_free_mb = 0;
  bool has_one = false;
  for (auto& [id, engine] : engines_) {
    EngineLedger& ledger = engine.ledger;
    const bool is_eligible = dispatcher_.is_eligible(now, starved, engine);
    if (ledger.is_reserved_for(starved.request.id)) {
      if (is_eligible) has_one = true;
      else ledger.cancel_starvation_reservation();
    } else if (!ledger.starvation_reservation() && is_eligible) {
      const double free_mb = dispatcher_.capacity_mb(engine) - ledger.reserved_mb();
      if (chosen && free_mb <= most_free_mb) continue;
      chosen = &engine;
      most_free_mb = free_mb;
    }
  }
  if (has_one || !chosen) return;
  chosen->ledger.reserve_for_starved(starved.request.id, work_.type(starved).threads);
}

}  // namespace pearchute

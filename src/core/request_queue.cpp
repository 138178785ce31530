#include "core/request_queue.h"

#include <utility>

namespace pearchute {

namespace {

constexpr int bypass_budget = 4;  // younger requests that may be sent before a waiting one

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
  if (!delegate_.may_start(now, newcomer) || !delegate_.place(now, newcomer)) return;
  bool has_starved = false;
  for (const auto& [sequence, id] : queue_) {
    RequestState& older = requests_.at(id);
    if (!delegate_.may_start(now, older)) continue;
    older.bypass_count += 1;
    has_starved |= older.bypass_count == bypass_budget + 1;
  }
  if (has_starved) release(now);
}

void RequestQueue::release(TimePoint now) {
  std::vector<RequestState*> bypassed;
  // By type and priority, the smallest memory need in MB for which this scan found no room. Requests that
  // need no less are skipped, which keeps scans of long queues cheap.
  std::map<std::pair<RequestTypeId, int>, double> blocked;
  visit([&](RequestState& state) {
    if (!delegate_.may_start(now, state)) return;
    const std::pair type_and_priority{state.request.type, work_.priority(state)};
    const bool is_first_attempt = state.attempts.empty();
    const auto blocked_need = blocked.find(type_and_priority);
    const bool is_blocked =
        blocked_need != blocked.end() && is_first_attempt && work_.needed_mb(state) >= blocked_need->second;
    if (!is_blocked && delegate_.place(now, state)) {
      for (RequestState* older : bypassed) older->bypass_count += 1;
      return;
    }
    bypassed.push_back(&state);
    if (!is_blocked && is_first_attempt) blocked[type_and_priority] = work_.needed_mb(state);
  });
  for (const RequestState* waiting : bypassed) {
    if (waiting->bypass_count > bypass_budget) reserve_for_starved(now, *waiting);
  }
}

// Reserves memory at one engine, the one with the most free memory. A reservation at an engine that is no
// longer eligible for the request is replaced by one at another engine.
void RequestQueue::reserve_for_starved(TimePoint now, const RequestState& starved) {
  Engine* chosen = nullptr;
  double max_free_mb = 0;
  bool has_reservation = false;
  for (auto& [id, engine] : engines_) {
    EngineLedger& ledger = engine.ledger;
    const bool is_eligible = delegate_.is_eligible(now, starved, engine);
    if (ledger.is_reserved_for(starved.request.id)) {
      if (is_eligible) has_reservation = true;
      else ledger.cancel_starvation_reservation();
    } else if (!ledger.starvation_reservation() && is_eligible) {
      const double free_mb = delegate_.capacity_mb(engine) - ledger.reserved_mb();
      if (chosen && free_mb <= max_free_mb) continue;
      chosen = &engine;
      max_free_mb = free_mb;
    }
  }
  if (has_reservation || !chosen) return;
  chosen->ledger.reserve_for_starved(starved.request.id, work_.type(starved).threads);
}

}  // namespace pearchute

#include "core/request_table.h"

namespace pearchute {

RequestState& RequestTable::add(const Request& request) {
  RequestState& state = requests_[request.id];
  state.request = request;
  state.arrival_sequence = next_sequence_++;
  by_sequence_[state.arrival_sequence] = request.id;
  return state;
}

RequestState* RequestTable::find(RequestId id) {
  const auto at = requests_.find(id);
  return at == requests_.end() ? nullptr : &at->second;
}

RequestState* RequestTable::find_by_sequence(std::uint64_t arrival_sequence) {
  const auto at = by_sequence_.find(arrival_sequence);
  return at == by_sequence_.end() ? nullptr : find(at->second);
}

AttemptRecord* RequestTable::find_outstanding(RequestId id, int attempt_index) {
  RequestState* state = find(id);
  if (!state || attempt_index >= static_cast<int>(state->attempts.size())) return nullptr;
  AttemptRecord& attempt = state->attempts[static_cast<std::size_t>(attempt_index)];
  return attempt.is_outstanding ? &attempt : nullptr;
}

void RequestTable::erase(RequestId id) {
  const auto at = requests_.find(id);
  if (at == requests_.end()) return;
  by_sequence_.erase(at->second.arrival_sequence);
  requests_.erase(at);
}

}  // namespace pearchute

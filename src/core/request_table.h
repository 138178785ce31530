// The open requests: all that have no final answer, or an attempt outstanding. Found by id and by arrival
// sequence.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

#include "core/request_state.h"
#include "core/types.h"

namespace pearchute {

// Owns the state of each open request.
class RequestTable {
 public:
  // Sequence numbers begin here; smaller ones are free for other wake-up tokens.
  static constexpr std::uint64_t first_sequence = 16;

  RequestState& add(const Request& request);
  // Null where it is not open.
  RequestState* find(RequestId id);
  RequestState* find_by_sequence(std::uint64_t arrival_sequence);
  // REQUIRES: it is open.
  RequestState& at(RequestId id) { return requests_.at(id); }
  // The attempt, only while it is outstanding: nothing may be reported of others. Null otherwise.
  AttemptRecord* find_outstanding(RequestId id, int attempt_index);
  void erase(RequestId id);
  std::size_t size() const { return requests_.size(); }
  // By arrival. The visitor may erase the request that it is given; false ends the visit.
  template <class Visit>
  void visit_by_arrival(Visit visit) {
    for (auto at = by_sequence_.begin(); at != by_sequence_.end();) {
      RequestState& state = requests_.at((at++)->second);
      if (!visit(state)) return;
    }
  }

 private:
  std::unordered_map<RequestId, RequestState> requests_;
  std::map<std::uint64_t, RequestId> by_sequence_;
  std::uint64_t next_sequence_ = first_sequence;
};

}  // namespace pearchute

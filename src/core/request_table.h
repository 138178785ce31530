// The open requests, by id and by arrival sequence number. A request is open until it has its final answer
// and no outstanding attempt.
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
  // Sequence numbers start here; smaller numbers serve as other wake-up tokens.
  static constexpr std::uint64_t first_sequence = 16;

  RequestState& add(const Request& request);
  // Returns null if the request is not open.
  RequestState* find(RequestId id);
  RequestState* find_by_sequence(std::uint64_t arrival_sequence);
  // REQUIRES: the request is open.
  RequestState& at(RequestId id) { return requests_.at(id); }
  // Returns the attempt while it is outstanding, else null: engines may report only on outstanding attempts.
  AttemptRecord* find_outstanding(RequestId id, int attempt_index);
  void erase(RequestId id);
  std::size_t size() const { return requests_.size(); }
  // Visits the requests in order of arrival until the visitor returns false. The visitor may erase the
  // request that it is called with.
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

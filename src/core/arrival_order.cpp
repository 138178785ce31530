#include "core/arrival_order.h"

#include <algorithm>

namespace pearchute {

namespace {

// Clients send the requests of a key at least 60 ms apart. Two requests of a key that arrived within a
// shorter time do not come from such a client, so the order in which they were read is as good as any other.
constexpr std::chrono::milliseconds min_client_spacing(50);

// Whether both have the same key and their arrival bounds leave open which of them arrived first.
bool overlap(const ArrivalOrder::Call& one, const ArrivalOrder::Call& other) {
  const bool is_open = one.earliest < other.latest && other.earliest < one.latest;
  const Duration within = std::max(one.latest, other.latest) - std::min(one.earliest, other.earliest);
  return one.key == other.key && is_open && within >= min_client_spacing;
}

}  // namespace

void ArrivalOrder::withdrawn(RequestId id) {
  std::erase_if(waiting_, [&](const Call& call) { return call.id == id; });
}

TimePoint ArrivalOrder::needs_read_up_to() const {
  return waiting_.empty() ? TimePoint::max() : std::ranges::min(waiting_, {}, &Call::latest).latest;
}

std::vector<ArrivalOrder::Settled> ArrivalOrder::settle(TimePoint now, TimePoint read_up_to) {
  // The midpoints of the bounds give the arrival order of all requests of a key whose bounds do not overlap.
  std::ranges::stable_sort(waiting_, {}, [](const Call& call) {
    return call.earliest.time_since_epoch() + call.latest.time_since_epoch();
  });
  const auto is_overdue = [&](const Call& call) { return now - call.read >= max_wait; };
  // A request is held back until everything has been read up to its own latest bound, and up to the latest
  // bound of each request of its key that may have arrived before it.
  const auto is_settled = [&](const Call& call) {
    return is_overdue(call) || std::ranges::none_of(waiting_, [&](const Call& other) {
             return other.key == call.key && other.latest > read_up_to &&
                    (other.id == call.id || other.earliest < call.latest);
           });
  };
  std::vector<Settled> settled;
  std::vector<Call> released, remaining;
  for (const Call& call : waiting_) {
    if (!is_settled(call)) {
      remaining.push_back(call);
      continue;
    }
    const bool all_is_read = call.latest <= read_up_to;
    const bool is_apart = std::ranges::none_of(released, [&](const Call& one) { return overlap(one, call); });
    settled.push_back({call.id, all_is_read && is_apart});
    released.push_back(call);
  }
  waiting_ = std::move(remaining);
  return settled;
}

}  // namespace pearchute

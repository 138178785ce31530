#include "core/arrival_order.h"

#include <algorithm>

namespace pearchute {

namespace {

// Clients write calls of a key at least 60 ms apart: of two that came closer together than that, which no
// such client writes, the order of reading is as good as any.
constexpr std::chrono::milliseconds closer_than_clients_write(50);

// Whether it can't be told which of the two came first.
bool overlap(const ArrivalOrder::Call& one, const ArrivalOrder::Call& other) {
  const bool is_open = one.earliest < other.latest && other.earliest < one.latest;
  const Duration within = std::max(one.latest, other.latest) - std::min(one.earliest, other.earliest);
  return one.key == other.key && is_open && within >= closer_than_clients_write;
}

}  // namespace

void ArrivalOrder::withdrawn(RequestId id) {
  std::erase_if(waiting_, [&](const Call& call) { return call.id == id; });
}

TimePoint ArrivalOrder::needs_read_up_to() const {
  return waiting_.empty() ? TimePoint::max() : std::ranges::min(waiting_, {}, &Call::latest).latest;
}

std::vector<ArrivalOrder::Settled> ArrivalOrder::settle(TimePoint now, TimePoint read_up_to) {
  // The middle of the bounds tells the order of all calls of a key whose bounds are apart.
  std::ranges::stable_sort(waiting_, {}, [](const Call& call) {
    return call.earliest.time_since_epoch() + call.latest.time_since_epoch();
  });
  const auto is_overdue = [&](const Call& call) { return now - call.read >= waits_at_most; };
  // What came between the others' bounds, or before, holds up those of its key.
  const auto is_settled = [&](const Call& call) {
    return is_overdue(call) || std::ranges::none_of(waiting_, [&](const Call& other) {
             return other.key == call.key && other.latest > read_up_to &&
                    (other.id == call.id || other.earliest < call.latest);
           });
  };
  std::vector<Settled> settled;
  std::vector<Call> gone, left;
  for (const Call& call : waiting_) {
    if (!is_settled(call)) {
      left.push_back(call);
      continue;
    }
    const bool all_is_read = call.latest <= read_up_to;
    const bool is_apart = std::ranges::none_of(gone, [&](const Call& one) { return overlap(one, call); });
    settled.push_back({call.id, all_is_read && is_apart});
    gone.push_back(call);
  }
  waiting_ = std::move(left);
  return settled;
}

}  // namespace pearchute

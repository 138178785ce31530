#include "fleet/caution.h"

#include <algorithm>

namespace pearchute::fleet {

std::vector<Loss> losses(const std::vector<Serving>& fleet, const std::vector<std::string>& stopped) {
  std::map<std::string, Loss> zones;
  for (const Serving& one : fleet) {
    if (!one.serves) continue;
    Loss& loss = zones[one.zone];
    loss.zone = one.zone;
    loss.serving += 1;
    loss.stopping += std::ranges::count(stopped, one.name) > 0;
  }
  std::vector<Loss> result;
  for (const auto& [zone, loss] : zones) {
    if (2 * loss.stopping > loss.serving) result.push_back(loss);
  }
  return result;
}

namespace {

// The worst comes first: what has to be looked at before anything else.
Status worst(const std::vector<Done>& each) {
  const auto any = [&](Done what) { return std::ranges::find(each, what) != each.end(); };
  if (any(Done::conflict)) return in_conflict;
  if (any(Done::refused)) return was_refused;
  if (any(Done::time_up)) return time_was_up;
  if (any(Done::unreachable)) return some_unreachable;
  return any(Done::not_begun) ? partly_done : all_done;
}

}  // namespace

Status status_of_question(const std::vector<Done>& each) { return worst(each); }

Status status_of_change(const std::vector<Done>& each) {
  const auto done = std::ranges::count(each, Done::yes);
  if (done > 0 && done < static_cast<std::ptrdiff_t>(each.size())) return partly_done;
  return worst(each);
}

}  // namespace pearchute::fleet

#include "core/data_affinity.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "core/units.h"

namespace pearchute {

namespace {

constexpr double tick_decay = 0.99;  // per tick: a time constant of about ten seconds
constexpr double min_remembered_requests = 0.001;
constexpr double max_rare_requests = 1;
// Added to the total, so that a data set does not get a large share from a few requests after the start.
constexpr double prior_requests = 20;
// Preferred engines for each mean engine's load that a data set draws. With two, no preferred engine gets
// more of the data set's load than a mean engine bears.
constexpr double preferred_engines_per_mean_load = 2.0;

}  // namespace

void DataAffinity::on_request(DataSetId data_set) {
  all_requests_ += 1;
  const auto known = requests_.find(data_set);
  if (known != requests_.end()) {
    known->second += 1;
    return;
  }
  if (requests_.size() >= max_remembered) forget_rare();
  if (requests_.size() < max_remembered) requests_.emplace(data_set, 1);
}

// Guards against a client that names ever new data sets, each of them once.
void DataAffinity::forget_rare() {
  std::erase_if(requests_, [](const auto& one) { return one.second <= max_rare_requests; });
}

void DataAffinity::decay() {
  all_requests_ *= tick_decay;
  for (auto& [data_set, requests] : requests_) requests *= tick_decay;
  std::erase_if(requests_, [](const auto& one) { return one.second < min_remembered_requests; });
}

bool DataAffinity::PreferredEngines::contains(EngineId engine) const {
  const std::uint64_t hash = rendezvous_hash(data_set_, engine);
  return hash >= min_hash_ || hash == same_zone_hash_;
}

DataAffinity::PreferredEngines DataAffinity::preferred(DataSetId data_set, const EngineMap& engines) const {
  PreferredEngines preferred;
  preferred.data_set_ = data_set;
  std::vector<std::uint64_t> hashes;
  for (const auto& [id, engine] : engines) {
    if (!engine.is_up) continue;
    hashes.push_back(rendezvous_hash(data_set, id));
    if (engine.endpoint.zone == own_zone_) {
      preferred.same_zone_hash_ = std::max(preferred.same_zone_hash_, hashes.back());
    }
  }
  const auto requests = requests_.find(data_set);
  const double share = requests == requests_.end() ? 0 : requests->second / (all_requests_ + prior_requests);
  const double preferred_count = share * preferred_engines_per_mean_load * static_cast<double>(hashes.size());
  const std::size_t count =
      std::min<std::size_t>(static_cast<std::size_t>(std::max(1.0, preferred_count)), hashes.size());
  std::ranges::sort(hashes, std::greater());
  preferred.min_hash_ = hashes.empty() ? 0 : hashes[count - 1];
  return preferred;
}

}  // namespace pearchute

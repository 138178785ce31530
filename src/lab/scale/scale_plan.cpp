#include "lab/scale/scale_plan.h"

#include <algorithm>
#include <numeric>
#include <random>

#include "errors/error.h"

namespace pearchute::lab {

namespace {

constexpr int managers_per_real_agent = 2, max_real_managers = 8;
// A rack of the target fleet has about thirty hosts.
constexpr std::size_t max_hosts_in_rack = 30;

std::knuth_b generator(std::uint64_t seed, std::uint64_t salt) {
  std::seed_seq mixed{seed, seed >> 32, salt};
  return std::knuth_b(mixed);
}

// Not std::shuffle: its order differs between standard libraries, and a seed must give one plan.
template <class Value>
void shuffle(std::vector<Value>& values, std::knuth_b& chance) {
  for (std::size_t left = values.size(); left > 1; --left)
    std::swap(values[left - 1], values[chance() % left]);
}

}  // namespace

const std::vector<Zone>& ScalePlan::zones() {
  static const std::vector<Zone> all = {
      {"north-a", Region::first},  {"north-b", Region::first}, {"south-a", Region::second},
      {"south-b", Region::second}, {"north-c", Region::first}, {"north-d", Region::first},
      {"south-c", Region::second},
  };
  return all;
}

std::vector<std::string> ScalePlan::zone_names() {
  std::vector<std::string> names;
  for (const Zone& zone : zones()) names.push_back(zone.name);
  return names;
}

ScalePlan::ScalePlan(int managers, std::uint64_t seed)
    : managers_(managers),
      real_managers_(std::clamp(managers / 8 / managers_per_real_agent, 1, 4) * managers_per_real_agent),
      engines_(std::max(static_cast<int>(zones().size()), managers * target_engines / target_managers)),
      seed_(seed) {
  static_assert(max_real_managers == 4 * managers_per_real_agent);
  if (managers < min_managers || managers > max_managers)
    throw UsageError("expected " + std::to_string(min_managers) + " to " + std::to_string(max_managers) +
                     " managers of a scale run, got " + std::to_string(managers));
  for (int n = 0; n < real_managers_ / managers_per_real_agent; ++n) {
    const Zone& zone = zones()[static_cast<std::size_t>(n * managers_per_real_agent) % zones().size()];
    real_agents_.push_back({"a" + std::to_string(n + 1), zone});
    regions_[real_agents_.back().name] = zone.region;
  }
  const auto hollow = static_cast<std::size_t>(managers - real_managers_);
  for (std::size_t z = 0, next = 0; z < zones().size(); ++z) {
    std::size_t left = hollow / zones().size() + (z < hollow % zones().size() ? 1 : 0);
    const std::size_t in_zone = (left + max_hosts_in_rack - 1) / max_hosts_in_rack;
    for (std::size_t r = in_zone; r > 0; --r) {
      PlannedRack& rack = racks_.emplace_back();
      rack.zone = zones()[z];
      const std::size_t hosts = (left + r - 1) / r;
      for (std::size_t h = 0; h < hosts; ++h, ++next) {
        const std::string number = std::to_string(next + 1);
        rack.hosts.push_back({"h" + number, "m" + number, zones()[z], racks_.size() - 1});
        regions_["h" + number] = zones()[z].region;
      }
      left -= hosts;
    }
  }
}

std::size_t ScalePlan::agents() const { return regions_.size(); }

std::map<std::string, std::string> ScalePlan::zone_by_agent() const {
  std::map<std::string, std::string> zones;
  for (const PlannedRealAgent& agent : real_agents_) zones[agent.name] = agent.zone.name;
  for (const PlannedRack& rack : racks_) {
    for (const PlannedHost& host : rack.hosts) zones[host.agent] = rack.zone.name;
  }
  return zones;
}

std::size_t ScalePlan::processes() const {
  return racks_.size() + real_agents_.size() + static_cast<std::size_t>(real_managers_);
}

std::set<std::size_t> ScalePlan::racks_in_zone(const std::string& zone) const {
  std::set<std::size_t> found;
  for (std::size_t r = 0; r < racks_.size(); ++r) {
    if (racks_[r].zone.name == zone) found.insert(r);
  }
  return found;
}

std::set<std::size_t> ScalePlan::draw_racks(std::size_t number, std::uint64_t salt) const {
  std::vector<std::size_t> all(racks_.size());
  std::iota(all.begin(), all.end(), std::size_t{0});
  std::knuth_b chance = generator(seed_, salt);
  shuffle(all, chance);
  all.resize(std::min(number, all.size()));
  return {all.begin(), all.end()};
}

std::string ScalePlan::draw_zone(std::uint64_t salt) const {
  std::knuth_b chance = generator(seed_, salt);
  return zones()[chance() % zones().size()].name;
}

std::vector<PlannedHost> ScalePlan::draw_hosts(std::size_t number, std::uint64_t salt) const {
  std::vector<PlannedHost> all;
  for (const PlannedRack& rack : racks_) all.insert(all.end(), rack.hosts.begin(), rack.hosts.end());
  std::knuth_b chance = generator(seed_, salt);
  shuffle(all, chance);
  all.resize(std::min(number, all.size()));
  return all;
}

std::set<std::size_t> ScalePlan::draw_third(std::uint64_t salt) const {
  std::vector<std::size_t> order(racks_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::knuth_b chance = generator(seed_, salt);
  shuffle(order, chance);
  const auto min_hosts = static_cast<std::size_t>(managers_ - real_managers_ + 2) / 3;
  std::set<std::size_t> drawn;
  std::size_t hosts = 0;
  for (const std::size_t rack : order) {
    if (hosts >= min_hosts) break;
    drawn.insert(rack);
    hosts += racks_[rack].hosts.size();
  }
  return drawn;
}

}  // namespace pearchute::lab

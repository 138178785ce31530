#include "fleet/topology.h"

#include <algorithm>
#include <utility>

#include "fleet/hash.h"

namespace pearchute::fleet {

namespace {

std::vector<std::string> ranked(const Unit& unit, std::vector<std::string> names) {
  const std::string key = to_string(unit);
  std::ranges::sort(names, [&](const std::string& a, const std::string& b) {
    return std::pair(rendezvous_weight(key, b), b) < std::pair(rendezvous_weight(key, a), a);
  });
  return names;
}

}  // namespace

std::string_view name_of(Level level) {
  constexpr std::string_view names[] = {"group", "zone", "region"};
  return names[static_cast<int>(level)];
}

std::string to_string(const Unit& unit) {
  std::string text = unit.region;
  if (unit.level != Level::region) text += '/' + unit.zone;
  if (unit.level == Level::group) text += '/' + std::to_string(unit.group);
  return text;
}

std::uint64_t id_of(const Unit& unit) {
  Fnv1a hash;
  hash.add(to_string(unit));
  return mix_bits(hash.value());
}

const Unit& Placement::at(Level level) const {
  if (level == Level::group) return group;
  return level == Level::zone ? zone : region;
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
  Fnv1a hash;
  hash.add(key);
  hash.add_byte(0);  // occurs in no name, so that "ab", "c" and "a", "bc" get different weights
  hash.add(candidate);
  return mix_bits(hash.value());
}

Topology::Topology(const std::vector<Member>& members) {
  std::map<std::string, Member> by_name;
  for (const Member& member : members) by_name[member.name] = member;
  std::map<std::pair<std::string, std::string>, std::vector<std::string>> zones;
  for (const auto& [name, member] : by_name) zones[{member.region, member.zone}].push_back(name);
  for (const auto& [place, names] : zones) place_zone(place.first, place.second, names);
  for (const auto& [name, placement] : placements_) {
    for (const Level level : {Level::group, Level::zone, Level::region})
      members_[placement.at(level)].push_back(name);
  }
  for (auto& [unit, names] : members_) names = ranked(unit, std::move(names));
}

void Topology::place_zone(const std::string& region, const std::string& zone,
                          const std::vector<std::string>& names) {
  const Unit zone_unit{Level::zone, region, zone, 0};
  const std::size_t group_count = (names.size() + target_group_size - 1) / target_group_size;
  std::vector<std::size_t> sizes(group_count);
  for (const std::string& name : ranked(zone_unit, names)) {
    std::vector<std::pair<std::uint64_t, std::uint32_t>> weights;
    for (std::uint32_t group = 0; group < group_count; ++group)
      weights.emplace_back(rendezvous_weight(to_string({Level::group, region, zone, group}), name), group);
    std::ranges::sort(weights, std::greater<>());
    // One group always has room, since the groups together can hold more members than the zone has.
    const auto chosen = std::ranges::find_if(
        weights, [&](const auto& weight) { return sizes[weight.second] < max_group_size; });
    ++sizes[chosen->second];
    placements_[name] = {
        {Level::group, region, zone, chosen->second}, zone_unit, {Level::region, region, {}, 0}};
  }
}

std::optional<Placement> Topology::placement(const std::string& member) const {
  const auto found = placements_.find(member);
  if (found == placements_.end()) return std::nullopt;
  return found->second;
}

const std::vector<std::string>& Topology::ranked_members(const Unit& unit) const {
  static const std::vector<std::string> none;
  const auto found = members_.find(unit);
  return found == members_.end() ? none : found->second;
}

std::vector<Unit> Topology::siblings(const Unit& unit) const {
  std::vector<Unit> result;
  for (const auto& [other, names] : members_) {
    if (other.level != unit.level || other == unit) continue;
    if (unit.level != Level::region && other.region != unit.region) continue;
    if (unit.level == Level::group && other.zone != unit.zone) continue;
    result.push_back(other);
  }
  return result;
}

std::vector<Unit> Topology::children(const Unit& unit) const {
  std::vector<Unit> result;
  for (const auto& [other, names] : members_) {
    if (unit.level == Level::group || other.region != unit.region) continue;
    const bool child_of_zone =
        unit.level == Level::zone && other.level == Level::group && other.zone == unit.zone;
    const bool child_of_region = unit.level == Level::region && other.level == Level::zone;
    if (child_of_zone || child_of_region) result.push_back(other);
  }
  return result;
}

std::vector<Unit> Topology::units() const {
  std::vector<Unit> result;
  for (const auto& [unit, names] : members_) result.push_back(unit);
  return result;
}

}  // namespace pearchute::fleet

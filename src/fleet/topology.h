// The group, zone and region to which each agent of the fleet belongs, and the order in which the members of
// a unit are candidates for a role such as aggregator. The topology is a pure function of the member list:
// all agents that have the same list compute the same placement, without exchanging messages.
//
// Rendezvous hashing with bounded load splits a zone into groups of bounded size: each member is placed in
// the group with the greatest weight for it that has room. When a member joins or leaves, few others change
// their group.
//
// Immutable once constructed, so it may be shared between threads.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearchute::fleet {

// A member of the fleet, as configured.
struct Member {
  std::string name, region, zone;
  bool operator==(const Member&) const = default;
};

// The levels of the tree, from the smallest units to the largest.
enum class Level { group, zone, region };
std::string_view name_of(Level level);

// One node of the tree of levels. Fields below its level are empty; groups are numbered within their zone.
struct Unit {
  Level level = Level::group;
  std::string region, zone;
  std::uint32_t group = 0;
  auto operator<=>(const Unit&) const = default;
};
std::string to_string(const Unit& unit);
// Returns the id of a unit in messages, which is the same in every process.
std::uint64_t id_of(const Unit& unit);

// The units that contain a member, from the smallest to the largest.
struct Placement {
  Unit group, zone, region;
  const Unit& at(Level level) const;
};

// Returns the weight of a candidate for a key in rendezvous hashing. It is the same in every process, build
// and machine.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

// The placement of all members of the fleet.
class Topology {
 public:
  // Average number of members of the groups of a large zone.
  static constexpr std::size_t target_group_size = 8;
  // Maximum number of members of a group. It bounds the cost of exchanging status within the group.
  static constexpr std::size_t max_group_size = 10;

  Topology() = default;
  // If several members have the same name, the last one is used.
  explicit Topology(const std::vector<Member>& members);

  bool contains(const std::string& member) const { return placements_.contains(member); }
  std::optional<Placement> placement(const std::string& member) const;
  // Returns the members of a unit by descending rendezvous weight; empty for a unit that does not exist.
  const std::vector<std::string>& ranked_members(const Unit& unit) const;
  // Returns the other units with the same parent; for a region, the other regions.
  std::vector<Unit> siblings(const Unit& unit) const;
  // Returns the units directly below; none for a group.
  std::vector<Unit> children(const Unit& unit) const;
  bool contains(const Unit& unit) const { return members_.contains(unit); }
  std::vector<Unit> units() const;
  std::size_t size() const { return placements_.size(); }  // number of members

 private:
  void place_zone(const std::string& region, const std::string& zone, const std::vector<std::string>& names);

  std::map<std::string, Placement> placements_;
  std::map<Unit, std::vector<std::string>> members_;
};

}  // namespace pearchute::fleet

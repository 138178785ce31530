// Which group, zone and region each agent of the fleet belongs to, and in which order the members of a unit
// are candidates for a duty. It is a pure function of the member list: every agent that has the same list
// computes the same placement, without any message.
//
// A zone is split into groups of bounded size by rendezvous hashing with bounded load: each member goes to
// the group of its greatest weight that has room. A member that joins or leaves moves few others.
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

// One node of the tree of levels. Fields below its level are empty; `group` counts within the zone.
struct Unit {
  Level level = Level::group;
  std::string region, zone;
  std::uint32_t group = 0;
  auto operator<=>(const Unit&) const = default;
};
std::string to_string(const Unit& unit);
// Identifies a unit in messages; the same in every process.
std::uint64_t id_of(const Unit& unit);

// The units that contain a member, from the smallest to the largest.
struct Placement {
  Unit group, zone, region;
  const Unit& at(Level level) const;
};

// The weight of a candidate for a key in rendezvous hashing; the same in every process, build and machine.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

// The placement of all members of the fleet.
class Topology {
 public:
  // Groups have about this many members,
  static constexpr std::size_t target_group_size = 8;
  // and never more than this many, which bounds the cost of exchanging status within a group.
  static constexpr std::size_t max_group_size = 10;

  Topology() = default;
  // Of members with the same name the last one counts.
  explicit Topology(const std::vector<Member>& members);

  bool contains(const std::string& member) const { return placements_.contains(member); }
  std::optional<Placement> placement(const std::string& member) const;
  // By descending rendezvous weight; empty for a unit that does not exist.
  const std::vector<std::string>& ranked_members(const Unit& unit) const;
  // The other units with the same parent; for a region, the other regions.
  std::vector<Unit> siblings(const Unit& unit) const;
  // The units directly below; none for a group.
  std::vector<Unit> children(const Unit& unit) const;
  bool contains(const Unit& unit) const { return members_.contains(unit); }
  std::vector<Unit> units() const;
  std::size_t size() const { return placements_.size(); }

 private:
  void place_zone(const std::string& region, const std::string& zone, const std::vector<std::string>& names);

  std::map<std::string, Placement> placements_;
  std::map<Unit, std::vector<std::string>> members_;
};

}  // namespace pearchute::fleet

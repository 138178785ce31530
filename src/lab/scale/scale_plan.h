// The layout of a scale run: the hosts with their zones, regions and racks, and which agents and managers are
// real processes. Pure: the same size and seed give the same plan.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pearchute::lab {

enum class Region { first, second };

struct Zone {
  std::string name;
  Region region;
};

// A hollow host: an agent with its manager. A real agent runs several real managers instead.
struct PlannedHost {
  std::string agent, manager;
  Zone zone;
  std::size_t rack = 0;  // index
};

// Hollow hosts of one zone that fail together. A rack is one operating-system process.
struct PlannedRack {
  Zone zone;
  std::vector<PlannedHost> hosts;
};

struct PlannedRealAgent {
  std::string name;
  Zone zone;
};

class ScalePlan {
 public:
  static constexpr int min_managers = 14, max_managers = 1024;
  static constexpr int target_managers = 630, target_engines = 740;
  // The limit of operating-system processes that a run may start.
  static constexpr std::size_t max_processes = 300;

  // Throws UsageError if `managers` is out of bounds.
  explicit ScalePlan(int managers, std::uint64_t seed);

  static const std::vector<Zone>& zones();
  static std::vector<std::string> zone_names();

  int managers() const { return managers_; }
  int real_managers() const { return real_managers_; }
  int engines() const { return engines_; }
  std::size_t agents() const;
  std::size_t processes() const;  // to be started, without the laboratory's own
  const std::vector<PlannedRealAgent>& real_agents() const { return real_agents_; }
  const std::vector<PlannedRack>& racks() const { return racks_; }
  // By the name of the agent, for all real and hollow agents.
  const std::map<std::string, Region>& regions() const { return regions_; }
  std::map<std::string, std::string> zone_by_agent() const;

  // The targets of faults, drawn by the seed of the plan and `salt`. Racks are indices into racks().
  std::set<std::size_t> racks_in_zone(const std::string& zone) const;
  std::set<std::size_t> draw_racks(std::size_t number, std::uint64_t salt) const;
  std::string draw_zone(std::uint64_t salt) const;
  // Up to `number` hollow hosts of any racks.
  std::vector<PlannedHost> draw_hosts(std::size_t number, std::uint64_t salt) const;
  // A third of all hollow hosts, rounded up to whole racks.
  std::set<std::size_t> draw_third(std::uint64_t salt) const;

 private:
  int managers_, real_managers_, engines_;
  std::uint64_t seed_;
  std::vector<PlannedRealAgent> real_agents_;
  std::vector<PlannedRack> racks_;
  std::map<std::string, Region> regions_;
};

}  // namespace pearchute::lab

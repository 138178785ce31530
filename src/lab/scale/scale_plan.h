// The layout of a scale run: which hosts there are, in which zone and region each stands, which of them share
// a rack, and which are real processes. Pure: the same size and seed give the same plan.
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

// One host: an agent with its manager. A real agent looks after several real managers instead.
struct PlannedHost {
  std::string agent, manager;
  Zone zone;
  std::size_t rack = 0;
};

// Hosts of one zone behind one switch. A rack of hollow hosts is one operating-system process.
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
  static constexpr int least_managers = 14, most_managers = 1024;
  static constexpr int target_managers = 630, target_engines = 740;
  // Operating-system processes that a run may start.
  static constexpr std::size_t most_processes = 300;

  // Throws UsageError where the size is out of bounds.
  explicit ScalePlan(int managers, std::uint64_t seed);

  static const std::vector<Zone>& zones();
  static std::vector<std::string> zone_names();

  int managers() const { return managers_; }
  int real_managers() const { return real_managers_; }
  int engines() const { return engines_; }
  std::size_t agents() const;
  std::size_t processes() const;  // without the laboratory's own
  const std::vector<PlannedRealAgent>& real_agents() const { return real_agents_; }
  const std::vector<PlannedRack>& racks() const { return racks_; }
  // By the name of each agent, real and hollow.
  const std::map<std::string, Region>& regions() const { return regions_; }
  std::map<std::string, std::string> zone_by_agent() const;

  // What a fault strikes, drawn by the plan's seed: indices of racks.
  std::set<std::size_t> racks_in_zone(const std::string& zone) const;
  std::set<std::size_t> draw_racks(std::size_t number, std::uint64_t salt) const;
  std::string draw_zone(std::uint64_t salt) const;
  // So many hollow hosts, over all racks.
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

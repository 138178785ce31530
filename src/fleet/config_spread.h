// Spreads configuration versions among agents, and collects at which agents the current one is in force.
//
// An agent pushes a new version to a few random peers in its zone and elsewhere. A periodic exchange with one
// random peer repairs what the pushes missed; it carries only hashes while nothing changes. Acknowledgements
// have one entry for each agent and are merged by revision. After its start an agent applies and publishes
// nothing until it has verified its version with other agents.
//
// Not thread-safe. The class reads no clock and does no I/O, except that ConfigReplica::Host persists
// versions.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/config_version.h"
#include "fleet/time.h"

namespace pearchute::fleet {

// The location of an agent.
struct ConfigLocation {
  std::string zone;  // unique across all regions
};

// An instance at which the agent could not bring a version into force.
struct ConfigObstacle {
  std::string instance, reason;
  bool operator==(const ConfigObstacle&) const = default;
};

// Whether the current version is in force at one agent. Of two acknowledgements the one with the greater
// revision is kept, so that an agent can withdraw an acknowledgement, for instance after its instances were
// replaced.
struct AgentAcknowledgement {
  static constexpr std::size_t max_obstacles = 4;
  std::uint32_t revision = 0;  // 0: the agent has acknowledged nothing yet
  bool in_force = false;       // at each of its instances
  std::vector<ConfigObstacle> obstacles;
  bool operator==(const AgentAcknowledgement&) const = default;
};
// The acknowledgements of all agents, in the order of the agents' names.
using ConfigAcknowledgements = std::vector<AgentAcknowledgement>;
// Maximum number of agents whose obstacles a message carries.
inline constexpr std::size_t max_agents_with_obstacles = 32;

// A question of an exchange, or the answer to it.
struct ConfigMessage {
  std::string from;                                // the sender's name
  ConfigMark mark;                                 // of the sender's version; epoch 0: it has none
  std::uint64_t members = 0;                       // hash of the agents' names
  std::uint64_t acknowledged = 0;                  // hash of the acknowledgements
  std::uint64_t superseded_hash = 0;               // hash of the records of superseded versions
  std::shared_ptr<const ConfigDocument> document;  // shared, since many messages carry the same one
  std::optional<ConfigAcknowledgements> acknowledgements;
  std::vector<SupersededConfig> superseded;
};
// Returns the approximate size of an encoded message in bytes.
std::size_t bytes_of(const ConfigMessage& message);

// The version in force at one of this agent's instances.
struct InstanceConfig {
  std::string instance;
  ConfigMark in_force;              // epoch 0: no published version is in force
  std::string not_in_force_reason;  // the manager's reason why the current version is not in force
};

// The state of the spread, for operators.
struct ConfigReport {
  // The number of agents of a zone, and of those at which the version is in force.
  struct Zone {
    std::size_t agents = 0, in_force = 0;
  };
  static constexpr std::size_t max_listed_names = 32;
  ConfigMark mark;
  bool verified = false;
  std::size_t copies = 0;  // durable copies that this agent knows of, its own included
  std::map<std::string, Zone> zones;
  std::size_t not_in_force = 0;    // number of agents at which the version is not in force
  std::vector<std::string> names;  // the first of these agents: "agent: unknown", "agent/instance: reason"
  std::vector<SupersededConfig> superseded;
};

// One agent's part in the spread of configuration versions.
class ConfigSpread {
 public:
  // Time between two exchanges: while nothing changes, and after a change or until verified().
  static constexpr Duration idle_interval = std::chrono::milliseconds(1000);
  static constexpr Duration active_interval = std::chrono::milliseconds(250);
  // How long active_interval applies after the last change.
  static constexpr Duration active_for = std::chrono::seconds(5);
  // Time after which an unanswered exchange counts as missed.
  static constexpr Duration answer_timeout = std::chrono::milliseconds(800);
  // Number of peers to which an agent pushes a version that it has received. The agent at which the version
  // is published pushes it to one peer in each other zone instead of pushes_elsewhere.
  static constexpr std::size_t pushes_in_zone = 3, pushes_elsewhere = 1;
  static constexpr std::size_t max_open_exchanges = 16;
  // Number of peers (or all, if there are fewer) that have to answer after a start before a version is
  // applied or published.
  static constexpr std::size_t verifying_peers = 2;
  // Number of durable copies that confirm a publication: it then survives the loss of two disks at once.
  static constexpr std::size_t confirming_copies = 3;

  // `on_disk` is the persisted state.
  ConfigSpread(ConfigReplica::Host& host, std::string self, ConfigLocation location, std::uint64_t seed,
               ConfigReplica::State on_disk);

  // Replaces the other agents, by name. Any change clears the acknowledgements that have been collected.
  void set_peers(TimePoint now, const std::map<std::string, ConfigLocation>& peers);
  // Publishes a version, and pushes it if it is accepted. Refused as `unverified` until verified().
  PublishResult publish(TimePoint now, const PublishRequest& request);
  // Sets which version is in force at each of this agent's instances.
  void set_instances(TimePoint now, const std::vector<InstanceConfig>& instances);

  // Returns the peers with which to begin an exchange now. Each exchange has to be concluded exactly once, by
  // answered() or missed().
  std::vector<std::string> due(TimePoint now);
  // Returns the time at which to call due() again.
  TimePoint next(TimePoint now) const;
  // Returns the question to send to a peer that due() has returned.
  ConfigMessage question(TimePoint now, const std::string& peer) const;
  // Merges a peer's question, and returns the answer to it.
  ConfigMessage receive(TimePoint now, const ConfigMessage& question);
  void answered(TimePoint now, const std::string& peer, const ConfigMessage& answer);
  void missed(TimePoint now, const std::string& peer);

  // Returns whether verifying_peers peers have answered since the start.
  bool verified() const;
  // Returns whether confirming_copies durable copies of the current version are known.
  bool confirmed() const;
  // Returns the version to apply at this agent's instances; none until verified().
  std::optional<ConfigDocument> to_apply() const;
  const ConfigReplica& replica() const { return replica_; }
  // Returns whether the agent has acknowledged that the current version is in force.
  bool reported_in_force(const std::string& agent) const;
  ConfigReport report() const;

 private:
  // Another agent.
  struct Peer {
    ConfigLocation location;
    bool in_flight = false;
    int failed_pushes = 0;
  };
  bool active(TimePoint now) const { return now < active_until_; }
  void changed(TimePoint now);
  void version_changed(TimePoint now, bool author);
  void push_to_some(const std::vector<std::string>& candidates, std::size_t number);
  std::vector<std::string> peers_in(const std::string& zone, bool inside) const;
  void merge(TimePoint now, const ConfigMessage& message);
  void merge_acknowledgements(TimePoint now, const ConfigAcknowledgements& acknowledgements);
  void acknowledge(TimePoint now);
  ConfigMessage marks() const;
  ConfigAcknowledgements acknowledgements_to_send() const;
  std::size_t index_of(const std::string& agent) const;
  static void list_obstacles(const std::string& agent, const AgentAcknowledgement& acknowledgement,
                             std::vector<std::string>& lines);

  ConfigReplica replica_;
  std::shared_ptr<const ConfigDocument> current_;  // the replica's current document
  const std::string self_;
  const ConfigLocation location_;
  std::knuth_b random_;
  std::map<std::string, Peer> peers_;
  std::vector<std::string> members_;  // all agents by name, this one included, sorted
  std::uint64_t members_hash_ = 0;
  ConfigAcknowledgements acknowledgements_;
  std::uint64_t acknowledgements_hash_ = 0;
  // The greatest revision that peers have of this agent from before its restart; 0: none.
  std::uint32_t own_revision_received_ = 0;
  std::vector<InstanceConfig> instances_;
  bool instances_known_ = false;           // set_instances() was called
  std::set<std::string> verified_peers_;   // peers that have answered since the start
  std::set<std::string> peers_with_copy_;  // peers with a durable copy of the current version
  std::set<std::string> pending_pushes_;   // peers to which the current version is still to be pushed
  TimePoint next_exchange_{}, active_until_{};
  std::size_t exchanges_in_flight_ = 0;
};

}  // namespace pearchute::fleet

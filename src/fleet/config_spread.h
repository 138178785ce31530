// Spreads configuration versions among agents, and collects where the current one is in force.
//
// A new version is pushed to a few random peers in this agent's zone and elsewhere; a periodic exchange with
// one random peer, which when nothing changes carries hashes only, repairs what the push missed.
// Acknowledgements are one entry for each agent, merged by revision. After its start an agent applies and
// publishes nothing until it has verified its version with other agents.
//
// Not thread-safe. It reads no clock and does no I/O, except that ConfigReplica::Host persists versions.
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

// Where an agent is.
struct ConfigLocation {
  std::string zone;  // unique over all regions
};

// An instance in which the agent could not bring a version into force.
struct ConfigObstacle {
  std::string instance, reason;
  bool operator==(const ConfigObstacle&) const = default;
};

// Whether the current version is in force at one agent. The greater revision stands, so that an agent can
// withdraw an acknowledgement, for instance after its instances were replaced.
struct AgentAcknowledgement {
  static constexpr std::size_t max_obstacles = 4;
  std::uint32_t revision = 0;  // 0: nothing is known
  bool in_force = false;       // in each of its instances
  std::vector<ConfigObstacle> obstacles;
  bool operator==(const AgentAcknowledgement&) const = default;
};
// Of all agents, in the order of their names.
using ConfigAcknowledgements = std::vector<AgentAcknowledgement>;
// Agents of which a message carries the obstacles.
inline constexpr std::size_t max_agents_with_obstacles = 32;

// A question, or the answer to it.
struct ConfigMessage {
  std::string from;
  ConfigMark mark;                                 // of the sender's version; epoch 0: unknown
  std::uint64_t members = 0;                       // hash of the agents' names
  std::uint64_t acknowledged = 0;                  // hash of the acknowledgements
  std::uint64_t superseded_hash = 0;               // hash of the records of superseded versions
  std::shared_ptr<const ConfigDocument> document;  // shared, since many messages carry the same one
  std::optional<ConfigAcknowledgements> acknowledgements;
  std::vector<SupersededConfig> superseded;
};
// The encoded size of a message in bytes, approximately.
std::size_t bytes_of(const ConfigMessage& message);

// Which version is in force at one of the own instances.
struct InstanceConfig {
  std::string instance;
  ConfigMark in_force;              // epoch 0: none that was published
  std::string not_in_force_reason;  // why the current one is not, as its manager reports
};

// The state of the spread, for operators.
struct ConfigReport {
  // Agents of a zone, and those of them where the version is in force.
  struct Zone {
    std::size_t agents = 0, in_force = 0;
  };
  static constexpr std::size_t max_listed_names = 32;
  ConfigMark mark;
  bool verified = false;
  std::size_t copies = 0;  // durable ones that this agent knows of, its own included
  std::map<std::string, Zone> zones;
  std::size_t not_in_force = 0;    // agents
  std::vector<std::string> names;  // the first of them: "agent: unknown", "agent/instance: reason"
  std::vector<SupersededConfig> superseded;
};

// One agent's part in the spread of configuration versions.
class ConfigSpread {
 public:
  // The time between two exchanges while nothing changes, and after a change.
  static constexpr Duration idle_interval = std::chrono::milliseconds(1000);
  static constexpr Duration active_interval = std::chrono::milliseconds(250);
  // How long it stays active after the last change.
  static constexpr Duration active_for = std::chrono::seconds(5);
  // When an exchange counts as missed.
  static constexpr Duration answer_timeout = std::chrono::milliseconds(800);
  // Peers to which a new version is pushed.
  static constexpr std::size_t pushes_in_zone = 3, pushes_elsewhere = 1;
  static constexpr std::size_t max_open_exchanges = 16;
  // Peers that have to answer after a start before a version is applied or published.
  static constexpr std::size_t verifying_peers = 2;
  // Durable copies by which a publication is confirmed: it survives the loss of two disks at once.
  static constexpr std::size_t confirming_copies = 3;

  // `on_disk` is what was persisted.
  ConfigSpread(ConfigReplica::Host& host, std::string self, ConfigLocation location, std::uint64_t seed,
               ConfigReplica::State on_disk);

  void set_peers(TimePoint now, const std::map<std::string, ConfigLocation>& peers);
  PublishResult publish(TimePoint now, const PublishRequest& request);
  // Sets which version is in force at each of the own instances.
  void set_instances(TimePoint now, const std::vector<InstanceConfig>& instances);

  // The peers to begin an exchange with now. Each exchange has to be concluded once, by answered() or
  // missed().
  std::vector<std::string> due(TimePoint now);
  // When to call due() again.
  TimePoint next(TimePoint now) const;
  ConfigMessage question(TimePoint now, const std::string& peer) const;
  // Merges a peer's question, and returns the answer.
  ConfigMessage receive(TimePoint now, const ConfigMessage& question);
  void answered(TimePoint now, const std::string& peer, const ConfigMessage& answer);
  void missed(TimePoint now, const std::string& peer);

  // Whether enough peers have answered since the start.
  bool verified() const;
  // Whether enough durable copies of the current version are known.
  bool confirmed() const;
  // The version that instances are to have; none until it is verified.
  std::optional<ConfigDocument> to_apply() const;
  const ConfigReplica& replica() const { return replica_; }
  // Whether that agent has acknowledged the current version.
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
  std::vector<std::string> members_;  // all agents, this one included, in order
  std::uint64_t members_hash_ = 0;
  ConfigAcknowledgements acknowledgements_;
  std::uint64_t acknowledgements_hash_ = 0;
  std::uint32_t own_revision_received_ = 0;  // that others know of this agent, from before its restart
  std::vector<InstanceConfig> instances_;
  bool instances_known_ = false;
  std::set<std::string> verified_peers_;   // that have answered since the start
  std::set<std::string> peers_with_copy_;  // of the current version
  std::set<std::string> pending_pushes_;   // peers to which the current version is pushed
  TimePoint next_exchange_{}, active_until_{};
  std::size_t exchanges_in_flight_ = 0;
};

}  // namespace pearchute::fleet

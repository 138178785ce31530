// Spreads configuration versions among agents, and collects where the current one is in force. A new version
// is pushed eagerly to a few peers, chosen by seed across zones; a periodic exchange with one peer, which at
// rest carries marks only, repairs what the push missed. Acknowledgements are one entry for each agent,
// merged by revision. It knows no network, file, thread or clock.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/config_version.h"
#include "fleet/instance_lifecycle.h"

namespace pearchute::fleet {

struct ConfigLocation {
  std::string zone;  // unique over all regions
};

// An instance in which the agent could not bring a version into force.
struct ConfigObstacle {
  std::string instance, reason;
  bool operator==(const ConfigObstacle&) const = default;
};

// What one agent says of the current version. The greater revision stands, so that an agent can take back
// what it said before, after its instances were replaced for instance. Revision 0: nothing is known.
struct AgentAcknowledgement {
  static constexpr std::size_t max_obstacles = 4;
  std::uint32_t revision = 0;
  bool in_force = false;  // in each of its instances
  std::vector<ConfigObstacle> obstacles;
  bool operator==(const AgentAcknowledgement&) const = default;
};
// By the agents' names, in their order. A message names the obstacles of so many agents at most.
using ConfigAcknowledgements = std::vector<AgentAcknowledgement>;
constexpr std::size_t max_agents_with_obstacles = 32;

// Both a question and its answer.
struct ConfigMessage {
  std::string from;
  ConfigMark mark;                    // of the version held; epoch 0: unknown
  std::uint64_t members = 0;          // digest of the agents' names, over which acknowledgements are counted
  std::uint64_t acknowledged = 0;     // digest of the acknowledgements
  std::uint64_t superseded_hash = 0;  // digest of the records of superseded versions
  std::shared_ptr<const ConfigDocument> document;  // shared, since many messages carry the same one
  std::optional<ConfigAcknowledgements> acknowledgements;
  std::vector<SupersededConfig> superseded;
};
std::size_t bytes_of(const ConfigMessage& message);

struct InstanceConfig {
  std::string instance;
  ConfigMark in_force;              // epoch 0: none of ours
  std::string not_in_force_reason;  // the current one is not in force, as its manager says
};

// For operators.
struct ConfigReport {
  struct Zone {
    std::size_t agents = 0, in_force = 0;
  };
  static constexpr std::size_t max_listed_names = 32;
  ConfigMark mark;
  bool verified = false;
  std::size_t copies = 0;  // durable ones known to this agent, its own among them
  std::map<std::string, Zone> zones;
  std::size_t not_in_force = 0;
  std::vector<std::string> names;  // the first of them: "agent: unknown", "agent/instance: why"
  std::vector<SupersededConfig> superseded;
};

class ConfigSpread {
 public:
  static constexpr Duration idle_interval = std::chrono::milliseconds(1000);
  static constexpr Duration active_interval = std::chrono::milliseconds(250);
  static constexpr Duration active_for =
      std::chrono::seconds(5);  // after the last change of what is known here
  static constexpr Duration answer_timeout = std::chrono::milliseconds(800);
  static constexpr std::size_t pushes_in_zone = 3, pushes_elsewhere = 1;
  static constexpr std::size_t max_open_exchanges = 16;  // exchanges under way
  // So many peers are heard after a start before a version is applied or published.
  static constexpr std::size_t verifying_peers = 2;
  // Durable copies by which a publication is confirmed: it outlives the loss of two disks at once.
  static constexpr std::size_t confirming_copies = 3;

  ConfigSpread(ConfigReplica::Host& host, std::string self, ConfigLocation place, std::uint64_t seed,
               ConfigReplica::State on_disk);

  void set_peers(TimePoint now, const std::map<std::string, ConfigLocation>& peers);
  PublishResult publish(TimePoint now, const PublishRequest& request);
  void set_instances(TimePoint now, const std::vector<InstanceConfig>& instances);

  // Exchanges to begin now. Each has to be answered() or missed() once.
  std::vector<std::string> due(TimePoint now);
  TimePoint next(TimePoint now) const;
  ConfigMessage question(TimePoint now, const std::string& peer) const;
  ConfigMessage receive(TimePoint now, const ConfigMessage& question);
  void answered(TimePoint now, const std::string& peer, const ConfigMessage& answer);
  void missed(TimePoint now, const std::string& peer);

  bool verified() const;
  bool confirmed() const;
  // What instances are to have; none until it is verified.
  std::optional<ConfigDocument> to_apply() const;
  const ConfigReplica& replica() const { return replica_; }
  bool reported_in_force(const std::string& agent) const;
  ConfigReport report() const;

 private:
  struct Peer {
    ConfigLocation place;
    bool open = false;
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

  ConfigReplica replica_;
  std::shared_ptr<const ConfigDocument> shared_;  // the replica's current document
  const std::string self_;
  const ConfigLocation place_;
  std::knuth_b random_;
  std::map<std::string, Peer> peers_;
  std::vector<std::string> members_;  // all agents, this one included, in order
  std::uint64_t members_hash_ = 0;
  ConfigAcknowledgements acknowledgements_;
  std::uint64_t acknowledgements_hash_ = 0;
  std::uint32_t own_revision_received_ = 0;  // of what others know of this agent, from before a restart
  std::vector<InstanceConfig> instances_;
  bool instances_known_ = false;
  std::set<std::string> verified_peers_, copies_;
  std::set<std::string> pushes_;  // peers that are to have the current version, and are not known to
  TimePoint next_exchange_{}, active_until_{};
  std::size_t open_ = 0;
};

}  // namespace pearchute::fleet

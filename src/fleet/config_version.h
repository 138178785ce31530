// Versions of the fleet's configuration: the document, the order that decides which of two documents replaces
// the other, and the replica that accepts published and received documents.
//
// Documents are totally ordered by (epoch, number, digest), so all replicas that have seen the same documents
// hold the same one. The digest covers the content and its ancestry. A document that is replaced by one which
// does not descend from it is superseded by conflict: the replica records it and never drops it silently.
//
// Not thread-safe. The replica does no I/O, except that the Host persists versions.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearchute::fleet {

// Identifies one version. The order of the members decides conflicts: the greater mark wins.
struct ConfigMark {
  std::uint64_t epoch = 0, number = 0;
  std::string digest;  // 128 bits of SHA-256, in hexadecimal
  auto operator<=>(const ConfigMark&) const = default;
};

// One version of the configuration. A valid document satisfies is_intact().
struct ConfigDocument {
  static constexpr std::size_t max_content_bytes = 64 * 1024;
  static constexpr std::size_t max_ancestors = 32;

  ConfigMark mark;
  std::string author;                  // the agent at which it was published
  std::vector<std::string> ancestors;  // digests of the versions before it, the parent first
  std::string content;
  bool operator==(const ConfigDocument&) const = default;

  // Returns whether the other version is among the recorded ancestors, at most max_ancestors back.
  bool descends_from(const ConfigMark& other) const;
};

// Computes the digest that a valid document has in its mark.
std::string digest_of(const ConfigDocument& document);
// Returns whether the document's sizes are within bounds and its mark has the digest of its content.
bool is_intact(const ConfigDocument& document);

// The record of a document that was replaced by one which does not descend from it.
struct SupersededConfig {
  ConfigMark mark, by;  // of the replaced document and of its winner
  std::string author;
  std::vector<std::string> ancestors;
  bool operator==(const SupersededConfig&) const = default;
};

// The result of a publication.
enum class PublishResult {
  accepted,
  unverified,    // not enough peers have answered since the start
  unknown,       // this replica has no version; only a version of a new epoch is accepted
  stale_parent,  // the current version is not the one that the author based the new one on
  too_large,
  not_written,  // the version could not be persisted and is not published
};
// Returns the name that messages to operators use.
std::string_view name_of(PublishResult result);

// A request to publish a version.
struct PublishRequest {
  std::string parent;  // the digest of the version that the author based this one on; empty: of none
  std::string content;
  bool new_epoch = false;  // for the first version of a fleet, or after the loss of all replicas
};

// The version that one agent has, and the records of superseded versions that it knows. Each change is
// durable before it becomes visible.
class ConfigReplica {
 public:
  static constexpr std::size_t max_superseded = 16;
  // The persisted state.
  struct State {
    std::optional<ConfigDocument> current;     // none: the agent has no version
    std::vector<SupersededConfig> superseded;  // those with the greatest marks, sorted by mark
    bool operator==(const State&) const = default;
  };
  // Persists the state. Must outlive the ConfigReplica.
  class Host {
   public:
    virtual ~Host() = default;
    // Returns true once the state is durable; on false the previous state is unchanged.
    virtual bool write_config(const State& state) = 0;
  };

  ConfigReplica(Host& host, std::string self, State on_disk);

  const State& state() const { return state_; }
  const std::optional<ConfigDocument>& current() const { return state_.current; }
  ConfigMark mark() const { return state_.current ? state_.current->mark : ConfigMark(); }

  PublishResult publish(const PublishRequest& request);
  // Accepts a document from another agent. Returns true if it is now the current version of this replica.
  bool receive(const ConfigDocument& document);
  // Merges another agent's records. Returns true if this has changed the state.
  bool receive_superseded(const std::vector<SupersededConfig>& records);

 private:
  static void add(State& state, const SupersededConfig& record);

  Host& host_;
  const std::string self_;
  State state_;
};

}  // namespace pearchute::fleet

// Versions of the fleet's configuration: what a document is, which of two replaces the other, and what a
// replica does with one that is published or received. It knows no network, file, thread or clock.
//
// Documents are totally ordered by (epoch, number, digest), so all replicas that have seen the same documents
// hold the same one. The digest covers the content and its ancestry. A document that loses against one which
// does not descend from it is superseded by conflict: it is recorded as such and never dropped silently.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearchute::fleet {

// Identifies one version. The order of the members is the conflict rule.
struct ConfigMark {
  std::uint64_t epoch = 0, number = 0;
  std::string digest;  // 128 bits of SHA-256, in hexadecimal
  auto operator<=>(const ConfigMark&) const = default;
};

struct ConfigDocument {
  static constexpr std::size_t max_content_bytes = 64 * 1024;
  static constexpr std::size_t max_ancestors = 32;

  ConfigMark mark;
  std::string author;                  // the agent at which it was published
  std::vector<std::string> ancestors;  // digests, the parent first
  std::string content;
  bool operator==(const ConfigDocument&) const = default;

  bool descends_from(const ConfigMark& other) const;
};

std::string digest_of(const ConfigDocument& document);
// Whether its bounds hold and its digest is that of what it holds.
bool is_intact(const ConfigDocument& document);

// A document that lost against one which does not descend from it.
struct SupersededConfig {
  ConfigMark mark, by;
  std::string author;
  std::vector<std::string> ancestors;
  bool operator==(const SupersededConfig&) const = default;
};

enum class PublishResult {
  accepted,
  unverified,    // not enough peers have been heard since the start
  unknown,       // no version is known here; only a new epoch can begin
  stale_parent,  // another version is in force here than the author had seen
  too_large,
  not_written,  // the disk took nothing, and nothing is published
};
std::string_view name_of(PublishResult result);

struct PublishRequest {
  std::string parent;  // the digest of the version that the author had seen
  std::string content;
  bool new_epoch = false;  // for the first version of a fleet, or after the loss of all replicas
};

// The versions that one agent holds. Each change is durable before it can be seen.
class ConfigReplica {
 public:
  static constexpr std::size_t max_superseded = 16;
  struct State {
    std::optional<ConfigDocument> current;     // none: unknown
    std::vector<SupersededConfig> superseded;  // the greatest marks, in their order
    bool operator==(const State&) const = default;
  };
  class Host {
   public:
    virtual ~Host() = default;
    // Durable when it returns true; nothing is changed when it returns false.
    virtual bool write_config(const State& state) = 0;
  };

  ConfigReplica(Host& host, std::string self, State on_disk);

  const State& state() const { return state_; }
  const std::optional<ConfigDocument>& current() const { return state_.current; }
  ConfigMark mark() const { return state_.current ? state_.current->mark : ConfigMark(); }

  PublishResult publish(const PublishRequest& request);
  // True where it is now the version held here.
  bool receive(const ConfigDocument& document);
  // True where something was new.
  bool receive_superseded(const std::vector<SupersededConfig>& records);

 private:
  static void add(State& state, const SupersededConfig& record);

  Host& host_;
  const std::string self_;
  State state_;
};

}  // namespace pearchute::fleet

// Operators' directives to drain engines, or the manager itself, merged with the states that discovery
// reports into the states that the manager goes by. A manager never takes an engine for more available than
// discovery reports it.
//
// A directive has an id, a holder, a generation and a lease. On one subject each holder has one directive;
// the subject drains while any holder's directive says so (the most restrictive one wins). Of two directives
// the one with the newer generation stands, whichever comes last; of the same generation, the one that
// drains. When a lease runs out, the subject returns to the state that discovery reports. A repeated
// directive changes nothing.
//
// Not thread-safe. It reads no clock and does no I/O: times are the caller's steady clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/time.h"

namespace pearchute::fleet {

// The administrative state of an engine, the most available one first.
enum class AdminState { up, draining, gone };

// A directive to drain or restore a subject.
struct DrainDirective {
  std::string id;       // the same when it is sent again
  std::string subject;  // an engine's name; "@" and an address: whatever engine is there; "": the manager
  std::string holder;   // the operator who answers for it
  std::uint64_t generation = 0;  // of the holder's directives; from 1
  bool drains = true;            // false: restores
  bool all_holders = false;      // a restore that ends older directives of all holders, not only its own
  Duration lease{};              // how long a drain holds
  std::string reason;
};

// What became of a directive.
enum class DirectiveResult {
  done,      // it is in force
  repeated,  // it was in force already, or has been since; nothing changed
  stale,     // one of a newer generation stands
  conflict,  // another one of this generation stands
  full,      // the table of directives is full
  unusable,  // names or figures are out of bounds
};

// A directive that is in force, or a restore that is remembered.
struct ActiveDirective {
  DrainDirective order;
  TimePoint since{}, until{};
};

// The directives at one manager, with their leases.
class Drains {
 public:
  // Must outlive the Drains.
  class Host {
   public:
    virtual ~Host() = default;
    // A directive, or its end, has changed the state of a listed engine.
    virtual void engine_state_changed(const std::string& engine, AdminState state) = 0;
    virtual void manager_drains(bool drains) = 0;
    // Asks for on_timer() at that time. A later call replaces an earlier one.
    virtual void wake_at(TimePoint when) = 0;
    virtual void directives_changed() = 0;  // all() is to be persisted
    virtual void log(std::string_view text) = 0;
  };

  // The longest works on a machine take days.
  static constexpr Duration max_lease = std::chrono::days(7);
  // 1,024 engines, each twice; with the longest names and reasons 1.4 MB.
  static constexpr std::size_t max_directives = 2048;
  static constexpr std::size_t max_name_bytes = 128;  // as tokens of the protocol
  static constexpr std::size_t max_reason_bytes = 256;

  explicit Drains(Host& host) : host_(host) {}
  Drains(const Drains&) = delete;
  Drains& operator=(const Drains&) = delete;

  // Sets the state that discovery reports. Returns the one to go by; the caller acts on it, not the Host.
  AdminState on_discovery_update(TimePoint now, const std::string& engine, const std::string& address,
                                 AdminState discovered);
  // Discovery has reported all engines: any other is gone.
  void on_discovery_snapshot(TimePoint now, const std::set<std::string>& engines);
  DirectiveResult apply(TimePoint now, const DrainDirective& directive);
  // Call before anything else, for each persisted directive, with what is left of its lease.
  void restore(TimePoint now, const DrainDirective& directive, Duration left);
  // Ends the directives whose lease has run out.
  void on_timer(TimePoint now);

  bool manager_drains() const;
  AdminState state_of(const std::string& engine) const;  // gone where it is not listed
  // By subject and holder, remembered restores included.
  std::vector<ActiveDirective> all() const;
  // Drains only.
  std::vector<ActiveDirective> in_force() const;
  // Drains of this engine, by its name or address.
  std::vector<ActiveDirective> in_force(const std::string& engine) const;
  std::uint64_t newest_generation() const { return newest_generation_; }

 private:
  // An engine that discovery lists, and the state that was announced for it.
  struct ListedEngine {
    std::string address;
    AdminState discovered = AdminState::up;
    AdminState announced = AdminState::up;
  };
  // By holder. Under the empty name: the newest restore for all holders.
  using Holders = std::map<std::string, ActiveDirective>;

  AdminState merged(const std::string& engine, const ListedEngine& listed) const;
  bool has_drain(const std::string& subject) const;
  std::size_t directive_count() const;
  DirectiveResult check(const DrainDirective& directive, const Holders& holders) const;
  void put(TimePoint now, const DrainDirective& directive, Holders& holders);
  void schedule_timer();
  void announce_changes();

  Host& host_;
  std::map<std::string, ListedEngine> engines_;
  std::map<std::string, Holders> subjects_;
  bool manager_announced_ = false;
  std::uint64_t newest_generation_ = 0;
};

// Names for operators and messages.
std::string_view name_of(AdminState state);
std::string_view name_of(DirectiveResult result);

}  // namespace pearchute::fleet

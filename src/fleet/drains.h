// Operators' directives to drain engines or the manager itself. They are merged with the states that
// discovery reports into the administrative states that the manager uses. The merged state of an engine is
// never more available than the one that discovery reports.
//
// A directive has an id, a holder, a generation and a lease. Each holder has at most one directive on a
// subject, and the subject drains while any holder's directive drains it (the most restrictive one wins). Of
// two directives of one holder the one with the newer generation wins, whichever arrives last; of the same
// generation, the drain wins. When a lease expires, the subject returns to the state that discovery reports.
// A repeated directive changes nothing.
//
// Not thread-safe. The class reads no clock and does no I/O: times are the caller's steady clock.
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
  std::string id;       // the same when the directive is sent again
  std::string subject;  // an engine's name; "@" and an address: the engine at that address; "": the manager
  std::string holder;   // the operator who is responsible for the directive
  std::uint64_t generation = 0;  // orders the holder's directives; from 1
  bool drains = true;            // false: the directive restores the subject
  bool all_holders = false;      // a restore that ends older directives of all holders, not only its own
  Duration lease{};              // how long a drain stays in force; not used by a restore
  std::string reason;
};

// The result of applying a directive.
enum class DirectiveResult {
  done,      // the directive is in force
  repeated,  // the same directive is in force already; nothing has changed
  stale,     // a directive of a newer generation is in force
  conflict,  // another directive of the same generation is in force
  full,      // the table of directives is full
  unusable,  // a name, the generation, the reason or the lease is invalid
};

// A drain that is in force, or a restore that is remembered to recognize older directives.
struct ActiveDirective {
  DrainDirective order;
  TimePoint since{}, until{};  // `until`: end of the lease, or of the time that the restore is remembered
};

// The directives at one manager, with their leases.
class Drains {
 public:
  // Carries out the decisions. Must outlive the Drains.
  class Host {
   public:
    virtual ~Host() = default;
    // Called when a directive, or its end, has changed the state of a listed engine.
    virtual void engine_state_changed(const std::string& engine, AdminState state) = 0;
    // Called when a directive on the manager itself comes into force (`drains`) or the last one ends.
    virtual void manager_drains(bool drains) = 0;
    // Requests a call of on_timer() at `when`. A later request replaces an earlier one.
    virtual void wake_at(TimePoint when) = 0;
    // Called when all() has changed and has to be persisted.
    virtual void directives_changed() = 0;
    virtual void log(std::string_view text) = 0;
  };

  // The longest maintenance of a machine takes days.
  static constexpr Duration max_lease = std::chrono::days(7);
  // Two directives for each of 1,024 engines: 1.4 MB with the longest names and reasons.
  static constexpr std::size_t max_directives = 2048;
  static constexpr std::size_t max_name_bytes = 128;  // the limit of the protocol's tokens
  static constexpr std::size_t max_reason_bytes = 256;

  explicit Drains(Host& host) : host_(host) {}
  Drains(const Drains&) = delete;
  Drains& operator=(const Drains&) = delete;

  // Sets the state that discovery reports for an engine. Returns the merged state, which the caller has to
  // apply: the Host gets no call for it. An empty `address` leaves the known one.
  AdminState on_discovery_update(TimePoint now, const std::string& engine, const std::string& address,
                                 AdminState discovered);
  // Removes all engines except those named: discovery has reported its full list.
  void on_discovery_snapshot(TimePoint now, const std::set<std::string>& engines);
  DirectiveResult apply(TimePoint now, const DrainDirective& directive);
  // Restores a persisted directive with the time that is left until it ends. Call for each before anything
  // else.
  void restore(TimePoint now, const DrainDirective& directive, Duration left);
  // Ends the directives whose lease has expired.
  void on_timer(TimePoint now);

  bool manager_drains() const;
  AdminState state_of(const std::string& engine) const;  // gone for an engine that is not listed
  // Returns all drains and remembered restores, sorted by subject and holder.
  std::vector<ActiveDirective> all() const;
  // Returns the drains in force, sorted by subject and holder.
  std::vector<ActiveDirective> in_force() const;
  // Returns the drains in force on this engine, by its name or its address.
  std::vector<ActiveDirective> in_force(const std::string& engine) const;
  // The greatest generation of any directive that was accepted or restored.
  std::uint64_t newest_generation() const { return newest_generation_; }

 private:
  // An engine that discovery lists, and the state that was announced for it.
  struct ListedEngine {
    std::string address;
    AdminState discovered = AdminState::up;
    AdminState announced = AdminState::up;
  };
  // Directives by holder. The empty name has the newest restore for all holders.
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

// Return the names that messages and operators' output use.
std::string_view name_of(AdminState state);
std::string_view name_of(DirectiveResult result);

}  // namespace pearchute::fleet

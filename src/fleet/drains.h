// The orders of operators to drain engines, or the manager itself, merged with what the channel says of
// engines into what the manager is to go by. It owns the orders and their leases; it knows no socket, file or
// clock, and never makes an engine more available than the channel says.
//
// An order has an id, a holder, a generation and a lease. On one subject each holder has one order in force;
// the subject drains while any holder's order says so (most restrictive wins). Of two orders the one with the
// newer generation stands, whichever comes last; of the same generation, the one that drains. A lease that
// runs out returns to the channel's word. The same order again changes nothing.
#pragma once

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

enum class AdminState { up, draining, gone };

struct DrainDirective {
  std::string id;       // the same when it is sent again
  std::string subject;  // an engine's name; "@" and an address: whatever engine is there; "": the manager
  std::string holder;   // who answers for it
  std::uint64_t generation = 0;
  bool drains = true;        // false: restores
  bool all_holders = false;  // a restore that ends older orders of all holders, not its own only
  Duration lease{};          // how long it holds, of a drain
  std::string reason;
};

enum class DirectiveResult {
  done,      // in force
  repeated,  // was in force already, or has been since; nothing changed
  stale,     // a newer generation stands
  conflict,  // another order of this generation stands
  full,      // the table of orders is full
  unusable,  // names or figures out of bounds
};

struct ActiveDirective {
  DrainDirective order;
  TimePoint since{}, until{};
};

class Drains {
 public:
  class Host {
   public:
    virtual ~Host() = default;
    // An order, or the end of one, has changed how a listed engine stands.
    virtual void engine_state_changed(const std::string& engine, AdminState state_of) = 0;
    virtual void manager_drains(bool drains) = 0;
    virtual void wake_at(TimePoint when) = 0;
    virtual void directives_changed() = 0;  // what is to survive a restart is other than before
    virtual void log(std::string_view text) = 0;
  };
  static constexpr Duration max_lease =
      std::chrono::hours(7 * 24);                      // the longest works on a machine take days
  static constexpr std::size_t max_directives = 2048;  // 1,024 engines, each twice; at their longest 1.4 MB
  static constexpr std::size_t max_name_bytes = 128;   // as the protocol's own tokens
  static constexpr std::size_t max_reason_bytes = 256;

  explicit Drains(Host& host) : host_(host) {}
  Drains(const Drains&) = delete;
  Drains& operator=(const Drains&) = delete;

  // The channel's word on one engine; what the manager goes by instead. The caller passes that on.
  AdminState on_discovery_update(TimePoint now, const std::string& engine, const std::string& address,
                                 AdminState discovered);
  // The channel has told all there is: other engines are gone.
  void on_discovery_snapshot(TimePoint now, const std::set<std::string>& engines);
  DirectiveResult apply(TimePoint now, const DrainDirective& order);
  // An order from before a restart, with what was left of its lease. It comes first or not at all.
  void restore(TimePoint now, const DrainDirective& order, Duration left);
  void on_timer(TimePoint now);

  bool manager_drains() const;
  AdminState state_of(const std::string& engine) const;  // gone where it is not listed
  std::vector<ActiveDirective> all() const;              // by subject and holder, restores that are known too
  std::vector<ActiveDirective> in_force() const;         // drains only
  std::vector<ActiveDirective> in_force(const std::string& engine) const;  // those that hold this engine
  std::uint64_t newest_generation() const { return newest_generation_; }

 private:
  struct ListedEngine {
    std::string address;
    AdminState discovered = AdminState::up, announced = AdminState::up;
  };
  using Subject =
      std::map<std::string, ActiveDirective>;  // by holder; "" is the newest that spoke for everyone

  AdminState merged(const std::string& engine, const ListedEngine& listed) const;
  bool has_drain(const std::string& subject) const;
  void announce_changes();
  std::size_t directive_count() const;
  bool is_valid(const DrainDirective& order) const;

  Host& host_;
  std::map<std::string, ListedEngine> engines_;
  std::map<std::string, Subject> subjects_;
  bool manager_announced_ = false;
  std::uint64_t newest_generation_ = 0;
};

std::string_view name_of(AdminState state_of);
std::string_view name_of(DirectiveResult verdict);

}  // namespace pearchute::fleet

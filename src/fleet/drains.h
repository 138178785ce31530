// The orders of operators to drain engines, or the manager itself, merged with what the channel says of
// engines into what the manager is to go by. It owns the orders and their leases; it knows no socket, file or
// clock, and never makes an engine more available than the channel says.
//
// An order has an id, a holder, a generation and a lease. On one subject each holder has one order in force;
// the subject drains while any holder's order says so (most restrictive wins). Of two orders the one with the
// newer generation stands, whichever comes last; of the same generation, the one that drains. A lease that
// runs out returns to the channel's word. The same order again changes nothing.
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

namespace pearchute::fleet {

using Span = std::chrono::microseconds;  // since the manager's start

enum class Standing { up, draining, gone };

struct Order {
  std::string id;       // the same when it is sent again
  std::string subject;  // an engine's name; "@" and an address: whatever engine is there; "": the manager
  std::string holder;   // who answers for it
  std::uint64_t generation = 0;
  bool drains = true;     // false: restores
  bool everyone = false;  // a restore that ends older orders of all holders, not its own only
  Span lease{};           // how long it holds, of a drain
  std::string reason;
};

enum class Verdict {
  done,      // in force
  repeated,  // was in force already, or has been since; nothing changed
  stale,     // a newer generation stands
  conflict,  // another order of this generation stands
  full,      // the table of orders is full
  unusable,  // names or figures out of bounds
};

struct Held {
  Order order;
  Span since{}, until{};
};

class Drains {
 public:
  class Host {
   public:
    virtual ~Host() = default;
    // An order, or the end of one, has changed how a listed engine stands.
    virtual void engine_stands(const std::string& engine, Standing standing) = 0;
    virtual void manager_drains(bool drains) = 0;
    virtual void wake_at(Span when) = 0;
    virtual void orders_changed() = 0;  // what is to survive a restart is other than before
    virtual void remark(std::string_view text) = 0;
  };
  static constexpr Span longest_lease =
      std::chrono::hours(7 * 24);                   // the longest works on a machine take days
  static constexpr std::size_t most_orders = 2048;  // 1,024 engines, each twice; at their longest 1.4 MB
  static constexpr std::size_t longest_name = 128;  // as the protocol's own tokens
  static constexpr std::size_t longest_reason = 256;

  explicit Drains(Host& host) : host_(host) {}
  Drains(const Drains&) = delete;
  Drains& operator=(const Drains&) = delete;

  // The channel's word on one engine; what the manager goes by instead. The caller passes that on.
  Standing channel_said(Span now, const std::string& engine, const std::string& address, Standing said);
  // The channel has told all there is: other engines are gone.
  void channel_told_all(Span now, const std::set<std::string>& engines);
  Verdict ordered(Span now, const Order& order);
  // An order from before a restart, with what was left of its lease. It comes first or not at all.
  void remembered(Span now, const Order& order, Span left);
  void woken(Span now);

  bool manager_drains() const;
  Standing standing(const std::string& engine) const;  // gone where it is not listed
  std::vector<Held> all() const;                       // by subject and holder, restores that are known too
  std::vector<Held> in_force() const;                  // drains only
  std::vector<Held> in_force(const std::string& engine) const;  // those that hold this engine
  std::uint64_t newest_generation() const { return newest_; }

 private:
  struct Listed {
    std::string address;
    Standing said = Standing::up, told = Standing::up;
  };
  using Subject = std::map<std::string, Held>;  // by holder; "" is the newest that spoke for everyone

  Standing merged(const std::string& engine, const Listed& listed) const;
  bool held(const std::string& subject) const;
  void settle();
  std::size_t orders() const;
  bool usable(const Order& order) const;

  Host& host_;
  std::map<std::string, Listed> engines_;
  std::map<std::string, Subject> subjects_;
  bool manager_told_ = false;
  std::uint64_t newest_ = 0;
};

std::string_view word_for(Standing standing);
std::string_view word_for(Verdict verdict);

}  // namespace pearchute::fleet

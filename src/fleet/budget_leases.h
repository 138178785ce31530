// Leases on parts of a warming engine's slow-start budget, lent by one manager to another: the protocol as
// one agent runs it for its own managers.
//
// A warming engine's budget limits what may be sent to it in a window. Each manager has an equal share of
// that budget, counted in eighths, and may lend some of these eighths for the length of a lease. Invariant:
// the shares in force at an engine never add up to more than its budget, whatever is lost, partitioned,
// paused, killed or restarted, and without an elected leader. The lender always gives up its part before the
// borrower takes it:
//   1. The lender's agent persists the lease, then orders its manager to send less.
//   2. Once that manager has acknowledged the order, one whole window has to pass, because the work that it
//      sent before still counts against the budget.
//   3. Only then is the lease granted, and the borrower's agent orders its manager to send more.
// The borrower counts the lease from its request, the lender from the grant and for one window longer, so the
// borrower always stops first. Without messages every manager returns to its equal share by itself.
//
// Not thread-safe. The class reads no clock: times are this agent's steady clock.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/time.h"

namespace pearchute::fleet {

// An engine during one warm-up. After a restart of the engine's process it is a different WarmingEngine.
struct WarmingEngine {
  std::string name;
  std::uint64_t start = 0;  // identifies the start of the engine's process
  auto operator<=>(const WarmingEngine&) const = default;
};

// A request for a lease or for its renewal.
struct BudgetLeaseRequest {
  std::string id;  // of the lease, the same from the first request to the last renewal
  WarmingEngine engine;
  std::string borrower;     // the manager that will use the lease
  int eighths = 0;          // requested
  int used = 0;             // eighths in use; a lease of which less than half is used is not renewed
  std::uint64_t round = 1;  // number of the request for this lease; the response repeats it
  auto operator<=>(const BudgetLeaseRequest&) const = default;
};

// The response to one request. With 0 eighths it refuses the lease or its renewal; what was granted before
// stays valid until it expires.
struct BudgetLeaseResponse {
  std::string id;  // of the lease
  int eighths = 0;
  std::uint64_t round = 1;
};

// The budget leases that one agent's managers have lent and borrowed.
class BudgetLeases {
 public:
  // A manager's equal share, in eighths. A finer unit would be smaller than one short request.
  static constexpr int full_share = 8;
  // Eighths that a manager never lends, so that it can still send a short request in every other window.
  static constexpr int min_retained_share = 2;

  // A lease that one of this agent's managers has granted, as it is persisted.
  struct BudgetLease {
    WarmingEngine engine;
    std::string lender, borrower;  // managers
    std::string to;                // the borrower's agent
    int eighths = 0;
    bool operator==(const BudgetLease&) const = default;
  };

  // Carries out the decisions. Must outlive the BudgetLeases.
  class Host {
   public:
    virtual ~Host() = default;
    // Persists all leases granted by this agent, by id. Returns true once they are durable; on false nothing
    // new is lent.
    virtual bool persist(const std::map<std::string, BudgetLease>& leases) = 0;
    // Orders one of this agent's managers to use this many eighths at the engine until `until`, and its equal
    // share afterwards. By the manager's own clock, a share below the equal one has to be kept at least that
    // long, a share above it at most that long. A manager ignores an order whose fence is less than that of
    // an order it has.
    virtual void send_share(const std::string& manager, const WarmingEngine& engine, int eighths,
                            TimePoint until, std::uint64_t fence) = 0;
    virtual void send_request(const std::string& agent, const BudgetLeaseRequest& request) = 0;
    virtual void send_response(const std::string& agent, const BudgetLeaseResponse& response) = 0;
  };

  // `window` is the period to which a warming engine's budget applies; `lease` is the duration of a lease.
  // `incarnation` is this agent's and has to be persisted before this call: fences and lease ids are numbered
  // within it.
  BudgetLeases(Host& host, std::string self, std::uint64_t incarnation, Duration window, Duration lease);
  BudgetLeases(const BudgetLeases&) = delete;
  BudgetLeases& operator=(const BudgetLeases&) = delete;

  // Returns how long a manager that has just started sends nothing to warming engines unless it has an order:
  // for as long as an order to its previous incarnation, or a lease granted by that one, may be in force.
  static Duration startup_quiet_period(Duration window, Duration lease);

  // Restores the persisted leases; each counts for its whole duration again. Call before anything else. If
  // the persisted state is lost (`lost`), nothing is lent or borrowed for a startup quiet period.
  void restore(TimePoint now, const std::map<std::string, BudgetLease>& leases, bool lost);
  // Sets this agent's managers that accept orders, with their equal shares in eighths: full_share, or 0 for a
  // manager that joined after the shares were allotted and can only borrow.
  void set_managers(const std::map<std::string, int>& managers);
  // Handles the restart of a manager's process: the new process gets its orders again.
  void on_manager_restarted(TimePoint now, const std::string& manager);
  // Sets how much a manager's traffic would let it send to an engine, in eighths of an equal share.
  void set_demand(TimePoint now, const std::string& manager, const WarmingEngine& engine, int eighths);
  // Handles a manager's acknowledgement of the order with this fence.
  void on_share_acknowledged(TimePoint now, const std::string& manager, const WarmingEngine& engine,
                             std::uint64_t fence);
  void on_request(TimePoint now, const std::string& agent, const BudgetLeaseRequest& request);
  void on_response(TimePoint now, const std::string& agent, const BudgetLeaseResponse& response);
  // Expires and renews leases, and requests new ones. Call about twice a second. `lenders` are the agents
  // whose status is fresh, the least loaded first.
  void on_timer(TimePoint now, const std::vector<std::string>& lenders);

  // Returns the eighths that a manager may use at an engine: its own share, minus what it lends, plus what it
  // borrows.
  int share(TimePoint now, const std::string& manager, const WarmingEngine& engine) const;
  std::size_t lent() const { return granted_leases_.size(); }
  std::size_t borrowed() const { return borrowed_leases_.size(); }

 private:
  using ShareKey = std::pair<std::string, WarmingEngine>;  // a manager and an engine
  // A lease that one of this agent's managers has granted, or will grant once its share is reduced.
  struct GrantedLease {
    BudgetLease lease;
    std::optional<TimePoint> reduced_since;  // since when the lender's share is reduced without a gap
    std::optional<TimePoint> granted_at;     // time of the last response that granted the lease
    TimePoint ordered_until{};               // end of the last order to the lender
    TimePoint acknowledged_until{};          // end of the last order that the lender has acknowledged
    std::uint64_t unacknowledged_fence = 0;  // fence of the last order; 0: the order is acknowledged
    BudgetLeaseRequest last_request;
    bool response_due = false;
  };
  // A lease that one of this agent's managers has requested.
  struct BorrowedLease {
    BudgetLeaseRequest request;
    std::string lender_agent;
    std::map<std::uint64_t, TimePoint> requested_at;  // by round
    TimePoint first_requested_at{};
    int eighths = 0;  // granted; 0: none yet
    TimePoint until{};
    bool ended = false;  // the lease or its renewal was refused; no more requests are sent
  };

  static ShareKey key_of(const GrantedLease& granted);
  static ShareKey key_of(const BorrowedLease& borrowed);
  int own_share_of(const std::string& manager) const;
  int demand_of(const ShareKey& key) const;
  int lent_from(const ShareKey& key) const;
  int borrowed_for(TimePoint now, const ShareKey& key) const;
  int lendable(TimePoint now, const ShareKey& key) const;
  bool is_quiet(TimePoint now) const;
  TimePoint order_expiry(TimePoint now, const ShareKey& key) const;
  void send_order(TimePoint now, const ShareKey& key);
  void renew_granted(TimePoint now, const std::string& agent, const BudgetLeaseRequest& request,
                     GrantedLease& granted);
  void grant_new(TimePoint now, const std::string& agent, const BudgetLeaseRequest& request);
  void send_due_responses(TimePoint now);
  void expire_granted(TimePoint now, std::set<ShareKey>& changed);
  void renew_or_expire_borrowed(TimePoint now, std::set<ShareKey>& changed);
  void renew_borrowed(TimePoint now, BorrowedLease& borrowed);
  void request_leases(TimePoint now, const std::vector<std::string>& lenders);
  void request_lease(TimePoint now, const ShareKey& key, int eighths, const std::string& lender);
  bool persist();

  Host& host_;
  const std::string self_;
  const Duration window_, lease_;
  const std::uint64_t incarnation_;
  std::map<std::string, int> managers_;                   // own shares, in eighths
  std::map<ShareKey, int> demand_;                        // in eighths
  std::map<std::string, GrantedLease> granted_leases_;    // by id
  std::map<std::string, BorrowedLease> borrowed_leases_;  // by id
  std::set<ShareKey> ordered_keys_;  // keys for which the manager's present process has had an order
  std::uint64_t last_fence_ = 0, next_request_number_ = 1;
  std::optional<TimePoint> quiet_until_;
  std::size_t next_lender_ = 0;
};

}  // namespace pearchute::fleet

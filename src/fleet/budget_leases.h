// Leases on parts of a warming engine's slow-start budget, lent by one manager to another: the protocol as
// one agent runs it for its own managers.
//
// Each manager has an equal share of what a warming engine may be sent in a window, counted in eighths, and
// may lend eighths of it for the length of a lease. Invariant: the shares in force at an engine never add up
// to more than its budget, whatever is lost, partitioned, paused, killed or restarted, and without an elected
// leader. This is held by giving up before taking, pair by pair:
//   1. The lender persists the lease, then orders its manager to send less.
//   2. Once that manager has acknowledged the order, a whole window has to pass, since what it sent before
//   still
//      counts.
//   3. Only then is the lease granted, and the borrower's manager ordered to send more.
// The borrower counts the lease from when it requested it, the lender from when it granted it and one window
// more, so the borrower always stops first. Without messages every manager returns to its equal share by
// itself.
//
// Not thread-safe. It reads no clock: times are this agent's steady clock.
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

// An engine during one warm-up: after another start of its process it is another one.
struct WarmingEngine {
  std::string name;
  std::uint64_t start = 0;  // identifies the start of its process
  auto operator<=>(const WarmingEngine&) const = default;
};

// Requests a lease, or its renewal.
struct BudgetLeaseRequest {
  std::string id;  // of the lease, the same from the first request to the last renewal
  WarmingEngine engine;
  std::string borrower;     // the manager that is to use it
  int eighths = 0;          // requested
  int used = 0;             // eighths of this lease that are in use; a lease that is not used is not renewed
  std::uint64_t round = 1;  // counts this lease's requests; a response names the round that it answers
  auto operator<=>(const BudgetLeaseRequest&) const = default;
};

// Answers one request. With no eighths it grants nothing (more); what was granted before runs out.
struct BudgetLeaseResponse {
  std::string id;  // of the lease
  int eighths = 0;
  std::uint64_t round = 1;
};

// The budget leases that one agent's managers have lent and borrowed.
class BudgetLeases {
 public:
  // A manager's equal share, in eighths. A finer unit would be less than a short request.
  static constexpr int full_share = 8;
  // Eighths that a manager never lends, so that it can send a short request in every other window.
  static constexpr int min_retained_share = 2;

  // A lease that one of the own managers has granted.
  struct BudgetLease {
    WarmingEngine engine;
    std::string lender, borrower;  // managers
    std::string to;                // the borrower's agent
    int eighths = 0;
    bool operator==(const BudgetLease&) const = default;
  };

  // Carries out what is decided. Must outlive the BudgetLeases.
  class Host {
   public:
    virtual ~Host() = default;
    // Persists all leases granted here, by id. Returns true once they are durable; on false nothing new is
    // lent.
    virtual bool persist(const std::map<std::string, BudgetLease>& leases) = 0;
    // Orders an own manager to use so many eighths at the engine until then, and its equal share afterwards.
    // A share below the equal one has to hold at least until then by the manager's own clock, a share above
    // it at most until then. A manager ignores an order whose fence is less than that of an order it has.
    virtual void send_share(const std::string& manager, const WarmingEngine& engine, int eighths,
                            TimePoint until, std::uint64_t fence) = 0;
    virtual void send_request(const std::string& agent, const BudgetLeaseRequest& request) = 0;
    virtual void send_response(const std::string& agent, const BudgetLeaseResponse& response) = 0;
  };

  // `window` is the time over which a warming engine's budget counts; `lease` is how long a lease lasts.
  // `incarnation` is this agent's, persisted before it is used: fences and lease ids are numbered within it.
  BudgetLeases(Host& host, std::string self, std::uint64_t incarnation, Duration window, Duration lease);
  BudgetLeases(const BudgetLeases&) = delete;
  BudgetLeases& operator=(const BudgetLeases&) = delete;

  // How long a manager that has just started sends nothing to warming engines unless it has an order: as long
  // as an order to its previous incarnation, or a lease granted by that one, may still hold.
  static Duration startup_quiet_period(Duration window, Duration lease);

  // Call first, with the persisted leases; each is counted for its whole length once more. Where the disk
  // can't be trusted (`lost`), nothing is lent or borrowed for a startup quiet period.
  void restore(TimePoint now, const std::map<std::string, BudgetLease>& leases, bool lost);
  // Sets the own managers that take orders, with their equal shares in eighths: full_share, or 0 for one that
  // joined after the shares were allotted and can only borrow.
  void set_managers(const std::map<std::string, int>& managers);
  // A manager's process is another one, which has had no order yet.
  void on_manager_restarted(TimePoint now, const std::string& manager);
  // Sets what a manager could send to an engine by its traffic, in eighths of an equal share.
  void set_demand(TimePoint now, const std::string& manager, const WarmingEngine& engine, int eighths);
  // The manager has taken the order with this fence.
  void on_share_acknowledged(TimePoint now, const std::string& manager, const WarmingEngine& engine,
                             std::uint64_t fence);
  void on_request(TimePoint now, const std::string& agent, const BudgetLeaseRequest& request);
  void on_response(TimePoint now, const std::string& agent, const BudgetLeaseResponse& response);
  // Call about twice a second. `lenders` are the agents whose status is fresh, the least loaded first.
  void on_timer(TimePoint now, const std::vector<std::string>& lenders);

  // The eighths that a manager has at an engine: its own share, less what it lends, plus what it borrows.
  int share(TimePoint now, const std::string& manager, const WarmingEngine& engine) const;
  std::size_t lent() const { return granted_leases_.size(); }
  std::size_t borrowed() const { return borrowed_leases_.size(); }

 private:
  using ShareKey = std::pair<std::string, WarmingEngine>;  // a manager and an engine
  // A lease that an own manager has granted, or is about to.
  struct GrantedLease {
    BudgetLease lease;
    std::optional<TimePoint> reduced_since;  // when its lender had acknowledged the reduced share
    std::optional<TimePoint> granted_at;     // by the last response
    TimePoint ordered_until{};               // of the lender's last order,
    TimePoint acknowledged_until{};          // and of the last that it has acknowledged
    std::uint64_t unacknowledged_fence = 0;  // of its last order; 0: acknowledged
    BudgetLeaseRequest last_request;
    bool response_due = false;
  };
  // A lease that an own manager has requested.
  struct BorrowedLease {
    BudgetLeaseRequest request;
    std::string lender_agent;
    std::map<std::uint64_t, TimePoint> requested_at;  // by round
    TimePoint first_requested_at{};
    int eighths = 0;  // granted; 0: not yet
    TimePoint until{};
    bool ended = false;  // refused, or no longer needed
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
  std::set<ShareKey> ordered_keys_;                       // whose manager has had an order since it started
  std::uint64_t last_fence_ = 0, next_request_number_ = 1;
  std::optional<TimePoint> quiet_until_;
  std::size_t next_lender_ = 0;
};

}  // namespace pearchute::fleet
